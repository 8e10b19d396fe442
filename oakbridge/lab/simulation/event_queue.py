"""Simulated time: runs callbacks in the order of their due times."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

SECOND_US = 1_000_000

Callback = Callable[[], None]


class EventQueue:
    """A clock that moves from one scheduled callback to the next."""

    def __init__(self) -> None:
        """Start at time 0 with nothing scheduled."""
        self.now = 0
        self._heap: list[tuple[int, int, Callback]] = []
        self._order = itertools.count()  # ties run in the order of scheduling

    def schedule(self, at_us: float, callback: Callback) -> None:
        """Schedule a callback for a time, which is rounded down to a microsecond."""
        heapq.heappush(self._heap, (int(at_us), next(self._order), callback))

    def run(self, seconds: float) -> None:
        """Run all callbacks that are due in the next ``seconds``, then advance the clock by them."""
        end_us = self.now + int(seconds * SECOND_US)
        while self._heap and self._heap[0][0] <= end_us:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = end_us
