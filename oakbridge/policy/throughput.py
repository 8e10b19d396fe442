"""Rates of what is counted, counts between two looks, and values that fade.

The structures know nothing of servers and requests; they decide nothing.
"""

import math
from dataclasses import dataclass

from oakbridge.policy.timers import SECOND_US

RATE_COUNT = 48  # a rate is the mean over so many
PEAK_FADE_US = 60 * SECOND_US


def faded(value: float, floor: float, elapsed: int, fade_us: int) -> float:
    """Return what is left of a value after so many microseconds; it falls to the floor."""
    return floor + (value - floor) * math.exp(-max(0, elapsed) / fade_us)


class UsualValue:
    """Values as multiples of what is usual, which is their moving mean."""

    def __init__(self) -> None:
        """Begin without values."""
        self.mean = 0.0

    def relative(self, value: float) -> float:
        """Take a value in; returns it as a multiple of the usual."""
        self.mean += 0.02 * (value - self.mean) if self.mean else value
        return value / self.mean if self.mean else 1.0


class Rate:
    """How many a second come of one unit, and the highest of late."""

    def __init__(self) -> None:
        """Begin at nothing."""
        self.mean = 0.0
        self.peak = 0.0
        self._total = 0

    def update(self, total: int, units: float, elapsed: int, least: float) -> None:
        """Take in the total after so many microseconds; the peak is never below ``least``."""
        new = total - self._total
        self._total = total
        rate = SECOND_US * new / elapsed / units
        self.mean += (rate - self.mean) * (1 - math.exp(-new / RATE_COUNT))
        self.peak = max(least, self.mean, self.peak * math.exp(-elapsed / PEAK_FADE_US))


@dataclass(slots=True)
class OutcomeWindow:
    """Outcomes since the last look."""

    began: int = 0
    outcomes: int = 0
    served: int = 0
    served_us: float = 0.0  # time that the served would have taken at the least
    peak: int = 0  # of what was in flight beside them

    def add(self, now: int, in_flight: int) -> None:
        """Count an outcome."""
        if not self.outcomes:
            self.began = now
        self.outcomes += 1
        if in_flight > self.peak:
            self.peak = in_flight

    def concurrency(self, now: int) -> float:
        """Return how many at once would have carried what was served, at the least time."""
        return self.served_us / max(1, now - self.began)
