"""What a server gets while it warms up."""

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


def test_a_cold_server_gets_its_capped_share():
    d = Driver(
        servers=4, slow_start_window=10 * SECOND, slow_start_minimum=0.2, overload_factor=2.5
    )
    d.serve(200)
    d.feed(EndpointListReceived([Endpoint("new", started_at=d.now)], complete=False))
    used = d.serve(100)  # 4.5 s
    can_do = (
        len(used)
        / 5
        * sum(
            d.balancer.slow_start.capacity_share(d.balancer.servers["new"], t)
            for t in (d.now - 4_500_000, d.now)
        )
        / 2
    )
    assert 0 < used.count("new") < 2.5 * can_do


def test_copies_do_not_hit_a_cold_server_together():
    sent_at_once = 0
    for seed in range(20):
        d = Driver(servers=1, seed=seed, slow_start_window=10 * SECOND, slow_start_minimum=0.2)
        d.serve(20)
        d.feed(EndpointListReceived([Endpoint("new", started_at=d.now)], complete=False))
        sent_at_once += any(
            isinstance(a, SendAttempt) and a.server == "new" for a in d.send_request()
        )
    assert sent_at_once < 10


@pytest.mark.parametrize(("replaced", "count"), [(10, 10), (3, 6)])
def test_cold_servers_get_what_comes_in_as_far_as_they_bear_it(replaced, count):
    """Guards against a share that shrinks with what shares hold back, and too large a one."""
    d = Driver(
        servers=count, slow_start_window=24 * SECOND, slow_start_minimum=0.13, overload_factor=2.5
    )
    d.serve(100, gap=100_000, latency=200_000)
    new = [Endpoint(f"new{i}", started_at=d.now) for i in range(replaced)]
    gone = [Endpoint(f"s{i}", EndpointState.REMOVED) for i in range(replaced)]
    d.feed(EndpointListReceived(new + gone, complete=False))
    used = [d.serve(20, gap=100_000, latency=200_000) for _ in range(4)]  # 24 s in all
    assert [len(part) for part in used[1:]] == [20, 20, 20]
    cold = sum(
        name.startswith("new") for part in used[:3] for name in part
    )  # each can do one after another
    can_do = sum(
        5
        * d.balancer.slow_start.capacity_share(d.balancer.servers["new0"], d.now - (t + 6) * SECOND)
        for t in range(18)
    )
    assert 0 < cold < 2.5 * replaced * can_do
