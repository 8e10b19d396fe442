"""Members together, in simulated time: who learns what, and what is never claimed."""

from collections import Counter

import pytest

from oakbridge.peers.messages import (
    SiteObservation,
    SiteReport,
)
from oakbridge.peers.node_reports import LocalLoad
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.simulation import SimulatedCluster, SimulatedNetwork, nothing_blocked

S = 1_000_000


def cluster_of(
    count: int, seed: int, settled: int = 12, **how
) -> tuple[SimulatedCluster, list[str]]:
    """So many that have started within a second, by three seeds, and have had time to meet."""
    cluster = SimulatedCluster(seed, count_bytes=False, **how)
    names = [f"n{i:03d}" for i in range(count)]
    for i, name in enumerate(names):
        cluster.call_later(
            cluster.random.randrange(S),
            lambda n=name, i=i: cluster.start(n, names[:3], tags={"site": "abc"[i % 3]}),
        )
    cluster.run_until(settled * S)
    cluster.changes.clear()
    return cluster, names


def failed(cluster: SimulatedCluster, about=None) -> set[str]:
    """Who was called failed by anyone."""
    return {
        c.name
        for _, c in cluster.changes
        if c.after == "failed" and (about is None or c.name in about)
    }


@pytest.mark.parametrize("seed", [1, 2])
def test_all_start_within_a_second_and_meet(seed):
    cluster, _ = cluster_of(36, seed, settled=5)
    assert cluster.count_view_errors() == 0
    assert all(not h.member.is_joining for h in cluster.processes.values())


@pytest.mark.parametrize("many", [1, 4, 25], ids=["one", "a tenth", "seven in ten"])
def test_the_killed_are_found_and_nobody_else(many):
    cluster, names = cluster_of(36, 3)
    dead = names[3 : 3 + many]
    for name in dead:
        cluster.kill(name)
    cluster.run_until(cluster.now_us + 15 * S)
    assert cluster.count_view_errors() == 0
    assert failed(cluster) == set(dead)


@pytest.mark.parametrize("health", [True, False], ids=["local health", "without"])
def test_the_starved_are_not_called_failed(health):
    cluster, names = cluster_of(30, 4, options=ProtocolOptions(local_health=health))
    for name in names[:10]:
        cluster.processes[name].max_starvation_us = 0.6 * S
    cluster.run_until(cluster.now_us + 10 * S)
    suspected = len({c.name for _, c in cluster.changes if c.after == "suspect"})
    assert not failed(cluster)
    assert suspected  # or the trial tries nothing


def test_timers_that_fire_late_are_no_evidence_against_others():
    verdicts = {}
    for health in (True, False):
        cluster, names = cluster_of(9, 5, options=ProtocolOptions(local_health=health))
        cluster.freeze(names[0], cluster.now_us + 60 * S)
        cluster.run_until(cluster.now_us + 75 * S)
        verdicts[health] = [
            c for who, c in cluster.changes if who == names[0] and c.after == "failed"
        ]
        assert cluster.count_view_errors() == 0
        assert failed(cluster, {names[0]})
    assert not verdicts[True]


def test_a_site_is_cut_off_and_comes_back_with_one_change_each():
    cluster, names = cluster_of(30, 6)
    site = {n: i % 3 for i, n in enumerate(names)}
    own = {n for n in names if not site[n]}
    cluster.is_blocked = lambda a, b: (not site[a]) != (not site[b])
    cluster.run_until(cluster.now_us + 25 * S)
    assert cluster.count_view_errors(own) == 0 == cluster.count_view_errors(set(names) - own)
    cluster.run_until(cluster.now_us + 30 * S)
    cluster.is_blocked = nothing_blocked
    cluster.run_until(cluster.now_us + 15 * S)
    assert cluster.count_view_errors() == 0
    pairs = Counter(
        (who, c.name, c.after) for who, c in cluster.changes if "failed" in (c.before, c.after)
    )
    assert max(pairs.values()) == 1  # no flapping
    assert all((c.name in own) != (who in own) for who, c in cluster.changes if c.after == "failed")


def test_three_parts_heal_in_another_order():
    cluster, names = cluster_of(30, 7)
    part = {n: i % 3 for i, n in enumerate(names)}
    open_to: set[frozenset[int]] = set()
    cluster.is_blocked = lambda a, b: (
        part[a] != part[b] and frozenset((part[a], part[b])) not in open_to
    )
    cluster.run_until(cluster.now_us + 40 * S)
    open_to.add(frozenset((1, 2)))
    cluster.run_until(cluster.now_us + 30 * S)
    two = {n for n in names if part[n]}
    assert cluster.count_view_errors(two) == 0 == cluster.count_view_errors(set(names) - two)
    open_to.update({frozenset((0, 1)), frozenset((0, 2))})
    cluster.run_until(cluster.now_us + 30 * S)
    assert cluster.count_view_errors() == 0


@pytest.mark.parametrize("way", ["out", "in"])
def test_a_one_way_cut_between_two_sites_fails_nobody(way):
    cluster, names = cluster_of(21, 8)
    site = {n: i % 3 for i, n in enumerate(names)}
    pair = (0, 1) if way == "out" else (1, 0)
    cluster.is_blocked = lambda a, b: (site[a], site[b]) == pair
    cluster.run_until(cluster.now_us + 60 * S)
    assert not failed(cluster)  # the third site's members probe for both


def test_one_that_nobody_hears_is_failed_and_hears_all():
    cluster, names = cluster_of(12, 9)
    cluster.is_blocked = lambda a, b: a == names[4]
    cluster.run_until(cluster.now_us + 30 * S)
    assert {c.name for who, c in cluster.changes if c.after == "failed" and who != names[4]} == {
        names[4]
    }
    assert cluster.processes[names[4]].member.counts["refuted"]  # it says so, and is not heard


def test_who_left_on_purpose_is_not_called_failed():
    cluster, names = cluster_of(30, 10, network=SimulatedNetwork(loss=0.1))
    for name in names[:10]:
        host = cluster.processes[name]
        cluster.perform(host, host.member.leave(cluster.now_us))
        cluster.call_later(2 * S, lambda n=name: cluster.kill(n))
    cluster.run_until(cluster.now_us + 60 * S)
    assert not failed(cluster)
    assert cluster.count_view_errors() == 0
    assert cluster.state_in_view(names[20], names[0]) == "left"


def test_one_that_wakes_after_ten_minutes_changes_nothing():
    cluster, names = cluster_of(8, 11)
    cluster.freeze(names[7], cluster.now_us + 600 * S)
    cluster.run_until(cluster.now_us + 600 * S)
    assert failed(cluster) == {names[7]}
    cluster.run_until(cluster.now_us + 10 * S)
    assert (
        cluster.count_view_errors() == 0
    )  # and what it believed ten minutes ago has changed nothing
    assert failed(cluster) == {names[7]}
    cluster.freeze(names[6], cluster.now_us + 5 * S)
    cluster.run_until(cluster.now_us + 20 * S)
    assert cluster.count_view_errors() == 0


@pytest.mark.parametrize("old", ["dead", "alive", "frozen"])
def test_a_name_that_comes_back_at_another_address(old):
    cluster, names = cluster_of(12, 12)
    before = cluster.processes[names[5]]
    if old == "dead":
        before.is_up = False
    elif old == "frozen":
        cluster.freeze(names[5])
    cluster.start(
        names[5], names[:2], address="elsewhere"
    )  # the same generation: it has nothing from before
    cluster.run_until(cluster.now_us + 20 * S)
    assert all(
        cluster.record_in_view(n, names[5]).address == "elsewhere" for n in names if n != names[5]
    )
    assert cluster.replaced_addresses == (["n005"] if old == "alive" else [])
    if old == "frozen":
        before.is_frozen, waited, before.inbox = False, before.inbox, None
        for source, message in waited:
            cluster.perform(before, before.member.receive(cluster.now_us, source, message))
        cluster.schedule_wake_up(before)
        cluster.run_until(cluster.now_us + 20 * S)
        assert cluster.replaced_addresses == ["n005"]
    assert cluster.processes[names[5]].member.replaced_by is None


def test_a_restart_with_an_older_clock_takes_its_name_back():
    cluster = SimulatedCluster(13)
    for i in range(6):
        cluster.start(f"n{i}", ["n0", "n1"], generation=1000)
    cluster.run_until(5 * S)
    cluster.kill("n4")
    cluster.run_until(20 * S)
    cluster.start("n4", ["n0"], generation=3)  # the clock was set back
    cluster.run_until(30 * S)
    assert cluster.record_in_view("n1", "n4").generation == 1001
    assert cluster.count_view_errors() == 0


def test_all_seeds_gone_and_a_snapshot_of_the_dead():
    cluster, names = cluster_of(9, 14)
    for name in names[:3]:
        cluster.kill(name)
    cluster.run_until(cluster.now_us + 20 * S)
    late = cluster.start("late", [*names[:3], "nowhere"])
    cluster.run_until(cluster.now_us + 60 * S)
    assert late.member.is_joining  # nobody answers: it says so, and goes on trying
    cluster.start(names[0], names[3:5])
    cluster.run_until(cluster.now_us + 45 * S)
    assert not late.member.is_joining
    assert cluster.count_view_errors() == 0


def test_as_many_as_it_may_hold():
    cluster, _ = cluster_of(40, 15, options=ProtocolOptions(max_members=20))
    assert max(len(h.member.members) for h in cluster.processes.values()) <= 20
    assert sum(h.member.counts["full"] for h in cluster.processes.values()) > 0


def test_reports_arrive_with_their_age():
    cluster, names = cluster_of(20, 16)
    host = cluster.processes[names[3]]
    cluster.perform(host, host.member.set_load(cluster.now_us, LocalLoad(17, 4, ("s-1",))))
    told = cluster.now_us
    cluster.run_until(cluster.now_us + 10 * S)
    reports = [
        cluster.processes[n].member.report(names[3], cluster.now_us) for n in names if n != names[3]
    ]
    heard = [r for r in reports if r is not None]
    assert len(heard) >= 17
    for report, age in heard:
        assert (report.in_flight, report.subset_size, report.failing_servers) == (17, 4, ("s-1",))
        assert abs(age - (cluster.now_us - told)) < S // 10


def test_the_cost_does_not_grow_with_the_members():
    cost = {}
    for count in (12, 48):
        cluster, _ = cluster_of(count, 17, settled=30)
        cluster.counts.clear()
        cluster.run_until(cluster.now_us + 10 * S)
        cost[count] = cluster.counts["messages"] / count
    assert 0.9 < cost[48] / cost[12] < 1.1


def test_a_seed_plays_the_same_run():
    courses = []
    for _ in range(2):
        cluster, names = cluster_of(20, 18, network=SimulatedNetwork(loss=0.2, duplication=0.1))
        cluster.kill(names[9])
        cluster.run_until(cluster.now_us + 20 * S)
        courses.append((cluster.changes, cluster.counts))
    assert courses[0] == courses[1]


def test_a_report_that_is_sent_directly_is_fresh_where_piggybacked_ones_are_old():
    """Sixty members with a report a second each: more than their datagrams hold."""
    cluster = SimulatedCluster(1, count_bytes=False)
    cluster.start_converged({f"n{i:02d}": {} for i in range(60)})
    about = SiteReport(tuple(SiteObservation(site, 3) for site in "abc"), 50, 100)
    load = LocalLoad(3, 5, ("s001", "s002"), about, 10)

    def tell(name: str) -> None:
        member = cluster.processes[name].member
        cluster.perform(cluster.processes[name], member.set_load(cluster.now_us, load))
        if name == "n07":
            cluster.perform(
                cluster.processes[name],
                member.send_report(cluster.now_us, [*member.live_names(), "nobody"]),
            )
        cluster.call_later(S, lambda: tell(name))

    for n, name in enumerate(cluster.processes):
        cluster.call_later(n * S // 60, lambda name=name: tell(name))
    cluster.run_until(30 * S)
    ages = {"n07": [], "n08": []}
    for name, host in cluster.processes.items():
        for about_whom, found in ages.items():
            if name != about_whom:
                found.append(host.member.report(about_whom, cluster.now_us)[1] / S)
    assert max(ages["n07"]) < 1.1 < sorted(ages["n08"])[50]
