"""Responds to claims about this member: refutes them, or gives up the name to a later process."""

from __future__ import annotations

from oakbridge.peers.actions import MemberCounter, NameTaken
from oakbridge.peers.dissemination import Dissemination
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.messages import MemberRecord, MemberState
from oakbridge.peers.push_pull import PushPull


class Refutation:
    """Responds to claims about this member's name."""

    def __init__(
        self, local: LocalMember, dissemination: Dissemination, push_pull: PushPull
    ) -> None:
        self._local = local
        self._dissemination = dissemination
        self._push_pull = push_pull

    def respond(self, now_us: int, claim: MemberRecord) -> None:
        """Respond to one claim."""
        own = self._local.record
        if claim.process_key < own.process_key:
            self._dissemination.broadcast(own)
        elif claim.process_key == own.process_key:
            self._respond_about_this_process(now_us, claim)
        elif self._is_from_earlier_process(claim):
            self._local.counts[MemberCounter.GENERATIONS_RAISED] += 1
            self._raise_incarnation(now_us, claim.generation + 1, incarnation=0)
        elif self._local.replaced_by is None:
            self._local.replaced_by = claim
            self._local.emit(NameTaken(claim.address))

    def _is_from_earlier_process(self, claim: MemberRecord) -> bool:
        """Return whether a claim with a greater generation is about an earlier process.

        True while this member joins, as it learns of greater generations only then.  True also if
        the process of the claim failed, left, or used this member's address: only this process
        uses that address now.
        """
        return (
            self._local.is_joining
            or claim.state > MemberState.SUSPECT
            or claim.address == self._local.record.address
        )

    def _respond_about_this_process(self, now_us: int, claim: MemberRecord) -> None:
        own = self._local.record
        if claim.state == MemberState.FAILED:
            self._push_pull.catch_up(now_us, claim.incarnation)
        is_refuted = claim.incarnation < own.incarnation
        is_agreed = claim.state == MemberState.ALIVE and claim.incarnation == own.incarnation
        if is_refuted or is_agreed:
            return
        self._local.counts[MemberCounter.REFUTATIONS] += 1
        self._local.health.record_local_fault()
        self._raise_incarnation(now_us, own.generation, claim.incarnation + 1)

    def _raise_incarnation(self, now_us: int, generation: int, incarnation: int) -> None:
        self._local.raise_incarnation(generation, incarnation)
        self._dissemination.broadcast_and_gossip(now_us, self._local.record)
