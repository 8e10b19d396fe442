"""Moving averages of latencies by name.

The structures know nothing of servers and requests; they decide nothing.
"""

from collections.abc import Mapping

MIN_GAIN = 0.03  # of the latest value
SETTLED_AFTER = 8  # values until the least mean counts
LEAST_GROWTH = 1.0001  # for each value, so that the least mean can follow a lasting change


class LatencyAverage:
    """Mean, mean deviation and least mean of the latest latencies."""

    def __init__(self, guess: float) -> None:
        """Begin at a guess."""
        self.mean = guess
        self.deviation = guess / 2
        self.least = guess
        self.count = 0
        self.arrivals = 0  # of what may get a latency later

    def add(self, latency: float) -> None:
        """Take one latency in."""
        self.count += 1
        gain = max(MIN_GAIN, 1 / (self.count + 1))
        self.deviation += gain * (abs(latency - self.mean) - self.deviation)
        self.mean += gain * (latency - self.mean)
        settled = self.count > SETTLED_AFTER
        self.least = min(self.least * LEAST_GROWTH, self.mean) if settled else self.mean


class LatencyAverages(dict[str, LatencyAverage]):
    """Averages by name, and the mean over the names."""

    mean = 0.0

    def configure(self, guesses: Mapping[str, float]) -> None:
        """Keep averages of these names from now on; a new one begins at its guess."""
        kept = {name: self.get(name) or LatencyAverage(guess) for name, guess in guesses.items()}
        self.clear()
        self.update(kept)
        self.update_mean()

    def update_mean(self) -> None:
        """Set the mean anew, after an average has changed."""
        self.mean = sum([latency.mean for latency in self.values()]) / len(self)
