"""What an agent needs of its machine; ``local_host`` is the real one, tests bring another."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from oakbridge.control.protocol import ControlCommand

ExitCallback = Callable[[str], None]  # is called once, with how the process ended


class NodeProcess(Protocol):
    """One running process of a node."""

    pid: int

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""

    def detach(self) -> None:
        """Stop watching the process; its exit callback is not called any more."""


@dataclass(frozen=True, slots=True)
class MemberEndpoint:
    """What a node is called among members, and where they reach it."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class NodeLaunch:
    """What a node is started with; it goes before what its configuration says."""

    config: Path
    name: str
    listen: tuple[str, ...]
    control: Path
    log: Path
    member: MemberEndpoint | None = None


class Host(Protocol):
    """The processes of nodes, and their answers."""

    def find_node(self, control: Path, on_exit: ExitCallback) -> NodeProcess | None:
        """Return the node that listens on this control socket already, if one does."""

    def start_node(self, launch: NodeLaunch, on_exit: ExitCallback) -> NodeProcess:
        """Start a node.  Raises OSError."""

    def last_log_line(self, log: Path) -> str:
        """Return the last line of a node's log; "" if there is none."""

    async def check_config(self, config: Path) -> str:
        """Return what the node's checker finds wrong with a configuration, in one line, or ""."""

    async def query_node(self, control: Path, command: ControlCommand, **arguments: Any) -> Any:
        """Query a node over its control socket.

        Raises:
            OSError, EOFError: if there is no answer.
            ValueError: if the answer is malformed.
            RequestRejectedError: if the node refuses.
        """
