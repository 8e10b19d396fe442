"""The helper process that starts and signals nodes, and reports their exits.

If it exits, its nodes are killed.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
from contextlib import suppress
from pathlib import Path
from typing import Any

from oakbridge.lab.process import send_to_parent

GRACEFUL_SHUTDOWN_S = 6.0
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent exits; runs before the node's program."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


class Helper:
    """The node processes of one run."""

    def __init__(self, config: dict[str, Any]) -> None:
        """``config``: ``python``, the interpreter; ``path``, the checkout with the nodes' code."""
        self._python = config["python"]
        self._path = config["path"]
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing: nodes are started by commands."""

    def do(self, command: dict[str, Any]) -> None:
        """Carry out ``start`` of a node, or send it a ``signal``."""
        name = command["name"]
        if command["do"] == "start":
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._run(name, command["words"], command["log"]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif (process := self._running.get(name)) is not None:
            with suppress(ProcessLookupError):
                process.send_signal(command["signal"])

    async def _run(self, name: str, arguments: list[str], log: str) -> None:
        """Run a node until it exits, after its earlier process has exited."""
        earlier = self._running.get(name)
        if earlier is not None:
            await earlier.wait()
        with Path(log).open("ab") as out:  # noqa: ASYNC230 - a local file, opened once per start
            process = await asyncio.create_subprocess_exec(
                self._python,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env={**os.environ, "PYTHONPATH": self._path},
                preexec_fn=die_with_parent,
            )
        self._running[name] = process
        exit_code = await process.wait()
        if self._running.get(name) is process:
            del self._running[name]
        send_to_parent({"exited": name, "code": exit_code})

    async def end(self) -> dict[str, Any]:
        """Terminate all nodes, and kill those that do not exit in time; return their costs."""
        costs = {name: process_cost(running.pid) for name, running in self._running.items()}
        for process in list(self._running.values()):
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=GRACEFUL_SHUTDOWN_S)
        stayed = sorted(self._running)
        self.abandon()
        return {"stayed": stayed, "costs": costs}

    def abandon(self) -> None:
        """Kill all nodes."""
        for process in list(self._running.values()):
            with suppress(ProcessLookupError):
                process.kill()


def process_cost(pid: int) -> tuple[float, float]:
    """Return a process's CPU seconds and proportional set size in MB so far; 0 if it has exited."""
    directory = Path(f"/proc/{pid}")
    try:
        fields = (directory / "stat").read_text().rpartition(")")[2].split()
        rollup = (directory / "smaps_rollup").read_text().splitlines()
        pss_kb = next(int(line.split()[1]) for line in rollup if line.startswith("Pss:"))
    except (OSError, StopIteration):
        return 0.0, 0.0
    user_ticks = int(fields[11])
    system_ticks = int(fields[12])
    cpu_s = (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")
    return cpu_s, round(pss_kb / 1024, 1)
