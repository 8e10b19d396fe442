"""Applies claims of other members, and this member's own verdicts, to its member table.

Differs from SWIM: a claim that a live member failed only starts a suspicion, with the shortest
timeout, and the member concerned is notified at once.  So two partitions merge again without
declaring members of their own partition failed.
"""

from __future__ import annotations

import msgspec

from oakbridge.peers.actions import MemberChanged, MemberCounter
from oakbridge.peers.dissemination import Dissemination, Header
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.messages import MemberRecord, MemberState, MessageKind
from oakbridge.peers.probe_rotation import ProbeRotation
from oakbridge.peers.push_pull import PushPull
from oakbridge.peers.refutation import Refutation
from oakbridge.peers.suspicion_monitor import SuspicionMonitor
from oakbridge.peers.timers import TimerKind

MAX_HISTORY_LENGTH = 8  # state changes kept per member, for ``oakbridge peers why``
MAX_REPORTERS_NAMED = 4  # in the cause of a failure
FORGET_CHECKS_PER_PERIOD = 24  # the period is ProtocolOptions.forget_after_us


class Membership:
    """Applies claims about members to the table, and broadcasts the changes."""

    def __init__(
        self,
        local: LocalMember,
        dissemination: Dissemination,
        push_pull: PushPull,
        suspicions: SuspicionMonitor,
        rotation: ProbeRotation,
    ) -> None:
        self._local = local
        self._dissemination = dissemination
        self._push_pull = push_pull
        self._suspicions = suspicions
        self._rotation = rotation
        self._refutation = Refutation(local, dissemination, push_pull)

    def start(self, now_us: int) -> None:
        """Schedule the next check for members to forget."""
        delay_us = self._local.options.forget_after_us // FORGET_CHECKS_PER_PERIOD
        self._local.timers.add(now_us + delay_us, TimerKind.FORGET)

    # ---- claims

    def apply(self, now_us: int, claim: MemberRecord, sender: str, channel: str) -> None:
        """Apply a claim about a member; ``channel`` says how it was received, for the history."""
        if claim.name == self._local.record.name:
            self._refutation.respond(now_us, claim)
            return
        known = self._local.table.get(claim.name)
        if known is None:
            self._discover(now_us, claim, sender, channel)
        elif claim.process_key == known.record.process_key:
            self._apply_to_same_process(now_us, known, claim, sender, channel)
        elif claim.supersedes(known.record):
            reporter = claim.reported_by or sender
            self._set_record(now_us, known, claim, reporter, "a new process of this name")

    def _apply_to_same_process(
        self, now_us: int, known: KnownMember, claim: MemberRecord, sender: str, channel: str
    ) -> None:
        old = known.record
        if claim.precedence == old.precedence and old.state == MemberState.SUSPECT:
            self._suspicions.confirm(now_us, known, claim.reported_by)
            return
        if not claim.supersedes(old):
            return
        if claim.state != MemberState.ALIVE:
            # Only the member itself changes its tags and address; other members' claims lack them.
            claim = msgspec.structs.replace(claim, tags=old.tags, address=old.address)
        if claim.state == MemberState.FAILED and old.state <= MemberState.SUSPECT:
            self._apply_failure_report(now_us, known, claim, sender)
        else:
            self._set_record(now_us, known, claim, claim.reported_by or sender, channel)

    def _apply_failure_report(
        self, now_us: int, known: KnownMember, claim: MemberRecord, sender: str
    ) -> None:
        """Apply another member's claim that a live one has failed.

        The claim shortens the suspicion to its shortest timeout, counted from its start; repeated
        claims have no further effect.  So a refutation always has that time: after a partition
        heals, such claims often arrive before it.
        """
        reporter = claim.reported_by or sender
        if known.suspicion is None:
            suspicion_claim = claim.with_state(MemberState.SUSPECT, claim.reported_by)
            self._set_record(now_us, known, suspicion_claim, reporter, "called failed, not by us")
            header = Header(MessageKind.PING, target=claim.name)
            self._dissemination.send(known.record, header, now_us)
        suspicion = known.suspicion
        if suspicion is None or suspicion.is_failure_reported:
            return
        suspicion.report_failure()
        if suspicion.deadline_us() <= now_us:
            self._set_record(now_us, known, claim, reporter, "heard it while suspecting it")
        else:
            self._local.timers.add(suspicion.deadline_us(), TimerKind.SUSPICION, claim.name)

    def _discover(self, now_us: int, claim: MemberRecord, sender: str, channel: str) -> None:
        table = self._local.table
        if len(table) + 1 >= self._local.options.max_members and not self._make_room(claim):
            self._local.counts[MemberCounter.TABLE_FULL] += 1
            return
        known = table.add(claim, now_us)
        if claim.state == MemberState.SUSPECT:
            self._suspicions.begin(now_us, known, claim.reported_by)
        self._update_live(known)
        cause = f"first heard of by {channel}"
        self._report_change(now_us, known, "", claim.reported_by or sender, cause)
        self._dissemination.broadcast_and_gossip(now_us, claim)

    def _make_room(self, claim: MemberRecord) -> bool:
        """Make room for a live member by forgetting the one that failed or left longest ago."""
        if claim.state > MemberState.SUSPECT:
            return False
        name = self._local.table.longest_not_live()
        if name is not None:
            self._local.table.remove(name)
        return name is not None

    # ---- own verdicts

    def suspect(self, now_us: int, name: str) -> None:
        """Suspect a member that neither this one nor its helpers could reach."""
        known = self._local.table.get(name)
        if known is None or not known.is_live:
            return
        own_name = self._local.record.name
        if known.record.state == MemberState.SUSPECT:
            self._suspicions.confirm(now_us, known, own_name)
            return
        claim = known.record.with_state(MemberState.SUSPECT, own_name)
        self._set_record(now_us, known, claim, own_name, "no answer to a probe, nor by others")

    def on_suspicion_timer(self, now_us: int, name: str) -> None:
        """Declare a suspected member failed if its suspicion has expired."""
        known = self._local.table.get(name)
        if not self._local.is_active or known is None or known.suspicion is None:
            return
        if known.suspicion.deadline_us() > now_us:
            return
        own_name = self._local.record.name
        claim = known.record.with_state(MemberState.FAILED, own_name)
        reporters = ", ".join(sorted(known.suspicion.reporters)[:MAX_REPORTERS_NAMED])
        cause = f"suspected by {reporters} and not refuted in time"
        self._set_record(now_us, known, claim, own_name, cause)

    def on_forget_timer(self, now_us: int) -> None:
        """Forget members that failed or left long ago."""
        oldest_us = now_us - self._local.options.forget_after_us
        table = self._local.table
        names = [
            known.record.name for known in table if not known.is_live and known.since_us < oldest_us
        ]
        for name in names:
            table.remove(name)
            self._dissemination.stop_broadcast(name)
        self.start(now_us)

    # ---- changes

    def _set_record(
        self, now_us: int, known: KnownMember, record: MemberRecord, reporter: str, cause: str
    ) -> None:
        before = known.record.state
        is_new_process = record.process_key != known.record.process_key
        if before == MemberState.SUSPECT and not is_new_process:
            self._record_suspicion_end(now_us, record.state)
        known.record = record
        known.suspicion = None
        if is_new_process:
            known.report = None
        if record.state == MemberState.SUSPECT:
            self._suspicions.begin(now_us, known, record.reported_by)
        if before != record.state or is_new_process:
            known.since_us = now_us
            self._report_change(now_us, known, before.label, reporter, cause)
        self._update_live(known)
        if before == MemberState.FAILED and known.is_live:
            self._push_pull.request(now_us, record.address)  # others may have come back with it
        self._dissemination.broadcast_and_gossip(now_us, record)

    def _record_suspicion_end(self, now_us: int, state: MemberState) -> None:
        if state in (MemberState.ALIVE, MemberState.FAILED):
            self._suspicions.record_end(now_us, refuted=state == MemberState.ALIVE)

    def _report_change(
        self, now_us: int, known: KnownMember, before: str, reporter: str, cause: str
    ) -> None:
        record = known.record
        change = MemberChanged(
            now_us, record.name, before, record.state.label, reporter, cause, record.address
        )
        known.history = (*known.history[1 - MAX_HISTORY_LENGTH :], change)
        self._local.emit(change)

    def _update_live(self, known: KnownMember) -> None:
        """Update the list of live members; a new one is probed at a random point of this round."""
        table = self._local.table
        name = known.record.name
        if known.is_live and not table.is_live(name):
            table.add_live(name)
            self._rotation.insert(name)
        elif not known.is_live and table.is_live(name):
            table.remove_live(name)
