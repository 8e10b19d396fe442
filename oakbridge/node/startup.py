"""Start although the system is short of something for a moment, such as descriptors or buffers.

Before a process accepts anything it owes nothing to clients, but it is expected to be ready within
:data:`RETRY_TIMEOUT_S`.  Until then what fails is tried again; after that the failure is the caller's.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import threading
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from oakbridge.node.epoll_selector import EpollSelector
from oakbridge.node.system_errors import is_resource_error

log = logging.getLogger(__name__)

T = TypeVar("T")

RETRY_TIMEOUT_S = 20.0
RETRY_S = 0.05
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def retry_resource_errors(
    call: Callable[[], T], what: str, timeout_s: float = RETRY_TIMEOUT_S
) -> T:
    """Return what a call returns, made again while resources are short.

    Blocks: for the start of a process, not for one that serves.  Raises OSError: one that does not
    pass, or the last one after ``timeout_s``.
    """
    give_up_at = time.monotonic() + timeout_s
    logged = False
    while True:
        try:
            return call()
        except OSError as error:
            if not is_resource_error(error) or time.monotonic() >= give_up_at:
                raise
            if not logged:
                log.warning("%s fails and is tried again: %s", what, error)
                logged = True
        time.sleep(RETRY_S)


async def retry_resource_errors_async(call: Callable[[], Awaitable[T]], what: str) -> T:
    """Do as :func:`retry_resource_errors` for a coroutine, without blocking the loop."""
    give_up_at = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        try:
            return await call()
        except OSError as error:
            if not is_resource_error(error) or time.monotonic() >= give_up_at:
                raise
            log.warning("%s fails and is tried again: %s", what, error)
        await asyncio.sleep(RETRY_S)


def run_in_new_loop(main: Coroutine[Any, Any, T]) -> T:
    """Run a program in an event loop of its own, as ``asyncio.run`` does.  Raises OSError."""
    with asyncio.Runner(loop_factory=_new_event_loop) as runner:
        return runner.run(main)


def _new_event_loop() -> asyncio.AbstractEventLoop:
    selector = retry_resource_errors(EpollSelector, "making the event loop's selector")
    return retry_resource_errors(lambda: _EventLoop(selector), "making the event loop")


class _EventLoop(asyncio.SelectorEventLoop):
    """The usual event loop, which makes its own sockets with patience.

    One that fails halfway through its constructor would complain as it is collected.
    """

    def _make_self_pipe(self) -> None:
        make: Callable[[], None] = super()._make_self_pipe  # type: ignore[misc]
        retry_resource_errors(make, "making the event loop's sockets")

    def close(self) -> None:
        """Close, with signals ignored: one that comes while the sockets go could not be told."""
        if threading.current_thread() is threading.main_thread():
            for number in HANDLED_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
        super().close()
