"""The recovery ramp: a lost site gets its requests back in steps.  No I/O.

A site that responds again may be cold, have fewer servers than before, or fail again at once.  So
the fraction of its usual requests that it gets grows in steps.  A step lasts a minimum time and
until enough servers have responded.  A fault sets the fraction back to 0 and doubles the backoff
before the next ramp.  Nodes of the site itself are a step ahead: their requests have the shortest
distance and cost least if they fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

STEPS = (0.1, 0.25, 0.5, 1.0)  # fractions of a site's usual requests
MIN_STEP_US = 1_000_000
HOME_HEAD_START_STEPS = 1  # nodes of the site itself are ahead of other nodes by this
MIN_RESPONDING_SERVERS = 3  # each step needs responses of this many servers
FAULT_UNHEALTHY_FRACTION = 0.25  # a higher unhealthy fraction of the called servers is a fault
INITIAL_BACKOFF_US = 2_000_000  # doubled with each loss
MAX_BACKOFF_US = 120_000_000
MAX_BACKOFF_DOUBLINGS = 16
RESET_FAILURES_AFTER_US = 60_000_000  # a loss this long after a complete ramp counts as the first


class RampProgress(Enum):
    """The result of a call of :meth:`RecoveryRamp.advance`."""

    ADVANCED = auto()
    HELD = auto()
    FAULT = auto()
    COMPLETE = auto()


@dataclass(slots=True)
class RecoveryRamp:
    """One site's recovery ramp at one node."""

    is_home: bool  # whether the site is the node's own
    min_step_us: int = MIN_STEP_US
    failures: int = 0  # losses since the last reset
    retry_at_us: int = 0  # earliest time at which a ramp may begin
    _completed_at_us: int = 0
    _step: int = -1  # -1: not begun
    _step_since_us: int = 0

    @property
    def is_under_way(self) -> bool:
        """Whether the ramp has begun since the site was lost."""
        return self._step >= 0

    @property
    def is_complete(self) -> bool:
        """Whether the site has all its requests again."""
        return self._step >= len(STEPS) - 1 + self._steps_behind

    @property
    def _steps_behind(self) -> int:
        return 0 if self.is_home else HOME_HEAD_START_STEPS

    def fraction(self) -> float:
        """Return the fraction of its usual requests that the site gets now."""
        step = min(self._step - self._steps_behind, len(STEPS) - 1)
        return STEPS[step] if step >= 0 else 0.0

    def back_off(self, now_us: int) -> None:
        """End the ramp and start the next backoff: the site was lost, before or during its ramp."""
        if now_us - self._completed_at_us > RESET_FAILURES_AFTER_US and not self.is_under_way:
            self.failures = 0
        backoff_us = INITIAL_BACKOFF_US << min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.retry_at_us = now_us + min(MAX_BACKOFF_US, backoff_us)
        self.failures += 1
        self._step = -1

    def begin(self, now_us: int) -> bool:
        """Begin the ramp unless the backoff lasts or it has begun; return whether it began now."""
        if now_us < self.retry_at_us or self.is_under_way:
            return False
        self._step = 0
        self._step_since_us = now_us
        return True

    def advance(
        self, now_us: int, *, enough_responses: bool, unhealthy_fraction: float, hold: bool
    ) -> RampProgress:
        """Take the next step if the present one succeeded.

        ``enough_responses``: whether enough of the site's servers responded lately; ``hold``:
        whether the ramp is to stay at its step, as another site is faulty.
        """
        if unhealthy_fraction > FAULT_UNHEALTHY_FRACTION:
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
