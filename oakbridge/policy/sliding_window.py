"""Two counts in a sliding window of seconds, in total and by name.

A generic data structure: it is independent of servers and requests and makes no decisions.
"""

from collections import deque
from dataclasses import dataclass, field

from oakbridge.policy.timers import SECOND_US


@dataclass(slots=True)
class Slot:
    """The counts of one second."""

    second: int
    first: float = 0.0
    further: float = 0.0
    further_by_name: dict[str, float] = field(default_factory=dict)


class SlidingWindow:
    """Sums of the counts ``first`` and ``further``, such as first attempts and retries."""

    def __init__(self, seconds: int) -> None:
        """Start empty; ``seconds`` is the length of the window."""
        self.seconds = seconds
        self.slots: deque[Slot] = deque()
        self.first = 0.0
        self.further = 0.0
        self.further_by_name: dict[str, float] = {}

    def advance(self, now: int) -> Slot:
        """Drop the slots that have left the window; return the slot of the current second."""
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
        """Add 1 to ``first``."""
        self.advance(now).first += 1
        self.first += 1

    def add_further(self, now: int, count: float, name: str | None = None) -> None:
        """Add a count to ``further``, in total and for the name, if there is one."""
        slot = self.advance(now)
        slot.further += count
        self.further += count
        if name is not None:
            slot.further_by_name[name] = slot.further_by_name.get(name, 0) + count
            self.further_by_name[name] = self.further_by_name.get(name, 0) + count

    def restore(self, slots: list[Slot]) -> None:
        """Replace all counts with those of the given slots."""
        self.slots = deque(slots)
        self.first = sum(slot.first for slot in slots)
        self.further = sum(slot.further for slot in slots)
        self.further_by_name = {}
        for slot in slots:
            for name, count in slot.further_by_name.items():
                self.further_by_name[name] = self.further_by_name.get(name, 0.0) + count
