"""One member by itself: verdicts, refutation, catching up."""

import msgspec
import pytest

from oakbridge.peers.actions import StartPushPull
from oakbridge.peers.member import Member
from oakbridge.peers.messages import (
    Datagram,
    MemberRecord,
    MemberState,
    MessageKind,
    PushPullState,
)
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.push_pull import CATCH_UP_INTERVAL_US
from oakbridge.peers.timers import TimerKind

S = 1_000_000


def test_who_was_held_for_failed_asks_for_what_it_missed():
    """Also where it has refuted the suspicion before it hears of the verdict; until an exchange ends."""
    one = Member("a", "a", 1, {}, 1, 0, ProtocolOptions(probe_interval_us=1000 * S))
    one.push_pull_completed(
        0,
        PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE),)),
        initiated=True,
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

    assert not hear(told)
    assert one.record.incarnation == 1
    assert hear(told.with_state(MemberState.FAILED, "c")) == [StartPushPull("b")]
    one.push_pull_failed()
    assert waits(S + CATCH_UP_INTERVAL_US * 3 // 2)  # another one is asked
    one.push_pull_completed(3 * S, PushPullState("b", 1, ()), initiated=True)
    assert not hear(told.with_state(MemberState.FAILED, "c"))  # the same verdict again
    assert hear(told.with_state(MemberState.FAILED, "c"), incarnation=1) == [
        StartPushPull("b")
    ]  # a new one


def test_gossip_that_is_read_before_late_timers_is_not_delayed_by_them():
    """A process that wakes reads its socket first: what it then suspects fails in the usual time."""
    one = Member("a", "a", 1, {}, 1, 0)
    dead = MemberRecord("c", "c", 1, 1, 0, MemberState.ALIVE)
    one.push_pull_completed(
        0,
        PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE), dead)),
        initiated=True,
    )
    woken = 40 * S
    one.receive(
        woken,
        "b",
        Datagram(
            MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (dead.with_state(MemberState.FAILED, "b"),)
        ),
    )
    while one.next_due_us() <= woken + 3 * S:
        one.tick(max(woken, one.next_due_us()))
    assert one.members["c"].record.state == MemberState.FAILED


@pytest.mark.parametrize("first", [MemberState.FAILED, MemberState.SUSPECT])
def test_a_verdict_heard_while_one_is_suspected_leaves_the_time_to_refute_it(first):
    """After a cut of 198 processes healed, neighbours were held for failed by the other part's verdict.

    It had been told once more, or after a suspicion that was heard before it.
    """
    one = Member(
        "a", "a", 1, {}, 1, 0, ProtocolOptions(probe_interval_us=1000 * S, local_health=False)
    )
    records = [MemberRecord(n, n, 1, 1, 0, MemberState.ALIVE) for n in "bcdefg"]
    one.push_pull_completed(0, PushPullState("b", 1, tuple(records)), initiated=True)
    verdict = records[1].with_state(MemberState.FAILED, "x")
    one.receive(
        S,
        "b",
        Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (records[1].with_state(first, "x"),)),
    )
    ends = S + one.members["c"].suspicion.shortest_timeout_us
    for at in ((S + ends) // 2 + 1, ends - 1):
        one.receive(at, "b", Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (verdict,)))
        assert one.members["c"].record.state == MemberState.SUSPECT
        assert one.members["c"].suspicion.deadline_us() == ends
    while one.next_due_us() <= ends:
        one.tick(one.next_due_us())
    assert one.members["c"].record.state == MemberState.FAILED


def test_one_chain_of_catching_up_however_often_it_is_held_for_failed():
    one = Member("a", "a", 1, {}, 1, 0, ProtocolOptions(probe_interval_us=1000 * S))
    one.push_pull_completed(
        0,
        PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE),)),
        initiated=True,
    )
    for n in range(5):
        verdict = msgspec.structs.replace(
            one.record.with_state(MemberState.FAILED, "b"), incarnation=n
        )
        one.receive(S + n, "b", Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (verdict,)))
    assert one.pending_timers(TimerKind.CATCH_UP).count(4) == 1  # the last incarnation that was
    asked = []
    while one.next_due_us() <= S + 2 * CATCH_UP_INTERVAL_US:
        asked += [a for a in one.tick(one.next_due_us()) if isinstance(a, StartPushPull)]
    assert 1 <= len(asked) <= 2
