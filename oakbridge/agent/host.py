"""The interface of an agent to its machine; ``local_host`` implements it, tests replace it."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from oakbridge.control.protocol import ControlCommand

ExitCallback = Callable[[str], None]  # is called once, with how the process exited


class NodeProcess(Protocol):
    """One running process of a node."""

    pid: int

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""

    def detach(self) -> None:
        """Stop watching the process; its exit callback is not called any more."""


@dataclass(frozen=True, slots=True)
class MemberEndpoint:
    """A node's name and address among the members of its cluster."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class NodeLaunch:
    """The arguments that a node is started with; they override its configuration file."""

    config: Path
    name: str
    listen: tuple[str, ...]
    control: Path
    log: Path
    member: MemberEndpoint | None = None


class Host(Protocol):
    """Finds, starts and queries the nodes of a machine."""

    def find_node(self, control: Path, on_exit: ExitCallback) -> NodeProcess | None:
        """Return the running node that listens on this control socket; None without one."""

    def start_node(self, launch: NodeLaunch, on_exit: ExitCallback) -> NodeProcess:
        """Start a node.  Raises OSError."""

    def last_log_line(self, log: Path) -> str:
        """Return the last line of a node's log; "" if there is none."""

    async def check_config(self, config: Path) -> str:
        """Return the problem of a configuration, found by the node's checker, in one line.

        Returns "" if there is none.  Raises OSError if the checker can't be started.
        """

    async def query_node(self, control: Path, command: ControlCommand, **arguments: Any) -> Any:
        """Query a node over its control socket.

        Raises:
            OSError, EOFError: if there is no response.
            ValueError: if the response is malformed.
            RequestRejectedError: if the node rejects the command.
        """
