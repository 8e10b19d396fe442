"""Lifeguard's local health score: how slow this member itself appears to be.

Source: "Lifeguard", section IV-A (the local health multiplier); memberlist calls it awareness.
"""

from __future__ import annotations

MAX_SCORE = 8  # S in Lifeguard
# The score up to which missing responses raise it.  They may also mean that this member is cut off,
# and longer timeouts would only delay detecting that.  Faults of this member itself, such as late
# timers, raise the score further.
MAX_SCORE_FROM_SILENCE = 1


class LocalHealth:
    """A score from 0 (healthy) to MAX_SCORE; timeouts are multiplied by the score plus one."""

    def __init__(self, *, enabled: bool) -> None:
        self.score = 0
        self._enabled = enabled

    @property
    def multiplier(self) -> int:
        """Return the factor by which this member's probe intervals and timeouts are multiplied."""
        return self.score + 1

    def record_timely_ack(self) -> None:
        """Lower the score: a probe was acknowledged in time."""
        self._adjust(-1)

    def record_local_fault(self) -> None:
        """Raise the score on a sign of slowness that only this member can have caused."""
        self._adjust(1)

    def record_silence(self) -> None:
        """Raise the score to MAX_SCORE_FROM_SILENCE at most: no target or helper responded."""
        if self.score < MAX_SCORE_FROM_SILENCE:
            self._adjust(1)

    def _adjust(self, change: int) -> None:
        if self._enabled:
            self.score = min(MAX_SCORE, max(0, self.score + change))
