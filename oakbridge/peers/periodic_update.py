"""Call a function again and again beside a member, whatever becomes of a single call."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

log = logging.getLogger(__name__)


class PeriodicUpdate:
    """A task that calls a function at an interval; an error of one call is logged and contained.

    Requests are served whatever becomes of it.
    """

    def __init__(
        self, update: Callable[[], Awaitable[None]], interval_s: float, failure_message: str
    ) -> None:
        """Begin nothing yet; ``failure_message``: what is logged of a call that failed."""
        self._update = update
        self._interval_s = interval_s
        self._failure_message = failure_message
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin with a first call."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """End, also in the midst of a call."""
        if self._task is None:
            return
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            try:
                await self._update()
            except Exception:
                log.exception(self._failure_message)
            await asyncio.sleep(self._interval_s)
