"""The node's one clock: whole microseconds that only move forward, counted like Unix time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class Timer:
    """Something that is due at a time; calling it off holds also after the loop came too early."""

    __slots__ = ("_clock", "_due", "_what", "_handle")

    def __init__(self, clock: Clock, due: int, what: Callable[[], None]) -> None:
        self._clock, self._due = clock, due
        self._what: Callable[[], None] | None = what
        self._handle: asyncio.TimerHandle | None = None

    def arm(self) -> None:
        """Have the loop come back when it is due."""
        self._handle = self._clock.call_in(self._due - self._clock.now(), self._fire)

    def cancel(self) -> None:
        """Call it off, and let go of what it holds."""
        self._what = None
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        # Guards against a loop that rounds timers: one that fires early is set again.
        if self._what is None:
            return
        if self._clock.now() < self._due:
            return self.arm()
        what, self._what = self._what, None
        what()


class Clock:
    """Starts at the system's wall clock and goes on by the monotonic one.

    Discovery tells when a server started in Unix time; on this clock that needs no conversion that could
    drift, and one start is always the same number, so that the module sees a restart only where there is one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """The time now."""
        return time.monotonic_ns() // 1000 + self._offset

    def call_at(self, due: int, what: Callable[[], None]) -> Timer:
        """Call something once it is due, and never before."""
        timer = Timer(self, due, what)
        timer.arm()
        return timer

    def call_in(self, wait: int, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        """The loop's own timer, which may fire a little early."""
        return self._loop.call_later(max(0, wait) / 1e6, what, *args)
