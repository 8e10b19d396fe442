"""Tests of slow start."""

import pytest
from driver import Driver

from oakbridge.policy.actions import (
    SendAttempt,
)
from oakbridge.policy.events import (
    Endpoint,
    EndpointListReceived,
    EndpointState,
)
from oakbridge.policy.timers import SECOND_US as SECOND


def test_a_starting_server_gets_requests_below_its_overload():
    driver = Driver(
        servers=4, slow_start_window=10 * SECOND, slow_start_minimum=0.2, overload_factor=2.5
    )
    driver.serve(200)
    driver.feed(EndpointListReceived([Endpoint("new", started_at=driver.now)], complete=False))
    used = driver.serve(100)  # 4.5 s
    capacity = (
        len(used)
        / 5
        * sum(
            driver.balancer.slow_start.capacity_share(driver.balancer.servers["new"], at)
            for at in (driver.now - 4_500_000, driver.now)
        )
        / 2
    )
    assert 0 < used.count("new") < 2.5 * capacity


def test_replicas_do_not_all_send_to_a_starting_server_at_once():
    sent_at_once = 0
    for seed in range(20):
        driver = Driver(servers=1, seed=seed, slow_start_window=10 * SECOND, slow_start_minimum=0.2)
        driver.serve(20)
        driver.feed(EndpointListReceived([Endpoint("new", started_at=driver.now)], complete=False))
        sent_at_once += any(
            isinstance(action, SendAttempt) and action.server == "new"
            for action in driver.send_request()
        )
    assert sent_at_once < 10


@pytest.mark.parametrize(("replaced", "count"), [(10, 10), (3, 6)])
def test_starting_servers_get_the_load_as_far_as_their_capacity_allows(replaced, count):
    """Guards against limits that shrink with the load they hold back, and against too high ones."""
    driver = Driver(
        servers=count, slow_start_window=24 * SECOND, slow_start_minimum=0.13, overload_factor=2.5
    )
    driver.serve(100, gap=100_000, latency=200_000)
    new = [Endpoint(f"new{i}", started_at=driver.now) for i in range(replaced)]
    removed = [Endpoint(f"s{i}", EndpointState.REMOVED) for i in range(replaced)]
    driver.feed(EndpointListReceived(new + removed, complete=False))
    used = [driver.serve(20, gap=100_000, latency=200_000) for _ in range(4)]  # 24 s in all
    assert [len(part) for part in used[1:]] == [20, 20, 20]
    to_starting = sum(name.startswith("new") for part in used[:3] for name in part)
    # A server handles one request after another.
    capacity = sum(
        5
        * driver.balancer.slow_start.capacity_share(
            driver.balancer.servers["new0"], driver.now - (t + 6) * SECOND
        )
        for t in range(18)
    )
    assert 0 < to_starting < 2.5 * replaced * capacity
