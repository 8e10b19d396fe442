"""How a site is drained for operators: in steps, each of which can be taken back.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.sites.recovery_ramp import MIN_STEP_US, STEPS


@dataclass(slots=True)
class DrainRamp:
    """One site's way out of use."""

    min_step_us: int = MIN_STEP_US
    _step: int = len(STEPS) - 2
    _step_since_us: int = 0

    def begin(self, now_us: int, fraction: float = 1.0) -> None:
        """Begin at the first step below the fraction that the site has now."""
        lower = [step for step, step_fraction in enumerate(STEPS) if step_fraction < fraction]
        self._step = lower[-1] if lower else -1
        self._step_since_us = now_us

    def fraction(self) -> float:
        """Return the fraction of its usual requests that the site still gets."""
        return STEPS[self._step] if self._step >= 0 else 0.0

    def advance(self, now_us: int, *, is_overloaded: bool) -> None:
        """Take the next step, unless the other sites are overloaded already."""
        step_is_over = now_us - self._step_since_us >= self.min_step_us
        if self._step >= 0 and step_is_over and not is_overloaded:
            self._step -= 1
            self._step_since_us = now_us
