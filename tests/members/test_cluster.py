"""Clusters in simulated time: failure detection, partitions, restarts and false verdicts."""

from collections import Counter

import pytest

from oakbridge.peers.messages import (
    SiteObservation,
    SiteReport,
)
from oakbridge.peers.node_reports import LocalLoad
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.simulation import SimulatedCluster, SimulatedNetwork, nothing_blocked

SECOND_US = 1_000_000


def cluster_of(
    count: int, seed: int, settled_s: int = 12, **options
) -> tuple[SimulatedCluster, list[str]]:
    """Return members that start within 1 s with three seeds, run until ``settled_s``."""
    cluster = SimulatedCluster(seed, count_bytes=False, **options)
    names = [f"n{i:03d}" for i in range(count)]
    for i, name in enumerate(names):
        cluster.call_later(
            cluster.random.randrange(SECOND_US),
            lambda member_name=name, i=i: cluster.start(
                member_name, names[:3], tags={"site": "abc"[i % 3]}
            ),
        )
    cluster.run_until(settled_s * SECOND_US)
    cluster.changes.clear()
    return cluster, names


def declared_failed(cluster: SimulatedCluster, among=None) -> set[str]:
    """Return the members that any other one has declared failed, limited to ``among``."""
    return {
        change.name
        for _, change in cluster.changes
        if change.after == "failed" and (among is None or change.name in among)
    }


@pytest.mark.parametrize("seed", [1, 2])
def test_members_started_within_a_second_join(seed):
    cluster, _ = cluster_of(36, seed, settled_s=5)
    assert cluster.count_view_errors() == 0
    assert all(not process.member.is_joining for process in cluster.processes.values())


@pytest.mark.parametrize("killed_count", [1, 4, 25], ids=["one", "a tenth", "70%"])
def test_only_killed_members_are_declared_failed(killed_count):
    cluster, names = cluster_of(36, 3)
    killed = names[3 : 3 + killed_count]
    for name in killed:
        cluster.kill(name)
    cluster.run_until(cluster.now_us + 15 * SECOND_US)
    assert cluster.count_view_errors() == 0
    assert declared_failed(cluster) == set(killed)


@pytest.mark.parametrize("local_health", [True, False], ids=["local health", "without"])
def test_starved_members_are_not_declared_failed(local_health):
    cluster, names = cluster_of(30, 4, options=ProtocolOptions(local_health=local_health))
    for name in names[:10]:
        cluster.processes[name].max_starvation_us = 0.6 * SECOND_US
    cluster.run_until(cluster.now_us + 10 * SECOND_US)
    suspected = len({change.name for _, change in cluster.changes if change.after == "suspect"})
    assert not declared_failed(cluster)
    assert suspected  # otherwise starvation had no effect


def test_late_timers_do_not_count_against_other_members():
    verdicts = {}
    for local_health in (True, False):
        cluster, names = cluster_of(9, 5, options=ProtocolOptions(local_health=local_health))
        cluster.freeze(names[0], cluster.now_us + 60 * SECOND_US)
        cluster.run_until(cluster.now_us + 75 * SECOND_US)
        verdicts[local_health] = [
            change
            for observer, change in cluster.changes
            if observer == names[0] and change.after == "failed"
        ]
        assert cluster.count_view_errors() == 0
        assert declared_failed(cluster, {names[0]})
    assert not verdicts[True]


def test_a_site_that_is_cut_off_and_returns_causes_one_change_per_pair_each_way():
    cluster, names = cluster_of(30, 6)
    site = {member_name: i % 3 for i, member_name in enumerate(names)}
    own = {member_name for member_name in names if not site[member_name]}
    cluster.is_blocked = lambda source, destination: (not site[source]) != (not site[destination])
    cluster.run_until(cluster.now_us + 25 * SECOND_US)
    assert cluster.count_view_errors(own) == 0 == cluster.count_view_errors(set(names) - own)
    cluster.run_until(cluster.now_us + 30 * SECOND_US)
    cluster.is_blocked = nothing_blocked
    cluster.run_until(cluster.now_us + 15 * SECOND_US)
    assert cluster.count_view_errors() == 0
    pairs = Counter(
        (observer, change.name, change.after)
        for observer, change in cluster.changes
        if "failed" in (change.before, change.after)
    )
    assert max(pairs.values()) == 1  # no flapping
    assert all(
        (change.name in own) != (observer in own)
        for observer, change in cluster.changes
        if change.after == "failed"
    )


def test_three_partitions_heal_in_two_steps():
    cluster, names = cluster_of(30, 7)
    partition = {member_name: i % 3 for i, member_name in enumerate(names)}
    connected: set[frozenset[int]] = set()
    cluster.is_blocked = lambda source, destination: (
        partition[source] != partition[destination]
        and frozenset((partition[source], partition[destination])) not in connected
    )
    cluster.run_until(cluster.now_us + 40 * SECOND_US)
    connected.add(frozenset((1, 2)))
    cluster.run_until(cluster.now_us + 30 * SECOND_US)
    healed = {member_name for member_name in names if partition[member_name]}
    assert cluster.count_view_errors(healed) == 0 == cluster.count_view_errors(set(names) - healed)
    connected.update({frozenset((0, 1)), frozenset((0, 2))})
    cluster.run_until(cluster.now_us + 30 * SECOND_US)
    assert cluster.count_view_errors() == 0


@pytest.mark.parametrize("direction", ["out", "in"])
def test_a_one_way_cut_between_two_sites_causes_no_failure(direction):
    cluster, names = cluster_of(21, 8)
    site = {member_name: i % 3 for i, member_name in enumerate(names)}
    pair = (0, 1) if direction == "out" else (1, 0)
    cluster.is_blocked = lambda source, destination: (site[source], site[destination]) == pair
    cluster.run_until(cluster.now_us + 60 * SECOND_US)
    assert not declared_failed(cluster)  # members of the third site relay the probes


def test_a_member_whose_datagrams_are_lost_is_declared_failed_and_refutes_in_vain():
    cluster, names = cluster_of(12, 9)
    cluster.is_blocked = lambda source, destination: source == names[4]
    cluster.run_until(cluster.now_us + 30 * SECOND_US)
    assert {
        change.name
        for observer, change in cluster.changes
        if change.after == "failed" and observer != names[4]
    } == {names[4]}
    assert cluster.processes[names[4]].member.counts["refuted"]  # its refutations are lost


def test_members_that_left_are_not_declared_failed():
    cluster, names = cluster_of(30, 10, network=SimulatedNetwork(loss=0.1))
    for name in names[:10]:
        process = cluster.processes[name]
        cluster.perform(process, process.member.leave(cluster.now_us))
        cluster.call_later(2 * SECOND_US, lambda member_name=name: cluster.kill(member_name))
    cluster.run_until(cluster.now_us + 60 * SECOND_US)
    assert not declared_failed(cluster)
    assert cluster.count_view_errors() == 0
    assert cluster.state_in_view(names[20], names[0]) == "left"


def test_a_member_frozen_for_ten_minutes_makes_no_false_claims_afterwards():
    cluster, names = cluster_of(8, 11)
    cluster.freeze(names[7], cluster.now_us + 600 * SECOND_US)
    cluster.run_until(cluster.now_us + 600 * SECOND_US)
    assert declared_failed(cluster) == {names[7]}
    cluster.run_until(cluster.now_us + 10 * SECOND_US)
    assert cluster.count_view_errors() == 0  # its outdated view had no effect
    assert declared_failed(cluster) == {names[7]}
    cluster.freeze(names[6], cluster.now_us + 5 * SECOND_US)
    cluster.run_until(cluster.now_us + 20 * SECOND_US)
    assert cluster.count_view_errors() == 0


@pytest.mark.parametrize("old_process", ["dead", "alive", "frozen"])
def test_a_name_that_returns_at_another_address(old_process):
    cluster, names = cluster_of(12, 12)
    earlier_process = cluster.processes[names[5]]
    if old_process == "dead":
        earlier_process.is_up = False
    elif old_process == "frozen":
        cluster.freeze(names[5])
    # The new process has the same generation, as there is no snapshot of the earlier one.
    cluster.start(names[5], names[:2], address="elsewhere")
    cluster.run_until(cluster.now_us + 20 * SECOND_US)
    assert all(
        cluster.record_in_view(member_name, names[5]).address == "elsewhere"
        for member_name in names
        if member_name != names[5]
    )
    assert cluster.replaced_addresses == (["n005"] if old_process == "alive" else [])
    if old_process == "frozen":
        earlier_process.is_frozen, buffered, earlier_process.inbox = (
            False,
            earlier_process.inbox,
            None,
        )
        for source, message in buffered:
            cluster.perform(
                earlier_process, earlier_process.member.receive(cluster.now_us, source, message)
            )
        cluster.schedule_wake_up(earlier_process)
        cluster.run_until(cluster.now_us + 20 * SECOND_US)
        assert cluster.replaced_addresses == ["n005"]
    assert cluster.processes[names[5]].member.replaced_by is None


def test_a_member_restarted_with_an_earlier_clock_keeps_its_name():
    cluster = SimulatedCluster(13)
    for i in range(6):
        cluster.start(f"n{i}", ["n0", "n1"], generation=1000)
    cluster.run_until(5 * SECOND_US)
    cluster.kill("n4")
    cluster.run_until(20 * SECOND_US)
    cluster.start("n4", ["n0"], generation=3)  # the clock was set back
    cluster.run_until(30 * SECOND_US)
    assert cluster.record_in_view("n1", "n4").generation == 1001
    assert cluster.count_view_errors() == 0


def test_joining_continues_while_all_seeds_are_dead():
    cluster, names = cluster_of(9, 14)
    for name in names[:3]:
        cluster.kill(name)
    cluster.run_until(cluster.now_us + 20 * SECOND_US)
    late = cluster.start("late", [*names[:3], "nowhere"])
    cluster.run_until(cluster.now_us + 60 * SECOND_US)
    assert late.member.is_joining  # no seed responds, and it keeps retrying
    cluster.start(names[0], names[3:5])
    cluster.run_until(cluster.now_us + 45 * SECOND_US)
    assert not late.member.is_joining
    assert cluster.count_view_errors() == 0


def test_the_member_table_is_bounded():
    cluster, _ = cluster_of(40, 15, options=ProtocolOptions(max_members=20))
    assert max(len(process.member.members) for process in cluster.processes.values()) <= 20
    assert sum(process.member.counts["full"] for process in cluster.processes.values()) > 0


def test_load_reports_arrive_with_their_age():
    cluster, names = cluster_of(20, 16)
    process = cluster.processes[names[3]]
    cluster.perform(process, process.member.set_load(cluster.now_us, LocalLoad(17, 4, ("s-1",))))
    reported_at_us = cluster.now_us
    cluster.run_until(cluster.now_us + 10 * SECOND_US)
    reports = [
        cluster.processes[member_name].member.report(names[3], cluster.now_us)
        for member_name in names
        if member_name != names[3]
    ]
    received = [found for found in reports if found is not None]
    assert len(received) >= 17
    for report, age_us in received:
        assert (report.in_flight, report.subset_size, report.failing_servers) == (17, 4, ("s-1",))
        assert abs(age_us - (cluster.now_us - reported_at_us)) < SECOND_US // 10


def test_messages_per_member_do_not_grow_with_the_cluster():
    cost = {}
    for count in (12, 48):
        cluster, _ = cluster_of(count, 17, settled_s=30)
        cluster.counts.clear()
        cluster.run_until(cluster.now_us + 10 * SECOND_US)
        cost[count] = cluster.counts["messages"] / count
    assert 0.9 < cost[48] / cost[12] < 1.1


def test_a_seed_determines_the_run():
    runs = []
    for _ in range(2):
        cluster, names = cluster_of(20, 18, network=SimulatedNetwork(loss=0.2, duplication=0.1))
        cluster.kill(names[9])
        cluster.run_until(cluster.now_us + 20 * SECOND_US)
        runs.append((cluster.changes, cluster.counts))
    assert runs[0] == runs[1]


def test_directly_sent_reports_are_newer_than_piggybacked_ones():
    """Sixty members send one report per second each, more than fits into their datagrams."""
    cluster = SimulatedCluster(1, count_bytes=False)
    cluster.start_converged({f"n{i:02d}": {} for i in range(60)})
    site_report = SiteReport(tuple(SiteObservation(site, 3) for site in "abc"), 50, 100)
    load = LocalLoad(3, 5, ("s001", "s002"), site_report, 10)

    def report(name: str) -> None:
        member = cluster.processes[name].member
        cluster.perform(cluster.processes[name], member.set_load(cluster.now_us, load))
        if name == "n07":
            cluster.perform(
                cluster.processes[name],
                member.send_report(cluster.now_us, [*member.live_names(), "nobody"]),
            )
        cluster.call_later(SECOND_US, lambda: report(name))

    for index, name in enumerate(cluster.processes):
        cluster.call_later(index * SECOND_US // 60, lambda name=name: report(name))
    cluster.run_until(30 * SECOND_US)
    ages_s = {"n07": [], "n08": []}
    for name, process in cluster.processes.items():
        for reporter, found in ages_s.items():
            if name != reporter:
                found.append(process.member.report(reporter, cluster.now_us)[1] / SECOND_US)
    assert max(ages_s["n07"]) < 1.1 < sorted(ages_s["n08"])[50]
