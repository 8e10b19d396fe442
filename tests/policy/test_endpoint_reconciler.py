"""What becomes of servers as lists come, and when discovery is polled again."""

import pytest
from driver import Driver

from oakbridge.policy.actions import (
    SendAttempt,
    WatchEndpoints,
)
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    EndpointState,
)
from oakbridge.policy.timers import SECOND_US as SECOND


def test_nothing_goes_to_what_drains_and_a_returned_server_starts_clean():
    d = Driver(servers=2)
    d.serve(10)
    d.feed(EndpointListReceived([Endpoint("s0", EndpointState.DRAINING)], complete=False))
    assert set(d.serve(20)) == {"s1"}
    d.balancer.endpoints.known["s0"].score = 5.0
    d.feed(EndpointListReceived([Endpoint("s0", started_at=1)], complete=False))
    assert d.balancer.servers["s0"].score < 0


@pytest.mark.parametrize("out", [False, True])
def test_servers_that_are_gone_are_forgotten_once_no_call_is_out(out):
    """Guards against growth on a long day, on which servers are replaced under ever new ids."""
    d = Driver(servers=0)
    for i in range(50):
        d.feed(EndpointListReceived([Endpoint(f"new{i}", started_at=1)], complete=i % 2 == 0))
        sends = [a for a in d.send_request() if isinstance(a, SendAttempt)]
        if not out:
            d.end_attempt(sends[0], AttemptResult.OK)
        d.feed(EndpointListReceived([Endpoint(f"new{i}", EndpointState.REMOVED)], complete=False))
        if out:
            assert f"new{i}" in d.balancer.endpoints.known
            d.end_attempt(sends[0], AttemptResult.OK)
    assert d.balancer.endpoints.known == d.balancer.servers == d.balancer.slow_start.warming == {}
    assert not d.balancer.members.subset
    assert not d.balancer.members.reserve


def asked_after(seed, **lost):
    """How long a copy waits before it asks again, the first time and the tenth."""
    d = Driver(seed=seed, poll_discovery=True, poll_interval=10 * SECOND)
    d.run_to(20 * SECOND)
    assert len(d.actions_of(WatchEndpoints)) == 1
    gaps = []
    for _ in range(10):
        before = d.now
        d.feed(EndpointListReceived(failed=True, **lost))
        d.run_to(d.now + 6 * SECOND)
        gaps.append([t for t, a in d.actions if isinstance(a, WatchEndpoints)][-1] - before)
    assert len(d.actions_of(WatchEndpoints)) == 11
    return gaps[0], gaps[-1]


@pytest.mark.parametrize(
    ("lost", "least", "most"),
    [
        ({}, 0.3, 4.5),  # a watch that was on: all copies' may have broken
        (
            {"waited": 20_000},
            2.5,
            4.5,
        ),  # turned away at once: the line is full, and this list is young
        ({"waited": 20_000, "staleness": 2 * SECOND}, 0.5, 2.5),
        ({"waited": 20_000, "staleness": 5 * SECOND}, 0.3, 1.0),  # first of all
        ({"waited": SECOND}, 3, 5),  # it stood in line, and cost discovery as much as an answer
        ({"waited": 2 * SECOND, "staleness": 5 * SECOND}, 3, 5),
    ],
)
def test_copies_that_lose_discovery_at_once_ask_again_apart_and_the_oldest_lists_first(
    lost, least, most
):
    """Discovery works off calls in turn, and news counts as told after six seconds.

    No wait grows with failures.
    """
    for gaps in zip(*(asked_after(seed, **lost) for seed in range(60)), strict=True):
        began = [gap + lost.get("waited", 0) for gap in gaps]
        assert least * SECOND <= min(began)
        assert max(began) <= most * SECOND + 1000
        third = (most - least) / 3
        for i in range(3):
            assert sum(i * third <= b / SECOND - least < (i + 1) * third for b in began) >= 8
