"""Timeouts of suspicions."""

from oakbridge.peers.suspicion import Suspicion, min_timeout_us

SECOND_US = 1_000_000


def test_independent_reporters_shorten_the_timeout():
    probe_interval_us = 500_000
    assert (
        min_timeout_us(10, probe_interval_us)
        < min_timeout_us(100, probe_interval_us)
        < min_timeout_us(1000, probe_interval_us)
    )
    suspicion = Suspicion(0, 2 * SECOND_US, 12 * SECOND_US, {"a"})
    deadlines_us = [suspicion.deadline_us()]
    for reporter in ("a", "b", "b", "c", "d", "e", "f"):
        suspicion.confirm(reporter)
        deadlines_us.append(suspicion.deadline_us())
    assert deadlines_us == sorted(deadlines_us, reverse=True)
    assert deadlines_us[0] == deadlines_us[1] == 12 * SECOND_US
    assert deadlines_us[-1] == 2 * SECOND_US
    assert len(suspicion.reporters) == 4
