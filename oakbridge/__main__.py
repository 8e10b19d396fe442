"""``python -m oakbridge``: runs a node configured by its environment; with arguments, the CLI."""

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
    """Reload the configuration; raise ConfigError and keep the old one if the new one is invalid."""
    node.reload(load_config(os.environ, node.config))


async def build(loop: asyncio.AbstractEventLoop) -> Node:
    """Create the node that the environment configures.  Raises ConfigError, OSError."""
    return with_trace(Node(load_config(os.environ), loop))


def with_trace(node: Node) -> Node:
    """Set a trace as the node's observer if OAKBRIDGE_TRACE is set; return the node."""
    if os.environ.get("OAKBRIDGE_TRACE"):
        from oakbridge.node.trace import Trace

        node.observe(Trace(node))
    return node


async def run() -> None:
    """Serve until a signal; import operators' commands only if an address for them is configured."""
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
    logging.raiseExceptions = False  # an error in writing a log line must not print a traceback


def main() -> int:
    """Run a node; return the exit code."""
    if not os.environ.get("NODE_CONFIG"):
        print("oakbridge: NODE_CONFIG: missing, expected the path of the configuration"
              " (without the platform: `oakbridge --help`, `oakbridge demo`)", file=sys.stderr)  # fmt: skip
        return 2
    # Until the event loop handles SIGHUP, the signal must not terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
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
