"""Tests of many replicas that share servers, in simulated time."""

import pytest

from oakbridge.lab.simulation.clients import Outcome
from oakbridge.lab.simulation.event_queue import SECOND_US
from oakbridge.lab.simulation.figures import (
    connections_per_server,
    ejected_fraction,
    max_warming_overload,
)
from oakbridge.lab.simulation.fleet import SimulatedFleet
from oakbridge.policy.events import AttemptResult, EndpointListReceived


def replace_one_by_one(fleet: SimulatedFleet) -> None:
    """Guards against slow start limits that shrink with the load they hold back, down to none."""
    for i in range(48):
        fleet.replace_server(f"s{i}", f"s{i + 24}")
        fleet.run(0.5)


def replace_at_once(count: int):
    """Replace servers at once; limits must follow the earlier rate, as the load is unchanged."""

    def apply(fleet: SimulatedFleet) -> None:
        for i in range(count):
            fleet.replace_server(f"s{i}", f"new{i}", announced_after_us=0)

    return apply


def hang(*names: str, connections: int = 1000):
    """Let servers hang; one without free connections rejects at once, and so looks idle."""

    def apply(fleet: SimulatedFleet) -> None:
        for name in names:
            server = fleet.servers[name]
            server.is_hung = True
            server.connection_limit = connections

    return apply


@pytest.mark.parametrize(
    ("replicas", "servers", "load", "seconds", "change", "min_served", "min_overload"),
    [
        pytest.param(40, 30, 300, 10, lambda fleet: None, 0.999, 0, id="no change"),
        # Warm servers can do 480 requests a second, the starting ones in the end a third of that.
        pytest.param(40, 24, 140, 30, replace_one_by_one, 0.9, 0.5, id="one by one"),
        pytest.param(40, 24, 250, 20, replace_at_once(8), 0.97, 0.1, id="eight cold"),
        pytest.param(40, 24, 250, 25, replace_at_once(24), 0.65, 0.5, id="all cold"),
        pytest.param(7, 24, 250, 25, replace_at_once(24), 0.65, 0.5, id="all cold, few replicas"),
        pytest.param(40, 24, 350, 25, replace_at_once(24), 0.65, 0.5, id="all cold, busy"),
        pytest.param(
            7, 24, 350, 25, replace_at_once(24), 0.65, 0.5, id="all cold, busy, few replicas"
        ),
        pytest.param(40, 24, 250, 20, hang("s0", connections=12), 0.95, 0, id="stuck and full"),
        pytest.param(16, 28, 160, 15, hang("s0", "s1", "s2"), 0.985, 0, id="three hang"),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_replicas_together(
    replicas, servers, load, seconds, change, min_served, min_overload, seed
):
    """Each change leaves most requests served, and no starting server fails from overload.

    ``load``: requests per second; ``min_served``: fraction of the requests; ``min_overload``: a
    lower bound of the highest load of a starting server, as a multiple of its capacity.
    """
    fleet = SimulatedFleet(replicas, servers, seed)
    fleet.schedule_requests(load, seconds)
    fleet.run(3)
    change(fleet)
    fleet.run(seconds + 5)
    clients = fleet.clients
    assert clients.outcomes[Outcome.SERVED] >= min_served * clients.sent
    assert clients.sent == clients.outcomes.total()  # one outcome for each request
    assert min_overload <= max_warming_overload(fleet) < fleet.settings.overload_factor
    assert ejected_fraction(fleet) < 0.02
    connections = connections_per_server(fleet)
    # Random subsets do not crowd a server.
    assert connections[-1] < 4 * sum(connections) / len(connections)
    full = [name for name, server in fleet.servers.items() if server.connection_limit < 1000]
    for name in full:
        assert 0 < fleet.pool.results[name, AttemptResult.REJECTED] < 0.04 * clients.sent


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replicas_that_poll_together_do_not_overload_discovery_for_long(seed):
    """Discovery handles one poll of each replica in 4 s, and all replicas start at once."""
    fleet = SimulatedFleet(60, 24, seed, poll_discovery=True)
    fleet.discovery.time_per_poll_us = 4 * SECOND_US // 60
    fleet.schedule_requests(250, 15)
    fleet.run(20)
    assert all(balancer.members.version > 1 for balancer in fleet.replicas)
    assert fleet.discovery.failed_polls <= fleet.discovery.polls / 2


@pytest.mark.parametrize("seed", range(6))
def test_replicas_that_lose_discovery_together_all_have_the_list_again_in_time(seed):
    """All replicas must have the list within 6 s, the time in which they must know a change.

    Discovery handles one poll of each replica in 4 s, and fails those that would wait over 2 s.
    """
    fleet = SimulatedFleet(60, 24, seed, poll_discovery=True)
    fleet.discovery.time_per_poll_us = 4 * SECOND_US // 60
    fleet.schedule_requests(250, 25)
    fleet.run(15)
    versions = [balancer.members.version for balancer in fleet.replicas]
    for replica in range(60):
        fleet.deliver(replica, EndpointListReceived(failed=True))
    fleet.run(6)
    assert all(
        balancer.members.version > before
        for balancer, before in zip(fleet.replicas, versions, strict=True)
    )
