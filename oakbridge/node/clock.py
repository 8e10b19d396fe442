"""The node's clock, in integer microseconds, with timers that never fire early."""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable

# Cancelled timers are removed from the heap once there are more than this, and more than half.
COMPACT_MIN_CANCELLED = 512

_US_PER_S = 1e6
_NS_PER_US = 1000


class Timer:
    """Calls a function once, at a given time; never after it was cancelled."""

    __slots__ = ("_clock", "callback")

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        self._clock = clock
        self.callback: Callable[[], None] | None = (
            callback  # None once it has fired or is cancelled
        )

    def cancel(self) -> None:
        """Cancel the timer, and release its callback."""
        if self.callback is not None:
            self.callback = None
            self._clock.on_cancelled()


class Clock:
    """Starts at the time of the system's wall clock, and then follows the monotonic clock.

    Discovery gives the starts of servers in Unix time.  On this clock they need no conversion that
    could drift, and a start is always the same number, so that the balancer only sees a restart
    where there is one.

    All timers are in one heap, with one timer of the event loop for the earliest of them.  A
    request sets several timers and cancels nearly all of them; each timer of the loop would cost a
    handle, its context and an entry in the loop's heap.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, offset: int | None = None) -> None:
        """``offset``: this clock minus the monotonic one, in microseconds; None: by the wall clock.

        A successor process continues with the offset of its predecessor on this machine: the wall
        clock may have been stepped in between, and the predecessor's times are by its offset.
        """
        self._loop = loop
        wall_offset = time.time_ns() // _NS_PER_US - time.monotonic_ns() // _NS_PER_US
        self._offset = wall_offset if offset is None else offset
        # Due time, sequence number, timer; timers with equal times fire in the order of creation.
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0
        self._cancelled = 0  # number of cancelled timers in the heap
        self._armed: asyncio.TimerHandle | None = None
        self._armed_for = 0

    @property
    def offset(self) -> int:
        """The difference of this clock minus the monotonic one, in microseconds."""
        return self._offset

    def now(self) -> int:
        """Return the current time in microseconds."""
        return time.monotonic_ns() // _NS_PER_US + self._offset

    def call_at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Call a function at ``due``, in microseconds of this clock, or shortly after."""
        timer = Timer(self, callback)
        self._count += 1
        heapq.heappush(self._heap, (due, self._count, timer))
        if self._armed is None or due < self._armed_for:
            self._arm(due)
        return timer

    def on_cancelled(self) -> None:
        """Count a cancelled timer; remove all cancelled ones if they are most of the heap."""
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
        """Call all due timers.  One that they set for now fires in the loop's next iteration."""
        self._armed = None
        now = self.now()
        due: list[Timer] = []
        while self._heap and (self._heap[0][0] <= now or self._heap[0][2].callback is None):
            timer = heapq.heappop(self._heap)[2]
            if timer.callback is None:
                self._cancelled -= 1
            else:
                due.append(timer)
        # The loop rounds its timers and may call this early; the timer is then set again.
        if self._heap:
            self._arm(self._heap[0][0])
        for timer in due:
            callback, timer.callback = timer.callback, None
            if callback is not None:  # a callback before it may have cancelled it
                self._call(callback)

    def _call(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as error:  # the other due timers must still be called
            self._loop.call_exception_handler(
                {"message": "timer callback failed", "exception": error}
            )
