"""Tests of applying endpoint lists, and of the delay until discovery is polled again."""

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


def test_draining_servers_get_no_attempts_and_a_restarted_server_has_no_history():
    driver = Driver(servers=2)
    driver.serve(10)
    driver.feed(EndpointListReceived([Endpoint("s0", EndpointState.DRAINING)], complete=False))
    assert set(driver.serve(20)) == {"s1"}
    driver.balancer.endpoints.known["s0"].score = 5.0
    driver.feed(EndpointListReceived([Endpoint("s0", started_at=1)], complete=False))
    assert driver.balancer.servers["s0"].score < 0


@pytest.mark.parametrize("is_in_flight", [False, True])
def test_removed_servers_are_dropped_once_no_attempt_is_in_flight(is_in_flight):
    """Guards against memory growth while servers are replaced under new ids."""
    driver = Driver(servers=0)
    for i in range(50):
        driver.feed(EndpointListReceived([Endpoint(f"new{i}", started_at=1)], complete=i % 2 == 0))
        sends = [action for action in driver.send_request() if isinstance(action, SendAttempt)]
        if not is_in_flight:
            driver.end_attempt(sends[0], AttemptResult.OK)
        driver.feed(
            EndpointListReceived([Endpoint(f"new{i}", EndpointState.REMOVED)], complete=False)
        )
        if is_in_flight:
            assert f"new{i}" in driver.balancer.endpoints.known
            driver.end_attempt(sends[0], AttemptResult.OK)
    assert (
        driver.balancer.endpoints.known
        == driver.balancer.servers
        == driver.balancer.slow_start.warming
        == {}
    )
    assert not driver.balancer.members.subset
    assert not driver.balancer.members.reserve


def poll_delays(seed, **failure):
    """Return the delay after the first and after the tenth failed poll of a replica."""
    driver = Driver(seed=seed, poll_discovery=True, poll_interval=10 * SECOND)
    driver.run_to(20 * SECOND)
    assert len(driver.actions_of(WatchEndpoints)) == 1
    gaps = []
    for _ in range(10):
        before = driver.now
        driver.feed(EndpointListReceived(failed=True, **failure))
        driver.run_to(driver.now + 6 * SECOND)
        gaps.append(
            [at for at, action in driver.actions if isinstance(action, WatchEndpoints)][-1] - before
        )
    assert len(driver.actions_of(WatchEndpoints)) == 11
    return gaps[0], gaps[-1]


@pytest.mark.parametrize(
    ("failure", "min_delay_s", "max_delay_s"),
    [
        ({}, 0.3, 4.5),  # an interrupted watch: those of all replicas may be
        ({"waited": 20_000}, 2.5, 4.5),  # refused at once: the queue is full, the list is young
        ({"waited": 20_000, "staleness": 2 * SECOND}, 0.5, 2.5),
        ({"waited": 20_000, "staleness": 5 * SECOND}, 0.3, 1.0),  # an old list goes first
        ({"waited": SECOND}, 3, 5),  # it was queued, and cost as much as an answer
        ({"waited": 2 * SECOND, "staleness": 5 * SECOND}, 3, 5),
    ],
)
def test_replicas_that_lose_discovery_together_poll_apart_and_oldest_lists_first(
    failure, min_delay_s, max_delay_s
):
    """Discovery handles polls one after another, and a change must be known within six seconds.

    The delay does not grow with the number of failures.
    """
    for gaps in zip(*(poll_delays(seed, **failure) for seed in range(60)), strict=True):
        delays = [gap + failure.get("waited", 0) for gap in gaps]
        assert min_delay_s * SECOND <= min(delays)
        assert max(delays) <= max_delay_s * SECOND + 1000
        third = (max_delay_s - min_delay_s) / 3
        for i in range(3):
            assert (
                sum(i * third <= delay / SECOND - min_delay_s < (i + 1) * third for delay in delays)
                >= 8
            )
