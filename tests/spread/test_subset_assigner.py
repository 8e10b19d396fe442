"""One replica's subset, by the view that it has of the others."""

import pytest

from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.spread import operator_view
from oakbridge.spread.subset_assigner import KEEP_WHILE_PARTITIONED_US, Replica, SubsetAssigner

SECOND_US = 1_000_000
REPLICAS = {f"n{i}": Replica("a" if i % 2 else "b", 10) for i in range(4)}
ONLY_ITSELF = {"n1": REPLICAS["n1"]}
WITHOUT_N2 = {name: replica for name, replica in REPLICAS.items() if name != "n2"}
SERVERS = {f"s{i:02d}": ("a" if i % 2 else "b", 1.0) for i in range(12)}
ONE_MORE_SERVER = {**SERVERS, "s99": ("a", 9.0)}


def view(state=ViewState.COMPLETE):
    return ClusterView(state, 4, 0)


def test_what_a_node_does_in_each_state_of_its_view():
    assigner = SubsetAssigner("n1", "", 2)

    def update(second, state, replicas, servers=SERVERS, after_us=0):
        return assigner.update(second * SECOND_US + after_us, view(state), replicas, servers)

    assert update(0, ViewState.STARTING, REPLICAS) is None
    first = update(1, ViewState.COMPLETE, REPLICAS)
    assert first
    assert set(first) < set(SERVERS)
    # Not yet: replicas come and go in groups.
    assert update(2, ViewState.COMPLETE, WITHOUT_N2) is None
    # Who is cut off still has its subset.
    assert update(9, ViewState.PARTITIONED, WITHOUT_N2) is None
    # But servers count as they are listed.
    assert update(9, ViewState.PARTITIONED, WITHOUT_N2, ONE_MORE_SERVER)
    # It lasts: by those that are reachable.
    assert update(10, ViewState.PARTITIONED, WITHOUT_N2, after_us=KEEP_WHILE_PARTITIONED_US)
    # It may be cut off itself.
    assert update(60, ViewState.ISOLATED, ONLY_ITSELF) is None
    assert update(90, ViewState.COMPLETE, ONLY_ITSELF) == {}
    assert assigner.subset_changes


def test_with_zones_each_zones_servers_are_divided_among_its_own_replicas_and_among_the_others():
    own_zone = {}
    for name, replica in REPLICAS.items():
        assigner = SubsetAssigner(name, replica.site, 1)
        weights = assigner.update(0, view(), REPLICAS, SERVERS)
        own_zone[name] = {server for server in weights if SERVERS[server][0] == replica.site}
    for one, other in (("n0", "n2"), ("n1", "n3")):
        assert len(own_zone[one] | own_zone[other]) == 6
        assert len(own_zone[one] & own_zone[other]) <= 1
    told = operator_view.describe(assigner)
    assert told["divided"]
    assert not told["stand_out"]
    for row in told["servers"]:
        assert row["load_over_fair"] == pytest.approx(1)
        assert row["copies"] <= 2
