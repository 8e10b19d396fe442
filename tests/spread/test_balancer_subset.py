"""What the balancer does with an assigned subset, alone and among many in simulated time."""

from collections import Counter

import pytest

from oakbridge.lab.simulation.clients import Outcome
from oakbridge.lab.simulation.event_queue import SECOND_US
from oakbridge.lab.simulation.fleet import SimulatedFleet
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    Endpoint,
    EndpointListReceived,
    EndpointState,
    SubsetAssignment,
    ZoneWeights,
)
from oakbridge.policy.settings import Idempotency, RequestClass, Settings
from oakbridge.policy.view import server_sizes


def test_the_balancer_uses_its_subset_and_keeps_to_it_as_lists_and_zones_change():
    classes = (RequestClass("look", 2_500_000, 6_000_000, 5, 0.3, Idempotency.IDEMPOTENT),)
    balancer = Balancer(Settings(classes, replica_count=10), 1)
    endpoints = [Endpoint(f"s{i:02d}", zone="ab"[i % 2]) for i in range(40)]
    balancer.handle(0, EndpointListReceived(endpoints))
    weights = {f"s{i:02d}": 1.0 - i / 10 for i in range(6)}
    balancer.handle(1, SubsetAssignment(weights))

    def used():
        return {s.id: round(s.weight, 6) for s in balancer.members.subset.items(with_inactive=True)}

    assert used() == {name: round(weight, 6) for name, weight in weights.items()}
    assert balancer.subset.min_size() == 6
    balancer.handle(2, ZoneWeights({"a": 0.5}))
    assert used()["s00"] == 0.5
    assert used()["s01"] == 0.9
    assert server_sizes(balancer) == {e.id: (e.zone, 1.0) for e in endpoints}
    balancer.handle(3, ZoneWeights({}))
    changed = [Endpoint("s00", EndpointState.REMOVED), Endpoint("new"), Endpoint("s99")]
    balancer.handle(4, EndpointListReceived(changed, complete=False))
    assert set(used()) == weights.keys() - {"s00"}
    balancer.handle(5, SubsetAssignment({"new": 0.5, "s99": 1.0}))
    assert used() == {"new": 0.5, "s99": 1.0}
    balancer.handle(6, SubsetAssignment({}))
    assert set(server_sizes(balancer)) == {e.id for e in endpoints[1:]} | {"new", "s99"}
    assert {round(s.weight, 6) for s in balancer.servers.values()} == {1.0}


def variance_over_poissons(rings, lost):
    """Play sixty replicas and servers, a request each other second at a replica."""
    fleet = SimulatedFleet(60, 60, 5, subset_rings=rings)
    replaced = {f"s{n}" for n in range(lost)}
    for n in range(lost):
        fleet.replace_server(f"s{n}", f"new{n}")
    fleet.schedule_requests(40, 60)
    fleet.run(60)
    counts = Counter(server for server, came, _ in fleet.pool.visits if came > 10 * SECOND_US)
    kept = [
        counts[fleet.pool.server_indexes[name]] for name in fleet.servers if name not in replaced
    ]
    assert fleet.clients.outcomes[Outcome.SERVED] > 0.99 * fleet.clients.sent
    mean = sum(kept) / len(kept)
    return sum((count - mean) ** 2 for count in kept) / len(kept) / mean


@pytest.mark.parametrize("lost", [0, 3])
def test_thin_traffic_is_even_by_members_and_is_not_by_chance(lost):
    by_members = variance_over_poissons(rings=4, lost=lost)
    by_chance = variance_over_poissons(rings=0, lost=lost)
    assert by_members < 2.0 < by_chance
