"""The recovery ramp: how a lost site gets its requests back, step by step.  Pure.

A site that is back may be cold, with fewer servers than before, and gone again in a second.  So its
fraction of its usual requests grows by steps; a step lasts a least time and ends only once enough
servers responded in it; the first fault takes the fraction back to nothing, and the next attempt
waits twice as long.  Nodes of the site itself go first: their requests have the shortest way, and
cost least if they fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

STEPS = (0.1, 0.25, 0.5, 1.0)  # fractions of a site's usual requests
MIN_STEP_US = 1_000_000
HOME_HEAD_START_STEPS = 1  # that nodes of the site itself are ahead
MIN_RESPONDING_SERVERS = 3  # in each step
FAULT_FRACTION = 0.25  # of the servers called, unhealthy: it ends the ramp
INITIAL_BACKOFF_US = 2_000_000  # doubled with each ramp that failed
MAX_BACKOFF_US = 120_000_000
MAX_BACKOFF_DOUBLINGS = 16
FORGIVE_AFTER_US = 60_000_000  # since the last complete ramp: the next loss counts as a first one


class RampProgress(Enum):
    """What became of a step of the ramp."""

    ADVANCED = auto()
    HELD = auto()
    FAULT = auto()
    COMPLETE = auto()


@dataclass(slots=True)
class RecoveryRamp:
    """One site's ramp, as nodes of one site take it."""

    is_home: bool  # whether it is these nodes' own site
    min_step_us: int = MIN_STEP_US
    failures: int = 0
    retry_at_us: int = 0  # no ramp begins before
    _completed_at_us: int = 0
    _step: int = -1  # -1: not begun
    _step_since_us: int = 0

    @property
    def is_under_way(self) -> bool:
        """Whether the ramp has begun."""
        return self._step >= 0

    @property
    def is_complete(self) -> bool:
        """Whether the site has all its requests again."""
        return self._step >= len(STEPS) - 1 + self._steps_behind

    @property
    def _steps_behind(self) -> int:
        return 0 if self.is_home else HOME_HEAD_START_STEPS

    def fraction(self) -> float:
        """Return the fraction of its usual requests that the site may have now."""
        step = min(self._step - self._steps_behind, len(STEPS) - 1)
        return STEPS[step] if step >= 0 else 0.0

    def site_lost(self, now_us: int) -> None:
        """Back off: the site was lost, anew or during its ramp."""
        if now_us - self._completed_at_us > FORGIVE_AFTER_US and not self.is_under_way:
            self.failures = 0
        backoff_us = INITIAL_BACKOFF_US << min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.retry_at_us = now_us + min(MAX_BACKOFF_US, backoff_us)
        self.failures += 1
        self._step = -1

    def begin(self, now_us: int) -> bool:
        """Begin, unless the backoff lasts or the ramp is under way; return whether it began."""
        if now_us < self.retry_at_us or self.is_under_way:
            return False
        self._step = 0
        self._step_since_us = now_us
        return True

    def advance(
        self, now_us: int, *, enough_responses: bool, unhealthy_fraction: float, hold: bool
    ) -> RampProgress:
        """Take the next step if this one went well.

        ``enough_responses``: whether enough servers of the site responded lately; ``hold``:
        something else is wrong, so the ramp stays at its step.
        """
        if unhealthy_fraction > FAULT_FRACTION:
            return RampProgress.FAULT
        if hold:
            self._step_since_us = now_us
            return RampProgress.HELD
        if now_us - self._step_since_us < self.min_step_us or not enough_responses:
            return RampProgress.HELD
        self._step += 1
        self._step_since_us = now_us
        if self.is_complete:
            self._completed_at_us = now_us
            return RampProgress.COMPLETE
        return RampProgress.ADVANCED
