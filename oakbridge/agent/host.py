"""What an agent needs of the machine that it runs on; ``process`` is the real one, tests and figures bring another."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol


class Running(Protocol):
    """One process."""

    pid: int

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""

    def leave(self) -> None:
        """Hear of it no more."""


@dataclass(frozen=True, slots=True)
class Launch:
    """What a node is started with; it goes before what its configuration says."""

    config: Path
    name: str
    listen: list[str]
    control: Path
    log: Path
    member: tuple[str, str] | None = None  # its name and address among members


class Host(Protocol):
    """Processes of nodes, and what they say."""

    def find(self, control: Path, ended: Callable[[str], None]) -> Running | None:
        """The node that has this control socket already, if one has."""

    def start(self, launch: Launch, ended: Callable[[str], None]) -> Running:
        """Start a node; ``ended`` is called once, with how it ended.  Raises OSError."""

    def last_words(self, log: Path) -> str:
        """The last line of a node's log."""

    async def check(self, config: Path) -> str:
        """What the node's own checker says against a configuration, in one line; "" if nothing."""

    async def ask(self, control: Path, do: str, **arguments: Any) -> Any:
        """Ask a node.  Raises OSError, EOFError, ValueError or RequestRejectedError."""
