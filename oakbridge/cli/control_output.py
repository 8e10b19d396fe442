"""Prints the result of a control command: once, as JSON, or repeatedly."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live

from oakbridge.cli.common import CommandFailedError, connect, print_json
from oakbridge.control.errors import NodeUnreachableError, RequestRejectedError
from oakbridge.control.protocol import ControlCommand


def show_result(
    socket_path: Path | None,
    config: Path | None,
    command: ControlCommand,
    render: Callable[[dict[str, Any]], Group],
    as_json: bool,
    watch: bool,
    interval_s: float,
    **arguments: Any,
) -> None:
    """Send a control command to the node that the options name, and show its result.

    ``render`` makes the tables for people.  ``watch``: send the command every ``interval_s`` until
    Ctrl-C.  Raises CommandFailedError or InvalidInputError.
    """
    with connect(socket_path, config) as client:
        try:
            if as_json:
                return print_json(client.request(command, **arguments))
            console = Console()
            if not watch:
                return console.print(render(client.request(command, **arguments)))
            with Live(console=console, auto_refresh=False, screen=console.is_terminal) as live:
                while True:
                    live.update(render(client.request(command, **arguments)), refresh=True)
                    time.sleep(interval_s)
        except (NodeUnreachableError, RequestRejectedError) as error:
            raise CommandFailedError(str(error)) from None
        except KeyboardInterrupt:
            return None
