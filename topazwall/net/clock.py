"""The node's one clock: whole microseconds that only move forward, counted like Unix time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


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

    def call_at(self, due: int, what: Callable[[], None]) -> asyncio.TimerHandle:
        """Call something once it is due, and never before."""
        return self._loop.call_later(max(0, due - self.now()) / 1e6, self._fire, due, what)

    def _fire(self, due: int, what: Callable[[], None]) -> None:
        # Guards against a loop that rounds timers: one that fires early is set again.
        if self.now() < due:
            self.call_at(due, what)
        else:
            what()
