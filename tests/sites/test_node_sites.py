"""One node's decisions about sites, from its own and other members' observations."""

import pytest
from example_sites import HALF_SECOND_US, SECOND_US, topology_from

from oakbridge.peers.messages import SiteObservation, SiteOverride, SiteReport
from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.policy.view import ZoneView
from oakbridge.sites import operator_view
from oakbridge.sites.errors import LastSiteError, UnknownSiteError
from oakbridge.sites.evidence import MAX_AGE_US
from oakbridge.sites.fleet_load_shedding import elect_leader
from oakbridge.sites.node_sites import NodeSites, ReceivedReport
from oakbridge.sites.planning import compute_plan
from oakbridge.sites.request_rates import LocalObservations
from oakbridge.sites.site_state import SiteState

START_CLOCK_MS = 10_000
LISTED_SERVERS = 9
ALL_RESPOND = {"a": (3, 0, 0), "b": (3, 0, 0), "c": (3, 0, 0)}
C_NOT_CALLED = {**ALL_RESPOND, "c": (0, 0, 0)}


def cluster_view(state=ViewState.COMPLETE, **fields):
    return ClusterView(**{"state": state, "known": 9, "unreachable": 0, **fields})


def local_observations(observed, overload=0.0):
    zones = [ZoneView(zone, LISTED_SERVERS, *counts) for zone, counts in observed.items()]
    return LocalObservations(zones, 50.0, overload, {"look": 0.7, "book": 0.3})


def node_sites(plan=None, name="n1"):
    return NodeSites(name, "a", {"look": 1.0, "book": 5.0}, 1, plan=plan)


def reports(names="n2 n3 n4", site="a", **observed):
    """Return the same report of each member; ``observed``: by site, counts of servers."""
    observations = tuple(SiteObservation(zone, *counts) for zone, counts in observed.items())
    report = SiteReport(observations, 50)
    return [ReceivedReport(name, site, SECOND_US, report) for name in names.split()]


def reports_of(nodes, age_us=SECOND_US):
    return [ReceivedReport(sites.name, "a", age_us, sites.report()) for sites in nodes]


def update(
    sites,
    seconds,
    cluster=None,
    received=(),
    observed=ALL_RESPOND,
    start_us=0,
    overload=0.0,
):
    """Update twice a second for ``seconds``; return the last decision."""
    for n in range(2 * seconds):
        decision = sites.update(
            start_us + n * HALF_SECOND_US,
            START_CLOCK_MS + n * 500,
            cluster or cluster_view(),
            list(received),
            local_observations(observed, overload),
        )
    return decision


def test_others_observations_suffice_to_close_a_site_where_this_node_has_no_attempts():
    sites = node_sites()
    update(sites, 1)
    decision = update(sites, 3, received=reports(c=(0, 0, 4)), observed=C_NOT_CALLED)
    assert decision.zone_weights == {"c": 0.0}
    history = operator_view.state_history(sites.sites["c"], 4 * SECOND_US)
    assert history[-1]["after"] == SiteState.LOST


LARGER_PARTITION = cluster_view(
    ViewState.PARTITIONED,
    unreachable=3,
    is_larger_partition=True,
    unreachable_sites=("c",),
)
SMALLER_PARTITION = cluster_view(
    ViewState.PARTITIONED,
    unreachable=6,
    is_larger_partition=False,
    unreachable_sites=("b", "c"),
)
ISOLATED = cluster_view(ViewState.ISOLATED, unreachable=8, is_larger_partition=False)


@pytest.mark.parametrize(
    ("cluster", "weights"),
    [
        (LARGER_PARTITION, {"b": 0.0, "c": 0.0}),
        (SMALLER_PARTITION, {"b": 0.0, "c": 0.0}),
        (ISOLATED, {"b": 0.0, "c": 0.0}),
    ],
)
def test_a_node_in_the_smaller_partition_uses_its_own_site_and_judges_no_other(cluster, weights):
    sites = node_sites()
    update(sites, 1)
    decision = update(sites, 4, cluster, observed={"a": (3, 0, 0), "b": (0, 3, 0), "c": (0, 3, 0)})
    assert decision.zone_weights == weights
    if not cluster.is_larger_partition:
        assert {site.state for site in sites.sites.values()} == {SiteState.HEALTHY}
        assert update(sites, 1).zone_weights == {}


def test_verdicts_count_after_their_nodes_have_no_fresh_observations():
    """A node that closes a site early has no fresh observations of it later.

    If verdicts did not count, a node that observes failures later would never find enough
    reporters for its own verdict.
    """
    early = [node_sites(name=name) for name in ("n2", "n3")]
    for sites in early:
        update(sites, 3, received=reports("m1 m2 m3", c=(0, 0, 4)))
        update(sites, 9, observed=C_NOT_CALLED, start_us=3 * SECOND_US)
    received = reports_of(early)
    late = node_sites()
    update(late, 1)
    decision = update(late, 2, received=received, observed={**ALL_RESPOND, "c": (0, 0, 1)})
    assert decision.zone_weights == {"c": 0.0}
    # Verdicts don't prevent a recovery: fresh observations alone decide on it.
    update(late, 3, received=received, observed=ALL_RESPOND, start_us=3 * SECOND_US)
    assert late.sites["c"].state == SiteState.RECOVERING


def test_with_every_site_lost_all_are_used_again():
    sites = node_sites()
    update(sites, 1)
    assert update(sites, 3, observed=dict.fromkeys("abc", (0, 0, 3))).zone_weights == {}


def test_all_nodes_together_send_a_lost_site_a_few_probes_a_second():
    sites, probe_count = node_sites(), 0
    update(sites, 1)
    received = reports(" ".join(f"m{n}" for n in range(49)), c=(0, 0, 4))
    for n in range(400):
        start_us = n * SECOND_US
        decision = update(sites, 1, received=received, observed=C_NOT_CALLED, start_us=start_us)
        probe_count += len(decision.probe_zones)
    # 50 nodes send 5 probes a second, so each sends 40 in 400 s; of two updates a second, this test
    # counts only the last one's probes, which makes 20.
    assert 15 < probe_count < 70


def test_an_override_spreads_and_the_later_one_counts():
    here, there = node_sites(), node_sites(name="n2")
    for sites in (here, there):
        update(sites, 1)
    here.override(5_000, "b", "kari", drained=True)
    repeated = here.override(6_000, "b", "ola", drained=True)
    assert repeated.operator == "kari"  # a repeated override changes nothing
    decision = update(there, 30, received=reports_of([here], age_us=0))
    assert decision.zone_weights == {"b": 0.0}
    assert operator_view.describe(there, 0)["sites"][1]["held_by"] == "kari"
    there.override(1_000, "b", "ola", drained=False)  # the clock of this node is behind
    update(here, 1, received=reports_of([there], age_us=0))
    assert not here.overrides.is_drained("b")
    far_ahead = SiteReport(overrides=(SiteOverride("b", 10**15, True, "x"),))
    update(here, 1, received=[ReceivedReport("n9", "a", 0, far_ahead)])
    assert not here.overrides.is_drained("b")
    with pytest.raises(UnknownSiteError, match="expected one of a, b, c"):
        here.override(0, "d", "", drained=True)
    for site in "bc":
        here.override(9_000, site, "", drained=True)
    update(here, 1)
    with pytest.raises(LastSiteError, match="the last one"):
        here.override(9_000, "a", "", drained=True)


def test_all_nodes_follow_the_level_of_one_leader():
    nodes = [node_sites(name=f"n{n}") for n in range(6)]
    for second in range(12):
        received = reports_of(nodes)
        for sites in nodes:
            others = [report for report in received if report.name != sites.name]
            update(sites, 1, received=others, start_us=second * SECOND_US, overload=0.5)
    levels = {round(sites.shedding.level, 2) for sites in nodes}
    assert len({sites.shedding.leader for sites in nodes}) == 1
    assert max(levels) - min(levels) < 0.15 < min(levels)
    rejected = nodes[0].decision.rejected_fractions
    assert rejected["look"] > 0
    assert rejected.get("book", 0) < rejected["look"]


def test_with_a_faulty_site_nodes_report_directly_to_the_leader_and_the_leader_to_all():
    names = [f"n{n}" for n in range(6)]
    leader = elect_leader(names)
    for name in names:
        sites = node_sites(name=name)
        update(sites, 1)
        others = [other for other in names if other != name]
        assert sites.direct_recipients(others) == []
        update(sites, 3, observed={**ALL_RESPOND, "c": (0, 0, 3)}, start_us=SECOND_US)
        expected = others if name == leader else [leader]
        assert sites.direct_recipients(others) == expected


def test_old_reports_do_not_move_the_level():
    sites = node_sites()
    report = SiteReport((), 50, 900)
    old = [ReceivedReport(f"m{n}", "a", MAX_AGE_US + 1, report) for n in range(9)]
    update(sites, 30, received=old)
    assert sites.overload == 0
    assert sites.shedding.level == 0


def test_a_plan_sets_weights_and_rejected_fractions_as_soon_as_a_site_is_lost(tmp_path):
    plan = compute_plan(topology_from(tmp_path))
    sites = node_sites(plan)
    update(sites, 1)
    a_fails = {**ALL_RESPOND, "a": (0, 0, 3)}
    decision = update(sites, 3, received=reports(a=(0, 0, 4)), observed=a_fails)
    assert decision.zone_weights["a"] == 0
    # The plan routes no requests of the lost site's nodes.
    assert "a" not in plan.scenario(["a"]).routing
    assert decision.rejected_fractions.get("look", 0) > 0
    assert operator_view.describe(sites, 0)["plan"] == 7
