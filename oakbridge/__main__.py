"""``python -m oakbridge``: a node that is configured by its environment; with arguments, the command line."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from oakbridge.node.config import has_control_address, load_config
from oakbridge.node.errors import ConfigError
from oakbridge.node.node import Node
from oakbridge.node.run import serve
from oakbridge.node.startup import run_in_new_loop


def reload(node: Node) -> None:
    """Read the configuration anew; raise ConfigError if it can't be used, and leave the old one."""
    node.reload(load_config(os.environ, node.config))


async def build(loop: asyncio.AbstractEventLoop) -> Node:
    """Build the node that the environment configures."""
    return with_trace(Node(load_config(os.environ), loop))


def with_trace(node: Node) -> Node:
    """Return the node, with a trace as its observer where OAKBRIDGE_TRACE is set."""
    if os.environ.get("OAKBRIDGE_TRACE"):
        from oakbridge.node.trace import Trace

        node.observe(Trace(node))
    return node


async def run() -> None:
    """Serve until told to end; operators' commands are imported only where there is an address for them."""
    if not has_control_address(os.environ):
        await serve(build, reload)
        return
    from oakbridge.operators.service import OperatedNodeService

    service = OperatedNodeService(os.environ)

    async def build_with_service(loop: asyncio.AbstractEventLoop) -> Node:
        return with_trace(await service.build(loop))

    await serve(build_with_service, reload, service.lifespan)


def configure_logging(level: int = logging.INFO) -> None:
    """Log to standard error."""
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s"
    )
    logging.raiseExceptions = False  # a line that can't be written is lost, and nothing else


def main() -> int:
    """Run a node; return the exit code."""
    if not os.environ.get("NODE_CONFIG"):
        print("oakbridge: NODE_CONFIG: missing, expected the path of the configuration"
              " (without the platform: `oakbridge --help`, `oakbridge demo`)", file=sys.stderr)  # fmt: skip
        return 2
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop listens to it: it ends no node
    configure_logging()
    try:
        run_in_new_loop(run())
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
