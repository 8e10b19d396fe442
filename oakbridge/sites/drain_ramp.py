"""The drain ramp: a drained site loses its requests in steps; each step can be undone.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.sites.recovery_ramp import MIN_STEP_US, STEPS


@dataclass(slots=True)
class DrainRamp:
    """One site's drain."""

    min_step_us: int = MIN_STEP_US
    _step: int = len(STEPS) - 2
    _step_since_us: int = 0

    def begin(self, now_us: int, fraction: float = 1.0) -> None:
        """Begin at the highest step below ``fraction``, the site's present fraction of requests."""
        lower = [step for step, step_fraction in enumerate(STEPS) if step_fraction < fraction]
        self._step = lower[-1] if lower else -1
        self._step_since_us = now_us

    def fraction(self) -> float:
        """Return the fraction of its usual requests that the site gets now."""
        return STEPS[self._step] if self._step >= 0 else 0.0

    def advance(self, now_us: int, *, is_overloaded: bool) -> None:
        """Take the next step once this one has lasted ``min_step_us``, unless ``is_overloaded``.

        ``is_overloaded``: whether the fleet is, so that the other sites can't take more requests.
        """
        is_step_over = now_us - self._step_since_us >= self.min_step_us
        if self._step >= 0 and is_step_over and not is_overloaded:
            self._step -= 1
            self._step_since_us = now_us
