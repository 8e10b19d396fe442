"""The timers of one instance, on the agent's clock; they are cancelled together."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from oakbridge.agent.clock import monotonic_us

log = logging.getLogger(__name__)

US_PER_S = 1e6


class Timers:
    """The timers of one instance."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._handles: set[asyncio.TimerHandle] = set()

    def schedule(self, at_us: int, callback: Callable[[], None]) -> None:
        """Call ``callback`` at the time ``at_us``; its exceptions are logged and not raised."""

        def expire() -> None:
            self._handles.discard(handle)
            try:
                callback()
            except Exception:
                log.exception("timer of an instance failed: instance=%s", self._instance)

        delay_s = max(0, at_us - monotonic_us()) / US_PER_S
        handle = asyncio.get_running_loop().call_later(delay_s, expire)
        self._handles.add(handle)

    def cancel_all(self) -> None:
        """Cancel all timers."""
        for handle in self._handles:
            handle.cancel()
        self._handles.clear()
