"""A single member: verdicts, refutation, catching up on missed gossip."""

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

SECOND_US = 1_000_000


def test_a_member_that_was_declared_failed_requests_exchanges_until_one_succeeds():
    """It does so even if it has refuted the suspicion before it learns of the verdict."""
    member = Member("a", "a", 1, {}, 1, 0, ProtocolOptions(probe_interval_us=1000 * SECOND_US))
    member.push_pull_completed(
        0,
        PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE),)),
        initiated=True,
    )
    claim = member.record.with_state(MemberState.SUSPECT, "b")

    def receive(record, incarnation=0):
        record = msgspec.structs.replace(record, incarnation=incarnation)
        actions = member.receive(
            SECOND_US, "b", Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (record,))
        )
        return [action for action in actions if isinstance(action, StartPushPull)]

    def run_until(until_us):
        exchanges = []
        while member.next_due_us() <= until_us:
            exchanges += [
                action
                for action in member.tick(member.next_due_us())
                if isinstance(action, StartPushPull)
            ]
        return exchanges

    assert not receive(claim)
    assert member.record.incarnation == 1
    assert receive(claim.with_state(MemberState.FAILED, "c")) == [StartPushPull("b")]
    member.push_pull_failed()
    assert run_until(SECOND_US + CATCH_UP_INTERVAL_US * 3 // 2)  # retry with another member
    member.push_pull_completed(3 * SECOND_US, PushPullState("b", 1, ()), initiated=True)
    assert not receive(claim.with_state(MemberState.FAILED, "c"))  # the same verdict again
    # A verdict on a later incarnation is a new one.
    assert receive(claim.with_state(MemberState.FAILED, "c"), incarnation=1) == [StartPushPull("b")]


def test_suspicions_from_gossip_received_before_late_timers_are_not_delayed():
    """A resumed process reads its socket before its timers fire.

    Members that it then suspects fail after the usual timeout.
    """
    member = Member("a", "a", 1, {}, 1, 0)
    record_c = MemberRecord("c", "c", 1, 1, 0, MemberState.ALIVE)
    member.push_pull_completed(
        0,
        PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE), record_c)),
        initiated=True,
    )
    resumed_us = 40 * SECOND_US
    member.receive(
        resumed_us,
        "b",
        Datagram(
            MessageKind.GOSSIP,
            0,
            "b",
            1,
            0,
            "",
            "",
            (record_c.with_state(MemberState.FAILED, "b"),),
        ),
    )
    while member.next_due_us() <= resumed_us + 3 * SECOND_US:
        member.tick(max(resumed_us, member.next_due_us()))
    assert member.members["c"].record.state == MemberState.FAILED


@pytest.mark.parametrize("first", [MemberState.FAILED, MemberState.SUSPECT])
def test_a_failure_claim_about_a_suspected_member_leaves_time_to_refute_it(first):
    """After a partition of 198 processes healed, members were declared failed by mistake.

    The other partition's verdict about them arrived twice, or after a suspicion.
    """
    member = Member(
        "a",
        "a",
        1,
        {},
        1,
        0,
        ProtocolOptions(probe_interval_us=1000 * SECOND_US, local_health=False),
    )
    records = [MemberRecord(name, name, 1, 1, 0, MemberState.ALIVE) for name in "bcdefg"]
    member.push_pull_completed(0, PushPullState("b", 1, tuple(records)), initiated=True)
    verdict = records[1].with_state(MemberState.FAILED, "x")
    member.receive(
        SECOND_US,
        "b",
        Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (records[1].with_state(first, "x"),)),
    )
    deadline_us = SECOND_US + member.members["c"].suspicion.shortest_timeout_us
    for now_us in ((SECOND_US + deadline_us) // 2 + 1, deadline_us - 1):
        member.receive(now_us, "b", Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (verdict,)))
        assert member.members["c"].record.state == MemberState.SUSPECT
        assert member.members["c"].suspicion.deadline_us() == deadline_us
    while member.next_due_us() <= deadline_us:
        member.tick(member.next_due_us())
    assert member.members["c"].record.state == MemberState.FAILED


def test_repeated_failures_cause_one_chain_of_catch_up_exchanges():
    member = Member("a", "a", 1, {}, 1, 0, ProtocolOptions(probe_interval_us=1000 * SECOND_US))
    member.push_pull_completed(
        0,
        PushPullState("b", 1, (MemberRecord("b", "b", 1, 1, 0, MemberState.ALIVE),)),
        initiated=True,
    )
    for incarnation in range(5):
        verdict = msgspec.structs.replace(
            member.record.with_state(MemberState.FAILED, "b"), incarnation=incarnation
        )
        member.receive(
            SECOND_US + incarnation,
            "b",
            Datagram(MessageKind.GOSSIP, 0, "b", 1, 0, "", "", (verdict,)),
        )
    # 4 is the last incarnation that was declared failed.
    assert member.pending_timers(TimerKind.CATCH_UP).count(4) == 1
    exchanges = []
    while member.next_due_us() <= SECOND_US + 2 * CATCH_UP_INTERVAL_US:
        exchanges += [
            action
            for action in member.tick(member.next_due_us())
            if isinstance(action, StartPushPull)
        ]
    assert 1 <= len(exchanges) <= 2
