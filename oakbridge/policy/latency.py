"""Moving averages of latencies by name.

Generic data structures: they are independent of servers and requests and make no decisions.
"""

from collections.abc import Mapping

MIN_GAIN = 0.03  # smallest weight of a new value in the moving averages
MIN_MEAN_AFTER = 8  # number of values after which the lowest mean is tracked
MIN_MEAN_GROWTH = 1.0001  # growth per value, so that the lowest mean follows a lasting change


class LatencyAverage:
    """Moving mean, mean deviation and lowest mean of latencies."""

    def __init__(self, initial_mean: float) -> None:
        """Start at a mean that is assumed until there are latencies."""
        self.mean = initial_mean
        self.deviation = initial_mean / 2
        self.min_mean = initial_mean
        self.count = 0
        self.arrivals = 0  # requests received, whether or not they got a latency

    def add(self, latency: float) -> None:
        """Add a latency."""
        self.count += 1
        gain = max(MIN_GAIN, 1 / (self.count + 1))
        self.deviation += gain * (abs(latency - self.mean) - self.deviation)
        self.mean += gain * (latency - self.mean)
        has_min_mean = self.count > MIN_MEAN_AFTER
        self.min_mean = (
            min(self.min_mean * MIN_MEAN_GROWTH, self.mean) if has_min_mean else self.mean
        )


class LatencyAverages(dict[str, LatencyAverage]):
    """Latency averages by name, and the mean over all names."""

    mean = 0.0

    def configure(self, initial_means: Mapping[str, float]) -> None:
        """Keep exactly these names; a new name starts at its initial mean."""
        averages = {
            name: self.get(name) or LatencyAverage(initial_mean)
            for name, initial_mean in initial_means.items()
        }
        self.clear()
        self.update(averages)
        self.update_mean()

    def update_mean(self) -> None:
        """Recompute the mean over all names after an average has changed."""
        self.mean = sum([latency.mean for latency in self.values()]) / len(self)
