"""Lifeguard's local health: how slow this member itself seems to be.

Source: "Lifeguard", section IV-A (the local health multiplier); memberlist calls it awareness.
"""

from __future__ import annotations

MAX_SCORE = 8  # Lifeguard's S
# How far the silence of others raises the score.  It may as well be that this member is cut off,
# and slowness would only delay finding that out; late timers, which only it can cause, go on.
MAX_SCORE_BY_SILENCE = 1


class LocalHealth:
    """A score from 0, for well, to the greatest; time-outs are multiplied by it plus one."""

    def __init__(self, *, enabled: bool) -> None:
        self.score = 0
        self._enabled = enabled

    @property
    def multiplier(self) -> int:
        """Return by how much this member's intervals and time-outs are longer."""
        return self.score + 1

    def better(self) -> None:
        """Note a probe that was answered in time."""
        self._adjust(-1)

    def worse(self) -> None:
        """Note a sign of slowness that only this member can have caused."""
        self._adjust(1)

    def worse_by_silence(self) -> None:
        """Note that neither a target nor any helper has answered."""
        if self.score < MAX_SCORE_BY_SILENCE:
            self._adjust(1)

    def _adjust(self, change: int) -> None:
        if self._enabled:
            self.score = min(MAX_SCORE, max(0, self.score + change))
