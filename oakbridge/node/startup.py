"""Retries system calls during a process's start while the system is short of resources.

Resources are, for example, descriptors and buffers.  A starting process has no clients yet, but must
be ready within :data:`RETRY_TIMEOUT_S`: calls are retried until then, and after that the error is
raised.
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
RETRY_DELAY_S = 0.05
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def retry_resource_errors(
    call: Callable[[], T], what: str, timeout_s: float = RETRY_TIMEOUT_S
) -> T:
    """Call a function, and retry it while resources are short; return its result.

    Blocks the thread, so a serving process must not use it.  ``what`` names the call in the log.
    Raises OSError: an error that isn't transient, or the last error after ``timeout_s``.
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
                log.warning("%s failed; retrying: error=%s", what, error)
                logged = True
        time.sleep(RETRY_DELAY_S)


async def retry_resource_errors_async(call: Callable[[], Awaitable[T]], what: str) -> T:
    """Do the same as :func:`retry_resource_errors` for a coroutine function, without blocking."""
    give_up_at = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        try:
            return await call()
        except OSError as error:
            if not is_resource_error(error) or time.monotonic() >= give_up_at:
                raise
            log.warning("%s failed; retrying: error=%s", what, error)
        await asyncio.sleep(RETRY_DELAY_S)


def run_in_new_loop(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a new event loop, as ``asyncio.run`` does.  Raises OSError."""
    with asyncio.Runner(loop_factory=_new_event_loop) as runner:
        return runner.run(main)


def _new_event_loop() -> asyncio.AbstractEventLoop:
    selector = retry_resource_errors(EpollSelector, "creating the event loop's selector")
    return retry_resource_errors(lambda: _EventLoop(selector), "creating the event loop")


class _EventLoop(asyncio.SelectorEventLoop):
    """asyncio's event loop, with retries for the creation of its internal sockets.

    A retry of the whole constructor would not do: an event loop whose constructor fails warns when
    it is garbage collected.
    """

    def _make_self_pipe(self) -> None:
        make: Callable[[], None] = super()._make_self_pipe  # type: ignore[misc]
        retry_resource_errors(make, "creating the event loop's sockets")

    def close(self) -> None:
        """Ignore signals, then close: a signal could not be delivered through the closed sockets."""
        if threading.current_thread() is threading.main_thread():
            for number in HANDLED_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
        super().close()
