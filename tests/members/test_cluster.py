"""Members together, in simulated time: who learns what, and what is never said."""

from collections import Counter

import msgspec
import pytest

from oakbridge.peers.actions import StartPushPull
from oakbridge.peers.initial_states import initial_states
from oakbridge.peers.interleavings import explore
from oakbridge.peers.member import Member
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.messages import (
    Datagram,
    MemberRecord,
    MemberState,
    MessageKind,
    PushPullState,
    SiteObservation,
    SiteReport,
)
from oakbridge.peers.node_reports import LocalLoad
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.push_pull import CATCH_UP_INTERVAL_US
from oakbridge.peers.random_scenarios import RandomScenario
from oakbridge.peers.refutation import Refutation
from oakbridge.peers.simulation import SimulatedCluster, SimulatedNetwork, nothing_blocked
from oakbridge.peers.timers import TimerKind

S = 1_000_000


def fleet(count: int, seed: int, settled: int = 12, **how) -> tuple[SimulatedCluster, list[str]]:
    """So many that have started within a second, by three seeds, and have had time to meet."""
    made = SimulatedCluster(seed, measure=False, **how)
    names = [f"n{i:03d}" for i in range(count)]
    for i, name in enumerate(names):
        made.call_later(
            made.random.randrange(S),
            lambda n=name, i=i: made.start(n, names[:3], tags={"site": "abc"[i % 3]}),
        )
    made.run_until(settled * S)
    made.changes.clear()
    return made, names


def failed(made: SimulatedCluster, about=None) -> set[str]:
    """Who was called failed by anyone."""
    return {c.name for _, c in made.changes if c.after == "failed" and (about is None or c.name in about)}


@pytest.mark.parametrize("seed", [1, 2])
def test_all_start_within_a_second_and_meet(seed):
    made, _ = fleet(36, seed, settled=5)
    assert made.wrong_pairs() == 0
    assert all(not h.member.is_joining for h in made.processes.values())


@pytest.mark.parametrize("many", [1, 4, 25], ids=["one", "a tenth", "seven in ten"])
def test_the_killed_are_found_and_nobody_else(many):
    made, names = fleet(36, 3)
    dead = names[3 : 3 + many]
    for name in dead:
        made.kill(name)
    made.run_until(made.now_us + 15 * S)
    assert made.wrong_pairs() == 0
    assert failed(made) == set(dead)


@pytest.mark.parametrize("health", [True, False], ids=["local health", "without"])
def test_the_starved_are_not_called_failed(health):
    made, names = fleet(30, 4, options=ProtocolOptions(local_health=health))
    for name in names[:10]:
        made.processes[name].max_starvation_us = 0.6 * S
    made.run_until(made.now_us + 10 * S)
    suspected = len({c.name for _, c in made.changes if c.after == "suspect"})
    assert not failed(made)
    assert suspected  # or the trial tries nothing


def test_timers_that_fire_late_are_no_evidence_against_others():
    verdicts = {}
    for health in (True, False):
        made, names = fleet(9, 5, options=ProtocolOptions(local_health=health))
        made.freeze(names[0], made.now_us + 60 * S)
        made.run_until(made.now_us + 75 * S)
        verdicts[health] = [c for who, c in made.changes if who == names[0] and c.after == "failed"]
        assert made.wrong_pairs() == 0
        assert failed(made, {names[0]})
    assert not verdicts[True]


def test_a_site_is_cut_off_and_comes_back_with_one_change_each():
    made, names = fleet(30, 6)
    site = {n: i % 3 for i, n in enumerate(names)}
    own = {n for n in names if not site[n]}
    made.is_blocked = lambda a, b: (not site[a]) != (not site[b])
    made.run_until(made.now_us + 25 * S)
    assert made.wrong_pairs(own) == 0 == made.wrong_pairs(set(names) - own)
    made.run_until(made.now_us + 30 * S)
    made.is_blocked = nothing_blocked
    made.run_until(made.now_us + 15 * S)
    assert made.wrong_pairs() == 0
    pairs = Counter((who, c.name, c.after) for who, c in made.changes if "failed" in (c.before, c.after))
    assert max(pairs.values()) == 1  # no flapping
    assert all((c.name in own) != (who in own) for who, c in made.changes if c.after == "failed")


def test_three_parts_heal_in_another_order():
    made, names = fleet(30, 7)
    part = {n: i % 3 for i, n in enumerate(names)}
    open_to: set[frozenset[int]] = set()
    made.is_blocked = lambda a, b: part[a] != part[b] and frozenset((part[a], part[b])) not in open_to
    made.run_until(made.now_us + 40 * S)
    open_to.add(frozenset((1, 2)))
    made.run_until(made.now_us + 30 * S)
    two = {n for n in names if part[n]}
    assert made.wrong_pairs(two) == 0 == made.wrong_pairs(set(names) - two)
    open_to.update({frozenset((0, 1)), frozenset((0, 2))})
    made.run_until(made.now_us + 30 * S)
    assert made.wrong_pairs() == 0


@pytest.mark.parametrize("way", ["out", "in"])
def test_a_one_way_cut_between_two_sites_fails_nobody(way):
    made, names = fleet(21, 8)
    site = {n: i % 3 for i, n in enumerate(names)}
    pair = (0, 1) if way == "out" else (1, 0)
    made.is_blocked = lambda a, b: (site[a], site[b]) == pair
    made.run_until(made.now_us + 60 * S)
    assert not failed(made)  # the third site's members probe for both


def test_one_that_nobody_hears_is_failed_and_hears_all():
    made, names = fleet(12, 9)
    made.is_blocked = lambda a, b: a == names[4]
    made.run_until(made.now_us + 30 * S)
    assert {c.name for who, c in made.changes if c.after == "failed" and who != names[4]} == {names[4]}
    assert made.processes[names[4]].member.counts["refuted"]  # it says so, and is not heard


def test_who_left_on_purpose_is_not_called_failed():
    made, names = fleet(30, 10, network=SimulatedNetwork(loss=0.1))
    for name in names[:10]:
        host = made.processes[name]
        made.perform(host, host.member.leave(made.now_us))
        made.call_later(2 * S, lambda n=name: made.kill(n))
    made.run_until(made.now_us + 60 * S)
    assert not failed(made)
    assert made.wrong_pairs() == 0
    assert made.state_held(names[20], names[0]) == "left"


def test_wakes_after_ten_minutes_in_the_midst_of_its_funeral():
    made, names = fleet(8, 11)
    made.freeze(names[7], made.now_us + 600 * S)
    made.run_until(made.now_us + 600 * S)
    assert failed(made) == {names[7]}
    made.run_until(made.now_us + 10 * S)
    assert made.wrong_pairs() == 0  # and what it believed ten minutes ago has changed nothing
    assert failed(made) == {names[7]}
    made.freeze(names[6], made.now_us + 5 * S)
    made.run_until(made.now_us + 20 * S)
    assert made.wrong_pairs() == 0


@pytest.mark.parametrize("old", ["dead", "alive", "frozen"])
def test_a_name_that_comes_back_at_another_address(old):
    made, names = fleet(12, 12)
    before = made.processes[names[5]]
    if old == "dead":
        before.is_up = False
    elif old == "frozen":
        made.freeze(names[5])
    made.start(names[5], names[:2], address="elsewhere")  # the same life: it has nothing from before
    made.run_until(made.now_us + 20 * S)
    assert all(made.record_held(n, names[5]).address == "elsewhere" for n in names if n != names[5])
    assert made.replaced == (["n005"] if old == "alive" else [])
    if old == "frozen":
        before.is_frozen, waited, before.inbox = False, before.inbox, None
        for source, message in waited:
            made.perform(before, before.member.receive(made.now_us, source, message))
        made.schedule_wake_up(before)
        made.run_until(made.now_us + 20 * S)
        assert made.replaced == ["n005"]
    assert made.processes[names[5]].member.replaced_by is None


def test_a_restart_with_an_older_clock_takes_its_name_back():
    made = SimulatedCluster(13)
    for i in range(6):
        made.start(f"n{i}", ["n0", "n1"], generation=1000)
    made.run_until(5 * S)
    made.kill("n4")
    made.run_until(20 * S)
    made.start("n4", ["n0"], generation=3)  # the clock was set back
    made.run_until(30 * S)
    assert made.record_held("n1", "n4").generation == 1001
    assert made.wrong_pairs() == 0


def test_all_seeds_gone_and_a_snapshot_of_the_dead():
    made, names = fleet(9, 14)
    for name in names[:3]:
        made.kill(name)
    made.run_until(made.now_us + 20 * S)
    late = made.start("late", [*names[:3], "nowhere"])
    made.run_until(made.now_us + 60 * S)
    assert late.member.is_joining  # nobody answers: it says so, and goes on trying
    made.start(names[0], names[3:5])
    made.run_until(made.now_us + 45 * S)
    assert not late.member.is_joining
    assert made.wrong_pairs() == 0


def test_as_many_as_it_may_hold():
    made, _ = fleet(40, 15, options=ProtocolOptions(max_members=20))
    assert max(len(h.member.members) for h in made.processes.values()) <= 20
    assert sum(h.member.counts["full"] for h in made.processes.values()) > 0


def test_facts_arrive_with_their_age():
    made, names = fleet(20, 16)
    host = made.processes[names[3]]
    made.perform(host, host.member.set_load(made.now_us, LocalLoad(17, 4, ("s-1",))))
    told = made.now_us
    made.run_until(made.now_us + 10 * S)
    facts = [made.processes[n].member.report(names[3], made.now_us) for n in names if n != names[3]]
    heard = [f for f in facts if f is not None]
    assert len(heard) >= 17
    for fact, age in heard:
        assert (fact.in_flight, fact.subset_size, fact.failing_servers) == (17, 4, ("s-1",))
        assert abs(age - (made.now_us - told)) < S // 10


def test_the_cost_does_not_grow_with_the_members():
    cost = {}
    for count in (12, 48):
        made, _ = fleet(count, 17, settled=30)
        made.counts.clear()
        made.run_until(made.now_us + 10 * S)
        cost[count] = made.counts["messages"] / count
    assert 0.9 < cost[48] / cost[12] < 1.1


def test_a_seed_plays_the_same_course():
    courses = []
    for _ in range(2):
        made, names = fleet(20, 18, network=SimulatedNetwork(loss=0.2, duplication=0.1))
        made.kill(names[9])
        made.run_until(made.now_us + 20 * S)
        courses.append((made.changes, made.counts))
    assert courses[0] == courses[1]


def test_what_holds_in_random_courses():
    for seed in range(30):
        result = RandomScenario(seed, members=3 + seed % 3).play()
        assert result.violations == [], (seed, result.events)


def goes_back(monkeypatch):
    monkeypatch.setattr(MemberRecord, "supersedes", lambda self, other: True)


def never_refutes(monkeypatch):
    monkeypatch.setattr(Refutation, "answer", lambda self, now_us, claim: None)


def probes_who_left(monkeypatch):
    monkeypatch.setattr(
        KnownMember, "is_live", property(lambda self: self.record.state != MemberState.FAILED)
    )


@pytest.mark.parametrize(
    ("fault", "told"),
    [(goes_back, "went back"), (never_refutes, "for alive, and"), (probes_who_left, "which left")],
)
def test_a_planted_fault_breaks_a_course(monkeypatch, fault, told):
    fault(monkeypatch)
    broken = [line for seed in range(4) for line in RandomScenario(seed).play().violations]
    assert any(told in line for line in broken)


@pytest.mark.parametrize("scene", sorted(initial_states()))
def test_what_holds_in_every_order_of_three_members(scene):
    report = explore(initial_states()[scene], 3, convergence_sample=20)
    assert report.violations == [] and len(report.states) > 50 and report.converged > 0


@pytest.mark.parametrize(
    ("fault", "scene", "told"),
    [
        (goes_back, "one of them is silent for a second", "went back"),
        (never_refutes, "one is called failed, and lives", "of calm"),
        (probes_who_left, "one has left, and is still there", "which left"),
    ],
)
def test_a_planted_fault_breaks_an_order(monkeypatch, fault, scene, told):
    every = 20 if told == "of calm" else 10**9
    begins = [initial_states()[scene]]
    fault(monkeypatch)
    begins.append(initial_states()[scene])  # a fault may show in what leads there
    broken = [line for state in begins for line in explore(state, 4, every).violations]
    assert any(told in line for line in broken)


def test_who_was_called_failed_asks_for_what_went_past_it():
    """Also where it has refuted the suspicion before it hears of the verdict; until an exchange has come about."""
    one = Member("a", "a", 1, {}, 1, 0, ProtocolOptions(probe_interval_us=1000 * S))
    one.push_pull_completed(
        0, PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE),)), initiated=True
    )
    told = one.record.with_state(MemberState.SUSPECT, "b")

    def hear(record, incarnation=0):
        record = msgspec.structs.replace(record, incarnation=incarnation)
        actions = one.receive(S, "b", Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (record,)))
        return [a for a in actions if isinstance(a, StartPushPull)]

    def waits(until):
        asked = []
        while one.next_due_us() <= until:
            asked += [a for a in one.tick(one.next_due_us()) if isinstance(a, StartPushPull)]
        return asked

    assert not hear(told) and one.record.incarnation == 1
    assert hear(told.with_state(MemberState.FAILED, "c")) == [StartPushPull("b")]
    one.push_pull_failed()
    assert waits(S + CATCH_UP_INTERVAL_US * 3 // 2)  # another one is asked
    one.push_pull_completed(3 * S, PushPullState("b", 1, ()), initiated=True)
    assert not hear(told.with_state(MemberState.FAILED, "c"))  # the same verdict again
    assert hear(told.with_state(MemberState.FAILED, "c"), incarnation=1) == [StartPushPull("b")]  # a new one


def test_news_that_are_read_before_the_late_timers_are_not_put_off_by_them():
    """A process that wakes reads its socket first: what it begins to suspect then is failed in the usual time."""
    one = Member("a", "a", 1, {}, 1, 0)
    dead = MemberRecord("c", "c", 1, 1, 0, MemberState.ALIVE)
    one.push_pull_completed(
        0, PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE), dead)), initiated=True
    )
    woken = 40 * S
    one.receive(
        woken,
        "b",
        Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (dead.with_state(MemberState.FAILED, "b"),)),
    )
    while one.next_due_us() <= woken + 3 * S:
        one.tick(max(woken, one.next_due_us()))
    assert one.members["c"].record.state == MemberState.FAILED


@pytest.mark.parametrize("first", [MemberState.FAILED, MemberState.SUSPECT])
def test_a_verdict_heard_while_one_is_suspected_leaves_the_time_to_refute_it(first):
    """A cut healed with 198 processes: neighbours were called failed by the other part's verdict, told once more, or
    told when a suspicion had been heard before it."""
    one = Member("a", "a", 1, {}, 1, 0, ProtocolOptions(probe_interval_us=1000 * S, local_health=False))
    records = [MemberRecord(n, n, 1, 1, 0, MemberState.ALIVE) for n in "bcdefg"]
    one.push_pull_completed(0, PushPullState("b", 1, tuple(records)), initiated=True)
    verdict = records[1].with_state(MemberState.FAILED, "x")
    one.receive(
        S, "b", Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (records[1].with_state(first, "x"),))
    )
    ends = S + one.members["c"].suspicion.min_us
    for at in ((S + ends) // 2 + 1, ends - 1):
        one.receive(at, "b", Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (verdict,)))
        assert (
            one.members["c"].record.state == MemberState.SUSPECT
            and one.members["c"].suspicion.deadline_us() == ends
        )
    while one.next_due_us() <= ends:
        one.tick(one.next_due_us())
    assert one.members["c"].record.state == MemberState.FAILED


def test_one_chain_of_asking_however_often_it_is_called_failed():
    one = Member("a", "a", 1, {}, 1, 0, ProtocolOptions(probe_interval_us=1000 * S))
    one.push_pull_completed(
        0, PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE),)), initiated=True
    )
    for n in range(5):
        verdict = msgspec.structs.replace(one.record.with_state(MemberState.FAILED, "b"), incarnation=n)
        one.receive(S + n, "b", Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (verdict,)))
    assert one.pending_timers(TimerKind.CATCH_UP).count(4) == 1  # the last incarnation that was
    asked = []
    while one.next_due_us() <= S + 2 * CATCH_UP_INTERVAL_US:
        asked += [a for a in one.tick(one.next_due_us()) if isinstance(a, StartPushPull)]
    assert 1 <= len(asked) <= 2


def test_a_fact_that_is_told_directly_is_fresh_where_those_that_ride_along_are_old():
    """Sixty members with a fact a second each: more than their datagrams hold."""
    made = SimulatedCluster(1, measure=False)
    made.start_introduced({f"n{i:02d}": {} for i in range(60)})
    about = SiteReport(tuple(SiteObservation(site, 3) for site in "abc"), 50, 100)
    load = LocalLoad(3, 5, ("s001", "s002"), about, 10)

    def tell(name: str) -> None:
        member = made.processes[name].member
        made.perform(made.processes[name], member.set_load(made.now_us, load))
        if name == "n07":
            made.perform(
                made.processes[name], member.send_report(made.now_us, [*member.live_names(), "nobody"])
            )
        made.call_later(S, lambda: tell(name))

    for n, name in enumerate(made.processes):
        made.call_later(n * S // 60, lambda name=name: tell(name))
    made.run_until(30 * S)
    ages = {"n07": [], "n08": []}
    for name, host in made.processes.items():
        for about_whom, found in ages.items():
            if name != about_whom:
                found.append(host.member.report(about_whom, made.now_us)[1] / S)
    assert max(ages["n07"]) < 1.1 < sorted(ages["n08"])[50]
