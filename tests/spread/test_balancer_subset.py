"""The balancer with an assigned subset, alone and in a simulated fleet."""

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


def test_the_balancer_keeps_its_assigned_subset_as_lists_and_zone_weights_change():
    classes = (RequestClass("look", 2_500_000, 6_000_000, 5, 0.3, Idempotency.IDEMPOTENT),)
    balancer = Balancer(Settings(classes, replica_count=10), 1)
    endpoints = [Endpoint(f"s{index:02d}", zone="ab"[index % 2]) for index in range(40)]
    balancer.handle(0, EndpointListReceived(endpoints))
    weights = {f"s{index:02d}": 1.0 - index / 10 for index in range(6)}
    balancer.handle(1, SubsetAssignment(weights))

    def subset_weights():
        return {
            server.id: round(server.weight, 6)
            for server in balancer.members.subset.items(with_inactive=True)
        }

    assert subset_weights() == {name: round(weight, 6) for name, weight in weights.items()}
    assert balancer.subset.min_size() == 6
    balancer.handle(2, ZoneWeights({"a": 0.5}))
    assert subset_weights()["s00"] == 0.5
    assert subset_weights()["s01"] == 0.9
    assert server_sizes(balancer) == {endpoint.id: (endpoint.zone, 1.0) for endpoint in endpoints}
    balancer.handle(3, ZoneWeights({}))
    changed = [Endpoint("s00", EndpointState.REMOVED), Endpoint("new"), Endpoint("s99")]
    balancer.handle(4, EndpointListReceived(changed, complete=False))
    assert set(subset_weights()) == weights.keys() - {"s00"}
    balancer.handle(5, SubsetAssignment({"new": 0.5, "s99": 1.0}))
    assert subset_weights() == {"new": 0.5, "s99": 1.0}
    balancer.handle(6, SubsetAssignment({}))
    assert set(server_sizes(balancer)) == {endpoint.id for endpoint in endpoints[1:]} | {
        "new",
        "s99",
    }
    assert {round(server.weight, 6) for server in balancer.servers.values()} == {1.0}


def variance_over_poissons(rings, replaced_count):
    """Return the variance of servers' request counts over that of a Poisson distribution.

    Sixty replicas use sixty servers; together they get 40 requests a second for 60 s.  Replaced
    servers are not counted.
    """
    fleet = SimulatedFleet(60, 60, 5, subset_rings=rings)
    replaced = {f"s{index}" for index in range(replaced_count)}
    for index in range(replaced_count):
        fleet.replace_server(f"s{index}", f"new{index}")
    fleet.schedule_requests(40, 60)
    fleet.run(60)
    counts = Counter(
        server for server, arrived_us, _ in fleet.pool.visits if arrived_us > 10 * SECOND_US
    )
    kept = [
        counts[fleet.pool.server_indexes[name]] for name in fleet.servers if name not in replaced
    ]
    assert fleet.clients.outcomes[Outcome.SERVED] > 0.99 * fleet.clients.sent
    mean = sum(kept) / len(kept)
    return sum((count - mean) ** 2 for count in kept) / len(kept) / mean


@pytest.mark.parametrize("replaced_count", [0, 3])
def test_few_requests_are_divided_evenly_by_assigned_subsets_but_not_by_random_ones(
    replaced_count,
):
    assigned = variance_over_poissons(rings=4, replaced_count=replaced_count)
    random = variance_over_poissons(rings=0, replaced_count=replaced_count)
    assert assigned < 2.0 < random
