"""Starts a real node; SIGTERM ends it as a planned restart asks for, SIGHUP reads its configuration anew."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from oakbridge.node.config import load
from oakbridge.node.listing import ConfigError
from oakbridge.node.node import Node

log = logging.getLogger(__name__)


def reload(node: Node) -> None:
    """Read the configuration anew; one that can't be used is told in the log, and the old one stays."""
    try:
        node.reload(load(os.environ, again=True))
    except Exception as e:  # contained: a file that is broken or half written must not end a node
        log.error("the configuration was not read anew: %s", str(e) or type(e).__name__)


async def serve() -> None:
    """Serve until SIGTERM, then end in order."""
    loop = asyncio.get_running_loop()
    stop, hangup = asyncio.Event(), asyncio.Event()
    # Before the file is read: what changes in it from then on is heard of.
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    config = load(os.environ)
    node = Node(config, loop)
    node.start()
    log.info("%s listens on %s:%d", config.name, *config.listen)
    reloading = loop.create_task(_reloading(node, hangup))
    await stop.wait()
    log.info("%s ends", config.name)
    await node.leave()
    reloading.cancel()


async def _reloading(node: Node, hangup: asyncio.Event) -> None:
    """Reload once for all signals that came meanwhile: the file as it is now is all that counts."""
    while await hangup.wait():
        hangup.clear()
        reload(node)


def main() -> int:
    """Run a node; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop listens to it: it ends no node
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    try:
        asyncio.run(serve())
    except ConfigError as e:
        print(f"oakbridge: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"oakbridge: can't listen: {e}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
