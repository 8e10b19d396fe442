"""Starts a real node; SIGTERM ends it as a planned restart asks for."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from topazwall.net.config import Config, ConfigError, load
from topazwall.net.node import Node


async def serve(config: Config) -> None:
    """Serve until SIGTERM, then end in order."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = Node(config, loop)
    node.start()
    logging.info("%s listens on %s:%d", config.name, *config.listen)
    await stop.wait()
    logging.info("%s ends", config.name)
    await node.leave()


def main() -> int:
    """Run a node; returns the exit code."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    try:
        asyncio.run(serve(load(os.environ)))
    except ConfigError as e:
        print(f"topazwall: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"topazwall: can't listen: {e}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
