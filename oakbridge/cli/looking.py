"""Shows what a node holds: once, as JSON, or again and again."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live

from oakbridge.cli.common import Failed, connect, say_json
from oakbridge.control.errors import NodeUnreachableError, RequestRejectedError
from oakbridge.control.protocol import ControlCommand


def show(
    socket_path: Path | None,
    config: Path | None,
    command: ControlCommand,
    picture: Callable[[dict[str, Any]], Group],
    as_json: bool,
    watch: bool,
    every: float,
    **arguments: Any,
) -> None:
    """Ask a node to ``do`` this, and show the answer; ``watch``: every so many seconds until Ctrl-C.  Raises Failed."""
    with connect(socket_path, config) as client:
        try:
            if as_json:
                return say_json(client.request(command, **arguments))
            console = Console()
            if not watch:
                return console.print(picture(client.request(command, **arguments)))
            with Live(console=console, auto_refresh=False, screen=console.is_terminal) as live:
                while True:
                    live.update(picture(client.request(command, **arguments)), refresh=True)
                    time.sleep(every)
        except (NodeUnreachableError, RequestRejectedError) as e:
            raise Failed(str(e)) from None
        except KeyboardInterrupt:
            return
