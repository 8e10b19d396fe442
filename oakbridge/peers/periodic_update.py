"""Calls a function periodically; a failed call doesn't stop the next ones."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

log = logging.getLogger(__name__)


class PeriodicUpdate:
    """A task that calls a function at an interval; exceptions of a call are logged, not raised.

    So a failed update doesn't affect requests.
    """

    def __init__(
        self, update: Callable[[], Awaitable[None]], interval_s: float, failure_message: str
    ) -> None:
        """Prepare the task; ``failure_message`` is the log message for a failed call."""
        self._update = update
        self._interval_s = interval_s
        self._failure_message = failure_message
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task; it calls the function at once."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop the task; a call in progress is cancelled."""
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
