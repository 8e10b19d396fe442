"""``python -m oakbridge``: the platform's node, told all by its environment; with arguments, the command line."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oakbridge.node.config import load
from oakbridge.node.listing import ConfigError
from oakbridge.node.node import Node
from oakbridge.node.run import serve


async def build(loop: asyncio.AbstractEventLoop) -> Node:
    """The node that the environment tells of."""
    node = Node(load(os.environ), loop)
    if os.environ.get("OAKBRIDGE_TRACE"):
        from oakbridge.node.trace import Trace

        Trace(node)
    return node


def reload(node: Node) -> None:
    """Read the configuration anew; one that can't be used raises, and the old one stays."""
    node.reload(load(os.environ, node.config))


@asynccontextmanager
async def beside(node: Node) -> AsyncIterator[None]:
    """What lives as long as the node: the operators' address, where there is one; else none of it is imported."""
    if node.config.control is None:
        yield
        return
    from oakbridge.operators.calls import answer
    from oakbridge.operators.desk import NodeDesk
    from oakbridge.operators.listener import Listener

    desk = NodeDesk(node)
    listener = Listener(asyncio.get_running_loop(), node.config.control, lambda line: answer(desk, line))
    listener.start()
    try:
        yield
    finally:
        listener.close()


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
        asyncio.run(serve(build, reload, beside))
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
