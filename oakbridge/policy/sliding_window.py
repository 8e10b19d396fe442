"""Counts in a sliding window of seconds, in all and by name.

The structures know nothing of servers and requests; they decide nothing.
"""

from collections import deque
from dataclasses import dataclass, field

from oakbridge.policy.timers import SECOND_US


@dataclass(slots=True)
class Slot:
    """What was counted in one second."""

    second: int
    first: float = 0.0
    further: float = 0.0
    further_by_name: dict[str, float] = field(default_factory=dict)


class SlidingWindow:
    """Sums of two counts, ``first`` and ``further``; the latter also by name."""

    def __init__(self, seconds: int) -> None:
        """Begin empty."""
        self.seconds = seconds
        self.slots: deque[Slot] = deque()
        self.first = 0.0
        self.further = 0.0
        self.further_by_name: dict[str, float] = {}

    def advance(self, now: int) -> Slot:
        """Let go of what is older than the window; returns the slot of this second."""
        second = now // SECOND_US
        while self.slots and self.slots[0].second <= second - self.seconds:
            old = self.slots.popleft()
            self.first -= old.first
            self.further -= old.further
            for name, count in old.further_by_name.items():
                self.further_by_name[name] -= count
        if not self.slots or self.slots[-1].second != second:
            self.slots.append(Slot(second))
        return self.slots[-1]

    def add_first(self, now: int) -> None:
        """Count one."""
        self.advance(now).first += 1
        self.first += 1

    def add_further(self, now: int, count: float, name: str | None = None) -> None:
        """Count so much, by that name if any."""
        slot = self.advance(now)
        slot.further += count
        self.further += count
        if name is not None:
            slot.further_by_name[name] = slot.further_by_name.get(name, 0) + count
            self.further_by_name[name] = self.further_by_name.get(name, 0) + count

    def restore(self, slots: list[Slot]) -> None:
        """Go on from these slots."""
        self.slots = deque(slots)
        self.first = sum(slot.first for slot in slots)
        self.further = sum(slot.further for slot in slots)
        self.further_by_name = {}
        for slot in slots:
            for name, count in slot.further_by_name.items():
                self.further_by_name[name] = self.further_by_name.get(name, 0.0) + count
