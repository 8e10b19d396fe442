"""How a member answers claims about itself: it refutes, or gives its name up to a later start."""

from __future__ import annotations

from oakbridge.peers.actions import MemberCounter, NameTaken
from oakbridge.peers.dissemination import Dissemination
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.messages import MemberRecord, MemberState
from oakbridge.peers.push_pull import PushPull


class Refutation:
    """Answers claims about this member's name."""

    def __init__(
        self, local: LocalMember, dissemination: Dissemination, push_pull: PushPull
    ) -> None:
        self._local = local
        self._dissemination = dissemination
        self._push_pull = push_pull

    def answer(self, now_us: int, claim: MemberRecord) -> None:
        """Answer one claim."""
        own = self._local.record
        if claim.process_key < own.process_key:
            self._dissemination.broadcast(own)
        elif claim.process_key == own.process_key:
            self._answer_about_this_process(now_us, claim)
        elif self._is_own_past(claim):
            self._local.counts[MemberCounter.GENERATIONS_RAISED] += 1
            self._raise_incarnation(now_us, claim.generation + 1, incarnation=0)
        elif self._local.replaced_by is None:
            self._local.replaced_by = claim
            self._local.emit(NameTaken(claim.address))

    def _is_own_past(self, claim: MemberRecord) -> bool:
        """Return whether a greater generation is an earlier process, not a later one.

        Its seeds did not know of it.  Nobody lives at this address but this process.
        """
        return (
            self._local.is_joining
            or claim.state > MemberState.SUSPECT
            or claim.address == self._local.record.address
        )

    def _answer_about_this_process(self, now_us: int, claim: MemberRecord) -> None:
        own = self._local.record
        if claim.state == MemberState.FAILED:
            self._push_pull.catch_up(now_us, claim.incarnation)
        is_refuted = claim.incarnation < own.incarnation
        is_agreed = claim.state == MemberState.ALIVE and claim.incarnation == own.incarnation
        if is_refuted or is_agreed:
            return
        self._local.counts[MemberCounter.REFUTATIONS] += 1
        self._local.health.worse()
        self._raise_incarnation(now_us, own.generation, claim.incarnation + 1)

    def _raise_incarnation(self, now_us: int, generation: int, incarnation: int) -> None:
        self._local.raise_incarnation(generation, incarnation)
        self._dissemination.broadcast_soon(now_us, self._local.record)
