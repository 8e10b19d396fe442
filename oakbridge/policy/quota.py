"""Rates by name, and whether what comes stays within them.

The structure knows nothing of servers and requests; it decides nothing.
"""

from collections.abc import Mapping

BURST_US = 2_000_000  # a name that was idle may catch up with so long


class Quotas:
    """One virtual schedule for each name: what is not ahead of it is within the quota."""

    def __init__(self) -> None:
        """Begin without quotas."""
        self.due: dict[str, float] = {}  # when each schedule's next place is
        self._intervals: dict[str, float] = {}

    def configure(self, intervals: Mapping[str, float]) -> None:
        """Go by these intervals from now on, in microseconds; other names have no quota."""
        self._intervals = dict(intervals)
        self.due = {name: self.due.get(name, 0.0) for name in intervals}

    def take(self, name: str, now: int) -> bool:
        """Count one by that name; returns whether it is within the quota."""
        if name not in self._intervals:
            return True
        due = max(self.due[name], now - BURST_US)
        within = due <= now
        self.due[name] = due + self._intervals[name] if within else due
        return within
