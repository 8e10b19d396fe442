"""The runner's side of the helper processes: starts, commands, results, and exits."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import defaultdict
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any, Self

from oakbridge.lab.process import MAX_LINE_BYTES, HelperRole

READY_TIMEOUT_S = 30.0
RESULT_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 5.0  # from closing the pipe until the helper is killed

Results = Mapping[HelperRole, list[dict[str, Any]]]
OnExit = Callable[[str, int], None]  # a node's name and exit code

# Clients stop first, then nodes, then the servers and the switch that nodes use.
END_ORDER = (
    HelperRole.LOAD,
    HelperRole.PROCESS_MANAGER,
    HelperRole.SERVERS,
    HelperRole.SWITCH,
)


class RunFailedError(Exception):
    """The run could not be performed; the text says why."""


class HelperProcess:
    """One helper process."""

    def __init__(
        self, role: HelperRole, process: asyncio.subprocess.Process, on_exit: OnExit
    ) -> None:
        """``on_exit``: called for each node whose exit the helper reports."""
        self.role = role
        self._process = process
        self._on_exit = on_exit
        self._result: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self._reader: asyncio.Task[None] | None = None

    def send(self, command: Mapping[str, Any]) -> None:
        """Send a command to the helper."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(command).encode() + b"\n")

    async def wait_until_ready(self) -> None:
        """Wait for the helper's first line.  Raises RunFailedError if none comes in time."""
        assert self._process.stdout is not None
        line = b""
        with suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                line = await self._process.stdout.readline()
        if not line:
            raise RunFailedError(f"the lab's {self.role.value} process did not start")
        self._reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            message = json.loads(line)
            if "exited" in message:
                self._on_exit(message["exited"], message["code"])
            elif "ended" in message and not self._result.done():
                self._result.set_result(message["ended"])
        if not self._result.done():
            error = RunFailedError(f"the lab's {self.role.value} process has ended")
            self._result.set_exception(error)
            self._result.exception()  # marks it as retrieved, as nothing may await the result

    async def result(self) -> dict[str, Any]:
        """Wait for the results after ``end``.  Raises RunFailedError if none come in time."""
        try:
            async with asyncio.timeout(RESULT_TIMEOUT_S):
                return await self._result
        except TimeoutError:
            raise RunFailedError(f"the lab's {self.role.value} process did not end") from None

    def close_pipe(self) -> None:
        """Close the pipe; the helper then exits, and stops all that it has started."""
        if self._process.stdin is not None:
            self._process.stdin.close()

    async def wait_closed(self) -> None:
        """Wait for the helper's exit; kill it if that takes too long."""
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        if self._reader is not None:
            self._reader.cancel()


class HelperProcesses:
    """All helper processes of a run; leaving the context stops them, also after an error."""

    def __init__(self, on_exit: OnExit) -> None:
        """``on_exit``: called for each node whose exit a helper reports."""
        self._on_exit = on_exit
        self._by_role: dict[HelperRole, list[HelperProcess]] = defaultdict(list)

    async def __aenter__(self) -> Self:
        """Return the object itself; no helper runs yet."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all pipes, and wait for all processes to exit."""
        helpers = [helper for group in self._by_role.values() for helper in group]
        for helper in helpers:
            helper.close_pipe()
        for helper in helpers:
            await helper.wait_closed()

    async def start(self, role: HelperRole, config: Mapping[str, Any]) -> None:
        """Start a helper and wait until it is ready.  Raises RunFailedError if it is not."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakbridge.lab.process",
            role.value,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[2])},
        )
        helper = HelperProcess(role, process, self._on_exit)
        self._by_role[role].append(helper)
        helper.send(config)
        await helper.wait_until_ready()

    def count(self, role: HelperRole) -> int:
        """Return the number of helpers with a role."""
        return len(self._by_role[role])

    def send(self, role: HelperRole, command: Mapping[str, Any]) -> None:
        """Send a command to all helpers with a role."""
        for helper in self._by_role[role]:
            helper.send(command)

    async def end(self) -> Results:
        """Stop all helpers in order; return the results of each."""
        results: dict[HelperRole, list[dict[str, Any]]] = {}
        for role in END_ORDER:
            self.send(role, {"do": "end"})
            results[role] = [await helper.result() for helper in self._by_role[role]]
        return results
