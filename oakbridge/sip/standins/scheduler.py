"""A schedule of callbacks, which runs in simulated or real time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Scheduler:
    """Calls callbacks in order of their times, which are in microseconds.

    The owner has to call :meth:`run_due` at the time that :meth:`due` returns.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Callable[[int], None]]] = []
        self._count = 0

    def call_at(self, when: int, callback: Callable[[int], None]) -> None:
        """Schedule a callback for the time ``when``, which is passed to it."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, callback))

    def due(self) -> int | None:
        """Return the time at which the next callback is due, or None without callbacks."""
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: int) -> None:
        """Call the callbacks that are due."""
        while self._heap and self._heap[0][0] <= now:
            when, _, callback = heapq.heappop(self._heap)
            callback(when)
