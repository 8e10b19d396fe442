"""The processes of one host: starts nodes, hears of their end through pidfds, and finds those that run already.

A node outlives its agent.  An agent that starts again finds it by its control socket, whose kernel-checked peer is
the process itself, also where that process is frozen and says nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import struct
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from oakbridge.agent.host import Launch
from oakbridge.control import protocol

LOG_MOST = 8 * 1024 * 1024  # a node's log is put aside at its next start once it is longer


def listener_pid(path: Path) -> int | None:
    """Which process listens on a control socket; None if none does."""
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(1)
        try:
            probe.connect(str(path))
            raw = probe.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
        except OSError:
            return None
    return int(struct.unpack("3i", raw)[0])


class Process:
    """One process, a child or one that was found."""

    def __init__(
        self, pid: int, ended: Callable[[str], None], child: subprocess.Popen[bytes] | None = None
    ) -> None:
        """``ended`` is called once, with how it ended.  Raises OSError where there is no such process."""
        self.pid, self._child, self._ended = pid, child, ended
        self._fd = os.pidfd_open(pid)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._fd, self._exit)

    def _exit(self) -> None:
        self.leave()
        how = "it ended"
        if self._child is not None:
            code = self._child.wait()
            how = f"signal {-code}" if code < 0 else f"exit code {code}"
        self._ended(how)

    def send(self, number: signal.Signals) -> None:
        """Send a signal; a process that is gone gets none, and no other one does: a pidfd is never used anew."""
        if self._fd >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._fd, number)

    def leave(self) -> None:
        """Hear of it no more."""
        if self._fd >= 0:
            self._loop.remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1


def start(launch: Launch, ended: Callable[[str], None]) -> Process:
    """Start a node.  Raises OSError."""
    log = launch.log
    if log.exists() and log.stat().st_size > LOG_MOST:
        os.replace(log, log.with_suffix(".old"))
    command = [
        sys.executable,
        "-m",
        "oakbridge.cli",
        "serve",
        "--config",
        str(launch.config),
        "--name",
        launch.name,
    ]
    command += [word for address in launch.listen for word in ("--listen", address)]
    command += ["--control", str(launch.control)]
    command += ["--member", *launch.member] if launch.member is not None else []
    with log.open("ab") as out:
        child = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=out, stderr=out, start_new_session=True, cwd="/"
        )  # fmt: skip
    return Process(child.pid, ended, child)


def last_words(log: Path) -> str:
    """The last line of a node's log, for the reason of a crash."""
    try:
        with log.open("rb") as file:
            file.seek(max(0, log.stat().st_size - 4096))
            lines = file.read().decode("utf-8", "replace").splitlines()
    except OSError:
        return ""
    return lines[-1][:300] if lines else ""


async def check(config: Path, within_s: float = 30.0) -> str:
    """What the node's own checker says against a configuration, in one line; "" if nothing."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakbridge.cli", "check", str(config),
        stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        _, errors = await asyncio.wait_for(process.communicate(), within_s)
    except TimeoutError:
        process.kill()
        await process.wait()
        return f"the checker did not end within {within_s:g} s"
    if process.returncode == 0:
        return ""
    lines = errors.decode("utf-8", "replace").strip().splitlines() or ["the checker says no, and not why"]
    more = f" (and {len(lines) - 1} more)" if len(lines) > 1 else ""
    return lines[0].removeprefix("oakbridge: ")[:500] + more


class LocalHost:
    """This machine."""

    def find(self, control: Path, ended: Callable[[str], None]) -> Process | None:
        """The node that has this control socket already, if one has."""
        pid = listener_pid(control)
        try:
            return None if pid is None else Process(pid, ended)
        except OSError:
            return None

    def start(self, launch: Launch, ended: Callable[[str], None]) -> Process:
        """Start a node.  Raises OSError."""
        return start(launch, ended)

    def last_words(self, log: Path) -> str:
        """The last line of a node's log."""
        return last_words(log)

    async def check(self, config: Path) -> str:
        """What the node's own checker says against a configuration."""
        return await check(config)

    async def ask(self, control: Path, do: str, **arguments: Any) -> Any:
        """Ask a node over its control socket."""
        reader, writer = await asyncio.open_unix_connection(str(control), limit=protocol.MAX_RESPONSE_BYTES)
        try:
            writer.write(protocol.encode_request(protocol.ControlCommand(do), arguments))
            line = await reader.readline()
            if not line:
                raise EOFError
            return protocol.decode_response(line)
        finally:
            writer.transport.abort()
