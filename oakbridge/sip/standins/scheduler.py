"""A schedule of callbacks in simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Scheduler:
    """Calls callbacks in order of their time; the owner calls :meth:`run_due` at :meth:`due`."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[[int], None]]] = []
        self._count = 0

    def call_at(self, when: int, callback: Callable[[int], None]) -> None:
        """Call ``callback`` with the time at ``when``."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, callback))

    def due(self) -> int | None:
        """Return when the next callback is due."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: int) -> None:
        """Call the callbacks that are due."""
        while self._heap and self._heap[0][0] <= now:
            when, _, callback = heapq.heappop(self._heap)
            callback(when)
