"""The local machine, as an agent uses it.

A node outlives its agent.  An agent that starts again finds it by its control socket, whose peer is
told by the kernel, also where that process is frozen and does not answer.
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
LOG_TAIL_BYTES = 4096
MAX_LOG_LINE_LENGTH = 300
MAX_PROBLEM_LENGTH = 500


class LocalHost:
    """The local machine."""

    def find_node(self, control: Path, on_exit: ExitCallback) -> LocalProcess | None:
        """Return the node that listens on this control socket already, if one does."""
        pid = retry_resource_errors(lambda: listener_pid(control), "looking for a node")
        if pid is None:
            return None
        try:
            return retry_resource_errors(
                lambda: LocalProcess(pid, on_exit), "watching a node that runs"
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
        """Return what ``oakbridge check`` finds wrong with a configuration, in one line, or ""."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakbridge.cli", "check", str(config),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        try:
            _, errors = await asyncio.wait_for(process.communicate(), CHECK_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            await process.wait()
            return f"the checker did not end within {CHECK_TIMEOUT_S:g} s"
        if process.returncode == 0:
            return ""
        return _first_problem(errors.decode("utf-8", "replace"))

    async def query_node(
        self, control: Path, command: protocol.ControlCommand, **arguments: Any
    ) -> Any:
        """Query a node over its control socket; raises as :meth:`Host.query_node` says."""
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


def _first_problem(errors: str) -> str:
    """Return the first of the checker's lines, and how many more there are."""
    lines = errors.strip().splitlines() or ["the checker says no, and not why"]
    first = lines[0].removeprefix("oakbridge: ")[:MAX_PROBLEM_LENGTH]
    return f"{first} (and {len(lines) - 1} more)" if len(lines) > 1 else first
