"""Suspicions of other members: how each begins, is confirmed, and how long it lasts.

How suspicions ended lately tells how long the next one lasts: on a lossy network they are refuted.
"""

from __future__ import annotations

from oakbridge.peers.dissemination import Dissemination
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.messages import MemberState
from oakbridge.peers.probe_rotation import ProbeRotation
from oakbridge.peers.suspicion import BETA, MAX_CONFIRMATIONS, Suspicion, min_timeout_us
from oakbridge.peers.timers import TimerKind

MAX_EXTENSION = 3.0  # suspicions last so much longer where all of them were refuted lately
OUTCOME_WEIGHT = 0.1  # of one suspicion's end in the moving average
REFUTED_HALF_LIFE_US = 10_000_000


class SuspicionMonitor:
    """Begins and confirms suspicions, and learns from how they end."""

    def __init__(
        self,
        local: LocalMember,
        dissemination: Dissemination,
        rotation: ProbeRotation,
        now_us: int,
    ) -> None:
        self._local = local
        self._dissemination = dissemination
        self._rotation = rotation
        self._refuted_part = 0.0  # of the suspicions that ended lately
        self._refuted_at_us = now_us

    def begin(self, now_us: int, known: KnownMember, accuser: str) -> None:
        """Give a member its time to refute."""
        local = self._local
        live_count = local.table.live_count
        extension = 1 + MAX_EXTENSION * self._refuted_lately(now_us)
        shortest_us = min_timeout_us(live_count, local.options.probe_interval_us)
        min_us = round(shortest_us * extension)
        known.suspicion = Suspicion(
            started_us=now_us,
            min_us=min_us,
            max_us=round(min_us * BETA) if local.options.local_health else min_us,
            accusers={accuser},
            confirmations_needed=max(0, min(MAX_CONFIRMATIONS, live_count - 3)),
        )
        if accuser != local.record.name and self._is_drawn_to_check(live_count):
            self._rotation.put_next(known.record.name)
        self._start_timer(known.suspicion.deadline_us(), known)

    def confirm(self, now_us: int, known: KnownMember, accuser: str) -> None:
        """Count a further accuser, and tell others so that they can count it, too."""
        if known.suspicion is None or not known.suspicion.confirm(accuser):
            return
        self._start_timer(max(now_us, known.suspicion.deadline_us()), known)
        claim = known.record.with_state(MemberState.SUSPECT, accuser)
        self._dissemination.broadcast_soon(now_us, claim)

    def note_end(self, now_us: int, *, refuted: bool) -> None:
        """Learn from how a suspicion ended how much the next one is worth."""
        if not self._local.options.local_health:
            return
        refuted_part = self._refuted_lately(now_us)
        self._refuted_part = refuted_part + OUTCOME_WEIGHT * (float(refuted) - refuted_part)

    def delay_all(self, delay_us: int) -> None:
        """Let time in which this process did not run count against nobody."""
        for known in self._local.table:
            if known.suspicion is not None:
                known.suspicion.started_us += delay_us

    def _is_drawn_to_check(self, live_count: int) -> bool:
        """Return whether this member is one of the few that look for themselves at once.

        What is true is then confirmed in a probe interval or two, what is not is refuted.
        """
        return self._local.random.random() * live_count < 2 * MAX_CONFIRMATIONS

    def _start_timer(self, due_us: int, known: KnownMember) -> None:
        self._local.timers.add(due_us, TimerKind.SUSPICION, known.record.name)

    def _refuted_lately(self, now_us: int) -> float:
        """Return which part of the suspicions was refuted, 0 to 1; it decays with time."""
        self._refuted_part *= 0.5 ** ((now_us - self._refuted_at_us) / REFUTED_HALF_LIFE_US)
        self._refuted_at_us = now_us
        return self._refuted_part
