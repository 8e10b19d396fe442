"""Show the result of a control command: once, as JSON, or again and again."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live

from oakbridge.cli.common import CommandFailedError, connect, say_json
from oakbridge.control.errors import NodeUnreachableError, RequestRejectedError
from oakbridge.control.protocol import ControlCommand


def show(
    socket_path: Path | None,
    config: Path | None,
    command: ControlCommand,
    render: Callable[[dict[str, Any]], Group],
    as_json: bool,
    watch: bool,
    every: float,
    **arguments: Any,
) -> None:
    """Send a command to a node and show its result as JSON or by ``render``.

    ``watch``: again every so many seconds until Ctrl-C.  Raises CommandFailedError.
    """
    with connect(socket_path, config) as client:
        try:
            if as_json:
                return say_json(client.request(command, **arguments))
            console = Console()
            if not watch:
                return console.print(render(client.request(command, **arguments)))
            with Live(console=console, auto_refresh=False, screen=console.is_terminal) as live:
                while True:
                    live.update(render(client.request(command, **arguments)), refresh=True)
                    time.sleep(every)
        except (NodeUnreachableError, RequestRejectedError) as e:
            raise CommandFailedError(str(e)) from None
        except KeyboardInterrupt:
            return None
