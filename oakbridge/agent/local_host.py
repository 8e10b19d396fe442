"""The local machine, as an agent uses it.

A node outlives its agent.  A restarted agent finds the node by its control socket: the kernel
reports the process that listens on it, even if that process is stopped and does not respond.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from oakbridge.agent.host import ExitCallback, NodeLaunch
from oakbridge.agent.node_process import LocalProcess, listener_pid, start_node
from oakbridge.control import protocol
from oakbridge.node.startup import retry_resource_errors

CHECK_TIMEOUT_S = 30.0
LOG_TAIL_BYTES = 4096  # the last log line is looked for in this part of a log
MAX_LOG_LINE_LENGTH = 300  # characters
MAX_PROBLEM_LENGTH = 500  # characters


class LocalHost:
    """The local machine."""

    def find_node(self, control: Path, on_exit: ExitCallback) -> LocalProcess | None:
        """Return the running node that listens on this control socket; None without one."""
        pid = retry_resource_errors(lambda: listener_pid(control), "finding a running node")
        if pid is None:
            return None
        try:
            return retry_resource_errors(
                lambda: LocalProcess(pid, on_exit), "watching a running node"
            )
        except ProcessLookupError:
            return None

    def start_node(self, launch: NodeLaunch, on_exit: ExitCallback) -> LocalProcess:
        """Start a node.  Raises OSError."""
        return start_node(launch, on_exit)

    def last_log_line(self, log: Path) -> str:
        """Return the last line of a node's log, for the reason of a crash; "" if there is none."""
        try:
            with log.open("rb") as file:
                file.seek(max(0, log.stat().st_size - LOG_TAIL_BYTES))
                lines = file.read().decode("utf-8", "replace").splitlines()
        except OSError:
            return ""
        return lines[-1][:MAX_LOG_LINE_LENGTH] if lines else ""

    async def check_config(self, config: Path) -> str:
        """Return the problem that ``oakbridge check`` finds in a configuration, in one line, or "".

        Raises OSError if the checker can't be started.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakbridge.cli", "check", str(config),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        try:
            _, stderr = await asyncio.wait_for(process.communicate(), CHECK_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()
            return f"the checker did not end within {CHECK_TIMEOUT_S:g} s"
        if process.returncode == 0:
            return ""
        return _first_problem(stderr.decode("utf-8", "replace"))

    async def query_node(
        self, control: Path, command: protocol.ControlCommand, **arguments: Any
    ) -> Any:
        """Query a node over its control socket; raises the errors of :meth:`Host.query_node`."""
        reader, writer = await asyncio.open_unix_connection(
            str(control), limit=protocol.MAX_RESPONSE_BYTES
        )
        try:
            writer.write(protocol.encode_request(command, arguments))
            line = await reader.readline()
            if not line:
                raise EOFError
            return protocol.decode_response(line)
        finally:
            writer.transport.abort()


def _first_problem(stderr: str) -> str:
    """Return the first line of the checker's output, and how many more lines there are."""
    lines = stderr.strip().splitlines() or ["the checker says no, and not why"]
    first = lines[0].removeprefix("oakbridge: ")[:MAX_PROBLEM_LENGTH]
    return f"{first} (and {len(lines) - 1} more)" if len(lines) > 1 else first
