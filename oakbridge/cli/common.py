"""Shared by the commands: errors with exit codes, JSON output and the lookup of control sockets."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from oakbridge.control.client import ControlClient
from oakbridge.control.errors import NodeUnreachableError, RequestRejectedError
from oakbridge.control.paths import runtime_directory
from oakbridge.control.protocol import ControlCommand

# The options of ``socket_options``: the path of a control socket, and that of a configuration.
NodeOptions = tuple[Path | None, Path | None]


class CommandFailedError(click.ClickException):
    """The command failed: exit code 1."""

    exit_code = 1

    def show(self, file: Any = None) -> None:  # noqa: ARG002 - click's interface
        """Print the message on standard error, each line after the program's name."""
        print(
            *(f"oakbridge: {line}" for line in self.message.splitlines()), sep="\n", file=sys.stderr
        )


class InvalidInputError(CommandFailedError):
    """A file or the command line is invalid: exit code 2."""

    exit_code = 2


def print_json(value: Any) -> None:
    """Print a result as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def socket_options(function: Any) -> Any:
    """Add the options that name a node: by its control socket or by its configuration."""
    function = click.option(
        "--config",
        type=click.Path(path_type=Path),
        help="The node's configuration, which tells its socket.",
    )(function)
    return click.option(
        "--socket",
        "socket_path",
        type=click.Path(path_type=Path),
        help="The node's control socket.",
    )(function)


def output_options(function: Any) -> Any:
    """Add the options for how a node's state is printed: once, as JSON, or repeatedly."""
    interval_range = click.FloatRange(0.1, 60)
    function = click.option(
        "--every", default=1.0, type=interval_range, help="Seconds between two looks."
    )(function)
    function = click.option("--watch", is_flag=True, help="Go on showing it, until Ctrl-C.")(
        function
    )
    return click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")(function)


def connect(socket_path: Path | None, config: Path | None) -> ControlClient:
    """Return a client of the node that the options name, or of the only running node.

    Raises CommandFailedError or InvalidInputError.
    """
    try:
        return ControlClient(find_socket(socket_path, config))
    except NodeUnreachableError as error:
        raise CommandFailedError(str(error)) from None


def send_command(node_options: NodeOptions, command: ControlCommand, **arguments: Any) -> Any:
    """Return a node's response to one command.

    Raises CommandFailedError or InvalidInputError.
    """
    with connect(*node_options) as client:
        try:
            return client.request(command, **arguments)
        except (NodeUnreachableError, RequestRejectedError) as error:
            raise CommandFailedError(str(error)) from None


def find_socket(socket_path: Path | None, config: Path | None) -> Path:
    """Return the path of the node's control socket, by the options or as the only one there is.

    A path that the options give may not exist.

    Raises CommandFailedError or InvalidInputError.
    """
    if socket_path is not None:
        return socket_path
    if config is not None:
        from oakbridge.config.errors import ConfigFileError
        from oakbridge.config.load import load

        try:
            configured_path = load(config).control_path
        except ConfigFileError as error:
            raise InvalidInputError(str(error)) from None
        if configured_path is None:
            raise InvalidInputError(
                f"{config}: control: enabled is false, so this node has no control socket"
            )
        return configured_path
    folder = runtime_directory()
    sockets = sorted(folder.glob("*.sock"))
    if len(sockets) == 1:
        return sockets[0]
    if not sockets:
        raise CommandFailedError(
            f"no control socket in {folder}: is a node running? (--socket or --config names one)"
        )
    names = ", ".join(path.stem for path in sockets)
    raise InvalidInputError(
        f"several nodes have control sockets in {folder} ({names}): name one with --socket or --config"
    )
