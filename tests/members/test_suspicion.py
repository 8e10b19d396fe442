"""Suspicions: how long they last."""

from oakbridge.peers.suspicion import Suspicion, min_timeout_us

S = 1_000_000


def test_suspicion_shrinks_with_independent_accusers():
    period = 500_000
    assert min_timeout_us(10, period) < min_timeout_us(100, period) < min_timeout_us(1000, period)
    suspicion = Suspicion(0, 2 * S, 12 * S, {"a"})
    ends = [suspicion.deadline_us()]
    for reporter in ("a", "b", "b", "c", "d", "e", "f"):
        suspicion.confirm(reporter)
        ends.append(suspicion.deadline_us())
    assert ends == sorted(ends, reverse=True)
    assert ends[0] == ends[1] == 12 * S
    assert ends[-1] == 2 * S
    assert len(suspicion.reporters) == 4
