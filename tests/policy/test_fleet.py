"""What replicas do together: counted across forty that share servers, in simulated time."""

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


def replaced_one_by_one(fleet: SimulatedFleet) -> None:
    """Day churn+huge: shares of cold servers shrank with what they held back, until nothing came through."""
    for i in range(48):
        fleet.replace_server(f"s{i}", f"s{i + 24}")
        fleet.run(0.5)


def replaced_at_once(count: int):
    """A whole tier: shares must follow what servers carried, as what comes in stays the same."""

    def happens(fleet: SimulatedFleet) -> None:
        for i in range(count):
            fleet.replace_server(f"s{i}", f"new{i}", announced_after_us=0)

    return happens


def hang(*names: str, connections: int = 1000):
    """They answer nothing; one whose connections are used up says "full" at once, and looks idle to every replica."""

    def happens(fleet: SimulatedFleet) -> None:
        for name in names:
            server = fleet.servers[name]
            server.is_hung = True
            server.connection_limit = connections

    return happens


@pytest.mark.parametrize(
    ("replicas", "servers", "load", "seconds", "happens", "served", "cold"),
    [
        pytest.param(40, 30, 300, 10, lambda fleet: None, 0.999, 0, id="calm"),
        # 140 of the 480 a second that warm servers can do; in the end they do a third of that
        pytest.param(40, 24, 140, 30, replaced_one_by_one, 0.9, 0.5, id="one by one"),
        pytest.param(40, 24, 250, 20, replaced_at_once(8), 0.97, 0.1, id="eight cold"),
        pytest.param(40, 24, 250, 25, replaced_at_once(24), 0.65, 0.5, id="all cold"),
        pytest.param(7, 24, 250, 25, replaced_at_once(24), 0.65, 0.5, id="all cold, few replicas"),
        pytest.param(40, 24, 350, 25, replaced_at_once(24), 0.65, 0.5, id="all cold, busy"),
        pytest.param(
            7, 24, 350, 25, replaced_at_once(24), 0.65, 0.5, id="all cold, busy, few replicas"
        ),
        pytest.param(40, 24, 250, 20, hang("s0", connections=12), 0.95, 0, id="stuck and full"),
        pytest.param(16, 28, 160, 15, hang("s0", "s1", "s2"), 0.985, 0, id="three hang"),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_replicas_together(replicas, servers, load, seconds, happens, served, cold, seed):
    """``served``: of what is asked, at least; ``cold``: the most that a cold server is sent, of what it can do."""
    fleet = SimulatedFleet(replicas, servers, seed)
    fleet.schedule_requests(load, seconds)
    fleet.run(3)
    happens(fleet)
    fleet.run(seconds + 5)
    clients = fleet.clients
    assert clients.outcomes[Outcome.SERVED] >= served * clients.sent
    assert clients.sent == clients.outcomes.total()  # one outcome each
    assert cold <= max_warming_overload(fleet) < fleet.settings.overload_factor
    assert ejected_fraction(fleet) < 0.02
    held = connections_per_server(fleet)
    assert held[-1] < 4 * sum(held) / len(held)  # subsets that are drawn alone crowd no server
    stuck = [name for name, s in fleet.servers.items() if s.connection_limit < 1000]
    for name in stuck:
        assert 0 < fleet.pool.results[name, AttemptResult.REJECTED] < 0.04 * clients.sent


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_replicas_that_poll_together_do_not_keep_discovery_down(seed):
    """It can take one call of every replica in four seconds; all begin at once."""
    fleet = SimulatedFleet(60, 24, seed, poll_discovery=True)
    fleet.discovery.time_per_poll_us = 4 * SECOND_US // 60
    fleet.schedule_requests(250, 15)
    fleet.run(20)
    assert all(b.members.version > 1 for b in fleet.replicas)
    assert fleet.discovery.failed_polls <= fleet.discovery.polls / 2


@pytest.mark.parametrize("seed", range(6))
def test_replicas_that_lose_discovery_at_once_all_know_the_list_again_soon(seed):
    """Within 6 s, before announced changes count as known to all replicas.

    Discovery takes one poll of every replica in 4 s, and fails those that would wait for over 2 s.
    """
    fleet = SimulatedFleet(60, 24, seed, poll_discovery=True)
    fleet.discovery.time_per_poll_us = 4 * SECOND_US // 60
    fleet.schedule_requests(250, 25)
    fleet.run(15)
    versions = [b.members.version for b in fleet.replicas]
    for replica in range(60):
        fleet.deliver(replica, EndpointListReceived(failed=True))
    fleet.run(6)
    assert all(
        b.members.version > before for b, before in zip(fleet.replicas, versions, strict=True)
    )
