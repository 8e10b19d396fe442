"""What the lab's helper processes share: JSON lines on their pipes, and an end when the pipe to them closes.

    python -m oakbridge.lab.process ROLE

The first line is the role's configuration.  Whoever started it may be killed at any time: the pipe then closes, and the
helper ends with all that it has started.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import sys
from collections.abc import AsyncIterator
from typing import Any, Protocol

ROLES = ("switch", "servers", "load", "keeper")
LONGEST = 16 * 1024 * 1024


class Role(Protocol):
    """One kind of helper."""

    def __init__(self, config: dict[str, Any]) -> None: ...

    async def start(self) -> None:
        """Get ready."""

    def do(self, command: dict[str, Any]) -> None:
        """Carry out one command."""

    async def end(self) -> dict[str, Any]:
        """End in order; returns what it has to tell."""

    def abandon(self) -> None:
        """Whoever started it is gone: end all at once."""


def say(message: dict[str, Any]) -> None:
    """A line to whoever started this process."""
    os.write(1, json.dumps(message).encode() + b"\n")


async def lines() -> AsyncIterator[dict[str, Any]]:
    """Commands, until the pipe closes."""
    reader = asyncio.StreamReader(limit=LONGEST)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        yield json.loads(line)


async def main(role: str) -> int:
    """Serve as this role; returns the exit code."""
    commands = lines()
    made: Role = importlib.import_module(f"oakbridge.lab.{role}").Helper(await anext(commands))
    await made.start()
    say({"ready": role})
    async for command in commands:
        if command.get("do") == "end":
            say({"ended": await made.end()})
            return 0
        made.do(command)
    made.abandon()
    return 1


if __name__ == "__main__":
    if sys.argv[1:2] and sys.argv[1] in ROLES:
        raise SystemExit(asyncio.run(main(sys.argv[1])))
    print(f"oakbridge.lab.process: expected one of {', '.join(ROLES)}", file=sys.stderr)
    raise SystemExit(2)
