"""Runs a node until it is told to end: signals, and a reload for all that came meanwhile."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from typing import Any

from oakbridge.node.node import Node

log = logging.getLogger(__name__)

Build = Callable[[asyncio.AbstractEventLoop], Awaitable[Node]]
Reload = Callable[[Node], None]
Beside = Callable[[Node], AbstractAsyncContextManager[Any]]


async def serve(build: Build, reload: Reload, beside: Beside = lambda _: nullcontext()) -> None:
    """Serve until SIGTERM or SIGINT, then end in order; SIGHUP reloads.

    ``beside`` is what lives as long as the node does, such as its control socket.
    """
    loop = asyncio.get_running_loop()
    stop, hangup = asyncio.Event(), asyncio.Event()
    # Before the file is read: what changes in it from then on is heard of.
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = await build(loop)
    try:
        async with beside(node):
            node.start()
            name = node.config.name
            where = ", ".join(f"{h}:{p}" for h, p in node.server.addresses)
            log.info("%s listens on %s", name, where or "what its supervisor hands it")
            reloading = loop.create_task(_reloading(node, hangup, reload))
            await stop.wait()
            log.info("%s ends", name)
            await node.leave()
            reloading.cancel()
    except BaseException:
        node.close()
        raise


async def _reloading(node: Node, hangup: asyncio.Event, reload: Reload) -> None:
    """Reload once for all signals that came meanwhile: the file as it is now is all that counts."""
    while await hangup.wait():
        hangup.clear()
        try:
            reload(node)
        except Exception as e:  # contained: a file that is broken or half written must not end a node
            log.error("the configuration was not read anew: %s", str(e) or type(e).__name__)
