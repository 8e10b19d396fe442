"""Rate quotas by name.

Generic data structures: they are independent of servers and requests and make no decisions.
"""

from collections.abc import Mapping

BURST_US = 2_000_000  # unused quota that an idle name may catch up on, as time


class Quotas:
    """A virtual schedule for each name: an item whose place is already due is within the quota."""

    def __init__(self) -> None:
        """Start without quotas."""
        self.due: dict[str, float] = {}  # by name, the time of the schedule's next place
        self._intervals: dict[str, float] = {}

    def configure(self, intervals: Mapping[str, float]) -> None:
        """Set the interval between items, in microseconds, by name; other names are unlimited."""
        self._intervals = dict(intervals)
        self.due = {name: self.due.get(name, 0.0) for name in intervals}

    def take(self, name: str, now: int) -> bool:
        """Count an item of this name; return whether it is within the quota."""
        if name not in self._intervals:
            return True
        due = max(self.due[name], now - BURST_US)
        within = due <= now
        self.due[name] = due + self._intervals[name] if within else due
        return within
