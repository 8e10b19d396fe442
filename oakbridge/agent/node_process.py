"""Processes of nodes: start them, and watch for their exit through pidfds."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import socket
import struct
import subprocess
import sys
from pathlib import Path
from typing import BinaryIO

from oakbridge.agent.host import ExitCallback, NodeLaunch
from oakbridge.node.system_errors import is_resource_error

log = logging.getLogger(__name__)

MAX_LOG_BYTES = 8 * 1024 * 1024  # a longer log is rotated at the node's next start
OLD_LOG_SUFFIX = ".old"
CONNECT_TIMEOUT_S = 1.0
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid and gid


def listener_pid(path: Path) -> int | None:
    """Return the process that listens on a control socket, as the kernel reports it, or None.

    Raises OSError for a transient error: a running node must not be reported as missing.
    """
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(CONNECT_TIMEOUT_S)
        try:
            probe.connect(str(path))
            raw = probe.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        except OSError as error:
            # The listen queue of a node that hangs is full.
            is_queue_full = isinstance(error, BlockingIOError)
            if is_resource_error(error) and not is_queue_full:
                raise
            return None
    pid, _, _ = PEER_CREDENTIALS.unpack(raw)
    return int(pid)


class LocalProcess:
    """A process of this machine: a child, or a running process that was found."""

    def __init__(
        self, pid: int, on_exit: ExitCallback, child: subprocess.Popen[bytes] | None = None
    ) -> None:
        """Watch the process.  Raises OSError if it does not exist."""
        self.pid = pid
        self._child = child
        self._on_exit = on_exit
        self._pidfd = os.pidfd_open(pid)
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._pidfd, self._handle_exit)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, which has no effect after the exit: a pidfd refers to one process only."""
        if self._pidfd >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._pidfd, number)

    def detach(self) -> None:
        """Stop watching the process."""
        if self._pidfd >= 0:
            self._loop.remove_reader(self._pidfd)
            os.close(self._pidfd)
            self._pidfd = -1

    def _handle_exit(self) -> None:
        self.detach()
        self._on_exit(self._exit_description())

    def _exit_description(self) -> str:
        if self._child is None:
            return "it ended"  # the kernel reports the exit code to the parent only
        code = self._child.wait()
        return f"signal {-code}" if code < 0 else f"exit code {code}"


def start_node(launch: NodeLaunch, on_exit: ExitCallback) -> LocalProcess:
    """Start a node in a session of its own, so that it outlives its agent.  Raises OSError."""
    with _open_log(launch.log) as log_file:
        child = subprocess.Popen(
            _command(launch),
            stdin=subprocess.DEVNULL,
            stdout=log_file,
            stderr=log_file,
            start_new_session=True,
            cwd="/",
        )
    try:
        return LocalProcess(child.pid, on_exit, child)
    except OSError:
        child.kill()  # its exit could not be detected
        child.wait()
        raise


def _command(launch: NodeLaunch) -> list[str]:
    command = [sys.executable, "-m", "oakbridge.cli", "serve"]
    command += ["--config", str(launch.config), "--name", launch.name]
    for address in launch.listen:
        command += ["--listen", address]
    command += ["--control", str(launch.control)]
    if launch.member is not None:
        command += ["--member", launch.member.name, launch.member.address]
    return command


def _open_log(path: Path) -> BinaryIO:
    """Open a node's log; if the disk fails, the node runs without one until its next start."""
    try:
        _rotate(path)
        return path.open("ab")
    except OSError as error:
        log.warning(
            "node's log can't be opened; the node runs without a log: path=%s error=%s",
            path,
            error,
        )
        return Path(os.devnull).open("ab")


def _rotate(path: Path) -> None:
    if path.exists() and path.stat().st_size > MAX_LOG_BYTES:
        path.replace(path.with_suffix(OLD_LOG_SUFFIX))
