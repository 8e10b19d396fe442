"""The node's time: whole microseconds, and timers that never fire early."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable

COMPACT = 512  # timers that were called off and still lie in the heap, before a look whether to clear it


class Timer:
    """Calls something once, at a time; calling it off holds also after the loop came too early."""

    __slots__ = ("_clock", "what")

    def __init__(self, clock: Clock, what: Callable[[], None]) -> None:
        self._clock = clock
        self.what: Callable[[], None] | None = what  # None: it has fired, or was called off

    def cancel(self) -> None:
        """Call it off, and let go of what it holds."""
        if self.what is not None:
            self.what = None
            self._clock.called_off()


class Clock:
    """Starts at the system's wall clock and goes on by the monotonic one.

    Discovery tells when a server started in Unix time; on this clock that needs no conversion that could
    drift, and one start is always the same number, so that the module sees a restart only where there is one.

    All timers are in one heap, with one timer of the loop for the earliest: a request sets several and calls nearly
    all of them off, and each of the loop's own would cost a handle, its context and a place in the loop's heap.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self._heap: list[tuple[int, int, Timer]] = []  # due, number (equals fire in the order they were set)
        self._count = self._off = 0
        self._armed: asyncio.TimerHandle | None = None
        self._armed_for = 0

    def now(self) -> int:
        """The time now."""
        return time.monotonic_ns() // 1000 + self._offset

    def call_at(self, due: int, what: Callable[[], None]) -> Timer:
        """Call something once it is due, and never before."""
        timer = Timer(self, what)
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, timer))
        if self._armed is None or due < self._armed_for:
            self._arm(due)
        return timer

    def call_in(self, wait: int, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """The loop's own timer, which may fire a little early."""
        return self._loop.call_later(max(0, wait) / 1e6, what, *args)

    def called_off(self) -> None:
        """One more lies in the heap for nothing; once these are most, they go: few are kept however many there were."""
        self._off += 1
        if self._off > COMPACT and 2 * self._off > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].what is not None]
            heapq.heapify(self._heap)
            self._off = 0

    def _arm(self, due: int) -> None:
        if self._armed is not None:
            self._armed.cancel()
        self._armed_for = due
        self._armed = self.call_in(due - self.now(), self._fire)

    def _fire(self) -> None:
        """Call what is due.  What is set in here for now has its turn in the loop's next round."""
        self._armed = None
        now = self.now()
        due: list[Timer] = []
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].what is None):
            timer = heapq.heappop(self._heap)[2]
            if timer.what is None:
                self._off -= 1
            else:
                due.append(timer)
        if self._heap:  # also guards against a loop that rounds timers: one that fires early is set again
            self._arm(self._heap[0][0])
        for timer in due:
            what, timer.what = timer.what, None
            if what is not None:  # an earlier one may have called it off
                try:
                    what()
                except Exception as e:  # contained: the others are due as well
                    self._loop.call_exception_handler({"message": "a timer failed", "exception": e})
