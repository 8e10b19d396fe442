"""The main program of the lab's helper processes, which get commands as JSON lines over a pipe.

    python -m oakbridge.lab.process ROLE

The first line is the role's configuration.  If the parent process is killed, the pipe closes; the
helper then exits, and stops all that it has started.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import sys
from collections.abc import AsyncIterator
from enum import Enum
from typing import Any, Protocol

MAX_LINE_BYTES = 16 * 1024 * 1024


class HelperRole(Enum):
    """The role of a helper process; the value is the name of the module with its ``Helper``."""

    SWITCH = "switch"
    SERVERS = "servers"
    LOAD = "load"
    PROCESS_MANAGER = "process_manager"


class Helper(Protocol):
    """The interface of a helper process's role."""

    def __init__(self, config: dict[str, Any]) -> None:
        """Create the helper; ``config`` is the first line from the parent process."""

    async def start(self) -> None:
        """Do what must precede the first command."""

    def do(self, command: dict[str, Any]) -> None:
        """Carry out one command."""

    async def end(self) -> dict[str, Any]:
        """Stop in order; return the results."""

    def abandon(self) -> None:
        """Stop everything at once, as the parent process has exited."""


def send_to_parent(message: dict[str, Any]) -> None:
    """Write a line to the parent process."""
    os.write(1, json.dumps(message).encode() + b"\n")


async def read_commands() -> AsyncIterator[dict[str, Any]]:
    """Yield commands until the pipe closes."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield json.loads(line)


async def main(role: HelperRole) -> int:
    """Run the helper of a role; return the exit code."""
    commands = read_commands()
    module = importlib.import_module(f"oakbridge.lab.{role.value}")
    helper: Helper = module.Helper(await anext(commands))
    await helper.start()
    send_to_parent({"ready": role.value})
    async for command in commands:
        if command.get("do") == "end":
            send_to_parent({"ended": await helper.end()})
            return 0
        helper.do(command)
    helper.abandon()
    return 1


if __name__ == "__main__":
    try:
        chosen_role = HelperRole(" ".join(sys.argv[1:2]))
    except ValueError:
        names = ", ".join(role.value for role in HelperRole)
        print(f"oakbridge.lab.process: expected one of {names}", file=sys.stderr)
        raise SystemExit(2) from None
    raise SystemExit(asyncio.run(main(chosen_role)))
