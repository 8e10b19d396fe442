"""The node's time: whole microseconds, and timers that never fire early."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable

# Cancelled timers that lie in the heap, before a look whether to remove them.
COMPACT_MIN_CANCELLED = 512

_US_PER_S = 1e6
_NS_PER_US = 1000


class Timer:
    """Calls a function once, at a time; never once cancelled, even if the loop woke up early."""

    __slots__ = ("_clock", "callback")

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        self._clock = clock
        self.callback: Callable[[], None] | None = callback  # None: it has fired, or was cancelled

    def cancel(self) -> None:
        """Cancel the call, and release what it refers to."""
        if self.callback is not None:
            self.callback = None
            self._clock.on_cancelled()


class Clock:
    """Starts at the system's wall clock and goes on by the monotonic one.

    Discovery tells when a server started in Unix time; on this clock that needs no conversion that
    could drift, and one start is always the same number, so that the balancer sees a restart only
    where there is one.

    All timers are in one heap, with one timer of the loop for the earliest: a request sets several
    and cancels nearly all of them, and each of the loop's own would cost a handle, its context and
    a place in the loop's heap.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, offset: int | None = None) -> None:
        """``offset``: this clock less the monotonic one, in microseconds; None: as wall clocks tell.

        A process that takes over goes on with the offset of the one before it on this machine: the
        wall clock may have been stepped in between, and times that it is given are of that clock.
        """
        self._loop = loop
        wall_offset = time.time_ns() // _NS_PER_US - time.monotonic_ns() // _NS_PER_US
        self._offset = wall_offset if offset is None else offset
        # Due time, number (equals fire in the order they were set), timer.
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0
        self._cancelled = 0  # timers in the heap that were cancelled
        self._armed: asyncio.TimerHandle | None = None
        self._armed_for = 0

    @property
    def offset(self) -> int:
        """The difference of this clock to the monotonic one, in microseconds."""
        return self._offset

    def now(self) -> int:
        """Return the time in microseconds."""
        return time.monotonic_ns() // _NS_PER_US + self._offset

    def call_at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Call a function once it is due, and never before."""
        timer = Timer(self, callback)
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, timer))
        if self._armed is None or due < self._armed_for:
            self._arm(due)
        return timer

    def on_cancelled(self) -> None:
        """Count a cancelled timer; remove them once they are most of the heap."""
        self._cancelled += 1
        if self._cancelled > COMPACT_MIN_CANCELLED and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def _arm(self, due: int) -> None:
        if self._armed is not None:
            self._armed.cancel()
        self._armed_for = due
        wait_us = max(0, due - self.now())
        self._armed = self._loop.call_later(wait_us / _US_PER_S, self._fire_due)

    def _fire_due(self) -> None:
        """Call what is due.  What is set in here for now has its turn in the loop's next round."""
        self._armed = None
        now = self.now()
        due: list[Timer] = []
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].callback is None):
            timer = heapq.heappop(self._heap)[2]
            if timer.callback is None:
                self._cancelled -= 1
            else:
                due.append(timer)
        # Also guards against a loop that rounds timers: one that fires early is set again.
        if self._heap:
            self._arm(self._heap[0][0])
        for timer in due:
            callback, timer.callback = timer.callback, None
            if callback is not None:  # an earlier one may have cancelled it
                self._call(callback)

    def _call(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as e:  # contained: the others are due as well
            self._loop.call_exception_handler({"message": "a timer failed", "exception": e})
