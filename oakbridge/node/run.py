"""Runs a node until it is told to end: signals, and one reload for all that came meanwhile."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from typing import Any

from oakbridge.node.errors import ConfigUnreadableError
from oakbridge.node.node import Node

log = logging.getLogger(__name__)

RELOAD_RETRY_S = 0.1  # after a configuration that could not be read for a moment

BuildNode = Callable[[asyncio.AbstractEventLoop], Awaitable[Node]]
Reload = Callable[[Node], None]
Lifespan = Callable[[Node], AbstractAsyncContextManager[Any]]


async def serve(
    build: BuildNode, reload: Reload, lifespan: Lifespan = lambda _: nullcontext()
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads.

    ``lifespan`` is entered before the node listens and left after it has ended: its control socket,
    for example.
    """
    loop = asyncio.get_running_loop()
    stop, hangup = asyncio.Event(), asyncio.Event()
    # Before the file is read: what changes in it from then on is heard of.
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = await build(loop)
    try:
        async with lifespan(node):
            node.start()
            name = node.config.name  # a reload may bring another, which counts from the next start
            addresses = ", ".join(f"{host}:{port}" for host, port in node.server.addresses)
            log.info("%s listens on %s", name, addresses or "what its supervisor hands it")
            reloading = loop.create_task(_reload_on_hangup(node, hangup, reload))
            await stop.wait()
            log.info("%s ends", name)
            await node.shut_down()
            reloading.cancel()
    except BaseException:
        node.close()
        raise


async def _reload_on_hangup(node: Node, hangup: asyncio.Event, reload: Reload) -> None:
    """Reload once for all signals that came meanwhile: the file as it is now is all that counts."""
    while await hangup.wait():
        hangup.clear()
        if not _reload_once(node, reload):
            await asyncio.sleep(RELOAD_RETRY_S)
            hangup.set()


def _reload_once(node: Node, reload: Reload) -> bool:
    """Reload; return whether that is done, for better or worse, rather than to be tried again."""
    try:
        reload(node)
    except ConfigUnreadableError as e:
        log.warning("the configuration is read again soon: %s", e)
        return False
    except Exception as e:
        # Contained: a file that is broken or half written must not end a node, and is no fault of the program.
        reason = str(e) or type(e).__name__
        log.error("the configuration was not read anew: %s", reason)  # noqa: TRY400
    return True
