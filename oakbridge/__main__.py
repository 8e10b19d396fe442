"""``python -m oakbridge``: the platform's node, told all by its environment; with arguments, the command line."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from oakbridge.node.config import called, load
from oakbridge.node.listing import ConfigError
from oakbridge.node.node import Node
from oakbridge.node.run import serve


def reload(node: Node) -> None:
    """Read the configuration anew; one that can't be used raises, and the old one stays."""
    node.reload(load(os.environ, node.config))


async def build(loop: asyncio.AbstractEventLoop) -> Node:
    """The node that the environment tells of."""
    return traced(Node(load(os.environ), loop))


def traced(node: Node) -> Node:
    """The node, with its counts where they are asked for."""
    if os.environ.get("OAKBRIDGE_TRACE"):
        from oakbridge.node.trace import Trace

        Trace(node)
    return node


async def run() -> None:
    """Serve until told to end, with operators' calls where there is an address for them; else none is imported."""
    if not called(os.environ):
        return await serve(build, reload)
    from oakbridge.operators.service import OperatedNodeService

    service = OperatedNodeService(os.environ)

    async def built(loop: asyncio.AbstractEventLoop) -> Node:
        return traced(await service.build(loop))

    await serve(built, reload, service.lifespan)


def start_log(level: int = logging.INFO) -> None:
    """The log, on standard error."""
    logging.basicConfig(level=level, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")


def main() -> int:
    """Run a node; returns the exit code."""
    if not os.environ.get("NODE_CONFIG"):
        print("oakbridge: NODE_CONFIG: missing, expected the path of the configuration"
              " (without the platform: `oakbridge --help`, `oakbridge demo`)", file=sys.stderr)  # fmt: skip
        return 2
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop listens to it: it ends no node
    start_log()
    try:
        asyncio.run(run())
    except ConfigError as e:
        print(f"oakbridge: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"oakbridge: can't listen: {e}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        from oakbridge.cli.main import main as command_line

        sys.exit(command_line())
    sys.exit(main())
