"""One replica's subset, by its view of the other replicas."""

import pytest

from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.spread import operator_view
from oakbridge.spread.subset_assigner import KEEP_WHILE_PARTITIONED_US, Replica, SubsetAssigner

SECOND_US = 1_000_000
REPLICAS = {f"n{index}": Replica("a" if index % 2 else "b", 10) for index in range(4)}
ONLY_ITSELF = {"n1": REPLICAS["n1"]}
WITHOUT_N2 = {name: replica for name, replica in REPLICAS.items() if name != "n2"}
SERVERS = {f"s{index:02d}": ("a" if index % 2 else "b", 1.0) for index in range(12)}
ONE_MORE_SERVER = {**SERVERS, "s99": ("a", 9.0)}


def view(state=ViewState.COMPLETE):
    return ClusterView(state, 4, 0)


def test_the_assignment_in_each_state_of_the_view():
    assigner = SubsetAssigner("n1", "", 2)

    def update(second, state, replicas, servers=SERVERS, after_us=0):
        return assigner.update(second * SECOND_US + after_us, view(state), replicas, servers)

    assert update(0, ViewState.STARTING, REPLICAS) is None
    first = update(1, ViewState.COMPLETE, REPLICAS)
    assert first
    assert set(first) < set(SERVERS)
    # The minimum interval has not passed: replicas often start and stop in groups.
    assert update(2, ViewState.COMPLETE, WITHOUT_N2) is None
    # Replicas that are cut off keep their subsets.
    assert update(9, ViewState.PARTITIONED, WITHOUT_N2) is None
    # Changed servers are divided among the present replicas.
    assert update(9, ViewState.PARTITIONED, WITHOUT_N2, ONE_MORE_SERVER)
    # In a long partition the reachable replicas divide the servers.
    assert update(10, ViewState.PARTITIONED, WITHOUT_N2, after_us=KEEP_WHILE_PARTITIONED_US)
    # An isolated replica may itself be cut off, so it keeps its subset.
    assert update(60, ViewState.ISOLATED, ONLY_ITSELF) is None
    assert update(90, ViewState.COMPLETE, ONLY_ITSELF) == {}
    assert assigner.subset_changes


def test_each_zones_servers_are_divided_among_its_own_replicas_and_again_among_the_others():
    own_zone_servers = {}
    for name, replica in REPLICAS.items():
        assigner = SubsetAssigner(name, replica.site, 1)
        weights = assigner.update(0, view(), REPLICAS, SERVERS)
        own_zone_servers[name] = {
            server for server in weights if SERVERS[server][0] == replica.site
        }
    for one, other in (("n0", "n2"), ("n1", "n3")):
        assert len(own_zone_servers[one] | own_zone_servers[other]) == 6
        assert len(own_zone_servers[one] & own_zone_servers[other]) <= 1
    described = operator_view.describe(assigner)
    assert described["divided"]
    assert not described["stand_out"]
    for row in described["servers"]:
        assert row["load_over_fair"] == pytest.approx(1)
        assert row["copies"] <= 2
