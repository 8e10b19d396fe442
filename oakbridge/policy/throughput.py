"""Rates, moving means, exponential decay and counts of results.

Generic data structures: they are independent of servers and requests and make no decisions.
"""

import math
from dataclasses import dataclass

from oakbridge.policy.timers import SECOND_US

RATE_MEAN_EVENTS = 48  # number of events that a mean rate averages over
PEAK_DECAY_US = 60 * SECOND_US


def decayed(value: float, floor: float, elapsed: int, decay_us: int) -> float:
    """Return a value that has decayed exponentially towards a floor; times in microseconds."""
    return floor + (value - floor) * math.exp(-max(0, elapsed) / decay_us)


class MovingMean:
    """A moving mean, and values as multiples of it."""

    def __init__(self) -> None:
        """Start without values."""
        self.mean = 0.0

    def relative(self, value: float) -> float:
        """Add a value to the mean; return the value as a multiple of the mean."""
        self.mean += 0.02 * (value - self.mean) if self.mean else value
        return value / self.mean if self.mean else 1.0


class Rate:
    """Events per second and unit of capacity: the mean and the recent peak."""

    def __init__(self) -> None:
        """Start at 0."""
        self.mean = 0.0
        self.peak = 0.0
        self._total = 0

    def update(self, total: int, units: float, elapsed: int, min_peak: float) -> None:
        """Add the events since the last update.

        ``total``: number of events since the start; ``units``: units of capacity that shared them;
        ``elapsed``: microseconds since the last update; ``min_peak``: lower bound of the peak.
        """
        new_events = total - self._total
        self._total = total
        rate = SECOND_US * new_events / elapsed / units
        self.mean += (rate - self.mean) * (1 - math.exp(-new_events / RATE_MEAN_EVENTS))
        self.peak = max(min_peak, self.mean, self.peak * math.exp(-elapsed / PEAK_DECAY_US))


@dataclass(slots=True)
class ResultWindow:
    """Results of attempts since the window was opened; times in microseconds."""

    started_at: int = 0  # time of the first result
    results: int = 0
    served: int = 0
    served_us: float = 0.0  # time that the served attempts would take at the lowest mean latency
    peak_in_flight: int = 0

    def add(self, now: int, in_flight: int) -> None:
        """Count a result."""
        if not self.results:
            self.started_at = now
        self.results += 1
        if in_flight > self.peak_in_flight:
            self.peak_in_flight = in_flight

    def concurrency(self, now: int) -> float:
        """Return how many attempts in flight would carry the served ones at the lowest latency."""
        return self.served_us / max(1, now - self.started_at)
