"""Runs a node until a signal stops it; SIGHUP reloads its configuration."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from typing import Any

from oakbridge.node.errors import ConfigUnreadableError
from oakbridge.node.node import Node

log = logging.getLogger(__name__)

RELOAD_RETRY_S = 0.1  # delay before a retry, after a transient error in reading the configuration

BuildNode = Callable[[asyncio.AbstractEventLoop], Awaitable[Node]]
Reload = Callable[[Node], None]
Lifespan = Callable[[Node], AbstractAsyncContextManager[Any]]


async def serve(
    build: BuildNode, reload: Reload, lifespan: Lifespan = lambda _: nullcontext()
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads.

    ``lifespan``: a context entered before the node starts and exited after its shutdown, for example
    that of its control socket.
    """
    loop = asyncio.get_running_loop()
    stop, hangup = asyncio.Event(), asyncio.Event()
    # Set before the file is read, so that no SIGHUP after a later change of the file is lost.
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = await build(loop)
    try:
        async with lifespan(node):
            node.start()
            name = node.config.name  # a name changed by a reload takes effect at the next start
            addresses = ", ".join(f"{host}:{port}" for host, port in node.server.addresses)
            log.info("node listening: name=%s addresses=%s", name, addresses or "none (supervisor)")
            reloading = loop.create_task(_reload_on_hangup(node, hangup, reload))
            _exempt_from_collection()
            await stop.wait()
            log.info("node shutting down: name=%s", name)
            await node.shut_down()
            reloading.cancel()
    except BaseException:
        node.close()
        raise


def _exempt_from_collection() -> None:
    """Exempt all objects that exist now from the collection of reference cycles.

    Otherwise closed connections, whose transports are such cycles, are collected only once they are
    a quarter as many as the objects of all modules.
    """
    gc.collect()
    gc.freeze()


async def _reload_on_hangup(node: Node, hangup: asyncio.Event, reload: Reload) -> None:
    """Reload on SIGHUP; signals that arrive before a reload are combined into one."""
    while await hangup.wait():
        hangup.clear()
        if not _reload_once(node, reload):
            await asyncio.sleep(RELOAD_RETRY_S)
            hangup.set()


def _reload_once(node: Node, reload: Reload) -> bool:
    """Reload; return False if a retry may succeed after a transient error."""
    try:
        reload(node)
    except ConfigUnreadableError as error:
        log.warning("reading the configuration failed; retrying: error=%s", error)
        return False
    except Exception as error:
        # An invalid or half-written file must not stop the node; a traceback would suggest a bug.
        reason = str(error) or type(error).__name__
        log.error("reload of the configuration failed: error=%s", reason)  # noqa: TRY400
    return True
