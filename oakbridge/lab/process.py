"""The frame of the lab's helper processes: JSON lines over pipes, and an end when the pipe closes.

    python -m oakbridge.lab.process ROLE

The first line is the role's configuration.  The parent process may be killed at any time: the pipe
then closes, and the helper ends with all that it has started.
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
    """What a helper process does; its value is the module with its ``Helper``."""

    SWITCH = "switch"
    SERVERS = "servers"
    LOAD = "load"
    PROCESS_MANAGER = "process_manager"


class Helper(Protocol):
    """The work of a helper process."""

    def __init__(self, config: dict[str, Any]) -> None:
        """Take the first line that the parent process has sent."""

    async def start(self) -> None:
        """Get ready."""

    def do(self, command: dict[str, Any]) -> None:
        """Carry out one command."""

    async def end(self) -> dict[str, Any]:
        """End in order; return the results."""

    def abandon(self) -> None:
        """End all at once, as the parent process is gone."""


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
    """Serve in this role; return the exit code."""
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
        chosen = HelperRole(" ".join(sys.argv[1:2]))
    except ValueError:
        names = ", ".join(role.value for role in HelperRole)
        print(f"oakbridge.lab.process: expected one of {names}", file=sys.stderr)
        raise SystemExit(2) from None
    raise SystemExit(asyncio.run(main(chosen)))
