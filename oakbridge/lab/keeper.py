"""Starts nodes, sends them signals, tells of their ends; ends all of them with itself."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
from contextlib import suppress
from typing import Any

from oakbridge.lab.process import say

END_S = 6.0
PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """In a node's process before its program: the kernel kills it when the keeper ends, however it does."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


class Helper:
    """The nodes of one run."""

    def __init__(self, config: dict[str, Any]) -> None:
        self._python, self._path = config["python"], config["path"]
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Nothing is needed."""

    def do(self, command: dict[str, Any]) -> None:
        """``start`` a node, or send it a ``signal``."""
        name = command["name"]
        if command["do"] == "start":
            task = asyncio.get_running_loop().create_task(self._run(name, command["words"], command["log"]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif (process := self._running.get(name)) is not None:
            with suppress(ProcessLookupError):
                process.send_signal(command["signal"])

    async def _run(self, name: str, words: list[str], log: str) -> None:
        before = self._running.get(name)
        if before is not None:
            await before.wait()
        with open(log, "ab") as out:
            process = await asyncio.create_subprocess_exec(
                self._python, *words, stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
                env={**os.environ, "PYTHONPATH": self._path}, preexec_fn=die_with_parent,
            )  # fmt: skip
        self._running[name] = process
        code = await process.wait()
        if self._running.get(name) is process:
            del self._running[name]
        say({"exited": name, "code": code})

    async def end(self) -> dict[str, Any]:
        """SIGTERM to all, SIGKILL to those that stay."""
        costs = {name: cost(p.pid) for name, p in self._running.items()}
        for process in list(self._running.values()):
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        with suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                while self._running:
                    await asyncio.sleep(0.05)
        stayed = sorted(self._running)
        self.abandon()
        return {"stayed": stayed, "costs": costs}

    def abandon(self) -> None:
        """SIGKILL to all."""
        for process in list(self._running.values()):
            with suppress(ProcessLookupError):
                process.kill()


def cost(pid: int) -> tuple[float, float]:
    """Seconds of processor and MB of its own (proportional set size) of a process so far."""
    try:
        with open(f"/proc/{pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        with open(f"/proc/{pid}/smaps_rollup") as file:
            pss = next(int(line.split()[1]) for line in file if line.startswith("Pss:"))
    except (OSError, StopIteration):
        return 0.0, 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), round(pss / 1024, 1)
