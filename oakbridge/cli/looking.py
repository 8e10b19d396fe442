"""Shows what a node holds: once, as JSON, or again and again."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live

from oakbridge.cli.common import Failed, connect, say_json
from oakbridge.control.client import NodeUnreachableError
from oakbridge.control.protocol import RequestRejectedError


def show(
    socket_path: Path | None,
    config: Path | None,
    do: str,
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
                return say_json(client.ask(do, **arguments))
            console = Console()
            if not watch:
                return console.print(picture(client.ask(do, **arguments)))
            with Live(console=console, auto_refresh=False, screen=console.is_terminal) as live:
                while True:
                    live.update(picture(client.ask(do, **arguments)), refresh=True)
                    time.sleep(every)
        except (NodeUnreachableError, RequestRejectedError) as e:
            raise Failed(str(e)) from None
        except KeyboardInterrupt:
            return
