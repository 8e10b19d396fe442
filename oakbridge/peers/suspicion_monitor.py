"""Starts and confirms suspicions of other members, and sets their timeouts.

The timeout grows with the recent fraction of refuted suspicions, as on a lossy network.
"""

from __future__ import annotations

from oakbridge.peers.dissemination import Dissemination
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.messages import MemberState
from oakbridge.peers.probe_rotation import ProbeRotation
from oakbridge.peers.suspicion import BETA, MAX_CONFIRMATIONS, Suspicion, min_timeout_us
from oakbridge.peers.timers import TimerKind

# If all recent suspicions were refuted, this multiple of the timeout is added to it.
MAX_TIMEOUT_EXTENSION = 3.0
LATEST_SUSPICION_WEIGHT = 0.1  # in the moving average of the refuted fraction
REFUTED_HALF_LIFE_US = 10_000_000  # of the refuted fraction


class SuspicionMonitor:
    """Starts and confirms suspicions, and tracks which fraction is refuted."""

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
        self._refuted_fraction = 0.0  # moving average over finished suspicions
        self._refuted_at_us = now_us

    def begin(self, now_us: int, known: KnownMember, reporter: str) -> None:
        """Start the suspicion of a member, and its timer."""
        local = self._local
        live_count = local.table.live_count
        timeout_factor = 1 + MAX_TIMEOUT_EXTENSION * self._recent_refuted_fraction(now_us)
        base_timeout_us = min_timeout_us(live_count, local.options.probe_interval_us)
        shortest_timeout_us = round(base_timeout_us * timeout_factor)
        known.suspicion = Suspicion(
            started_at_us=now_us,
            shortest_timeout_us=shortest_timeout_us,
            longest_timeout_us=round(shortest_timeout_us * BETA)
            if local.options.local_health
            else shortest_timeout_us,
            reporters={reporter},
            confirmations_needed=max(0, min(MAX_CONFIRMATIONS, live_count - 3)),
        )
        if reporter != local.record.name and self._is_selected_to_check(live_count):
            self._rotation.put_next(known.record.name)
        self._start_timer(known.suspicion.deadline_us(), known)

    def confirm(self, now_us: int, known: KnownMember, reporter: str) -> None:
        """Add a reporter to a suspicion, and broadcast it so that other members add it, too."""
        if known.suspicion is None or not known.suspicion.confirm(reporter):
            return
        self._start_timer(max(now_us, known.suspicion.deadline_us()), known)
        claim = known.record.with_state(MemberState.SUSPECT, reporter)
        self._dissemination.broadcast_and_gossip(now_us, claim)

    def record_end(self, now_us: int, *, refuted: bool) -> None:
        """Add the result of a suspicion to the refuted fraction."""
        if not self._local.options.local_health:
            return
        refuted_fraction = self._recent_refuted_fraction(now_us)
        self._refuted_fraction = refuted_fraction + LATEST_SUSPICION_WEIGHT * (
            float(refuted) - refuted_fraction
        )

    def delay_all(self, delay_us: int) -> None:
        """Delay all suspicions by the time in which this process did not run."""
        for known in self._local.table:
            if known.suspicion is not None:
                known.suspicion.started_at_us += delay_us

    def _is_selected_to_check(self, live_count: int) -> bool:
        """Return whether this member is one of the few that probe the suspected one at once.

        A true suspicion is then confirmed, and a false one refuted, within one or two intervals.
        """
        return self._local.random.random() * live_count < 2 * MAX_CONFIRMATIONS

    def _start_timer(self, due_us: int, known: KnownMember) -> None:
        self._local.timers.add(due_us, TimerKind.SUSPICION, known.record.name)

    def _recent_refuted_fraction(self, now_us: int) -> float:
        """Return the recent fraction of refuted suspicions, 0 to 1; it decays with time."""
        self._refuted_fraction *= 0.5 ** ((now_us - self._refuted_at_us) / REFUTED_HALF_LIFE_US)
        self._refuted_at_us = now_us
        return self._refuted_fraction
