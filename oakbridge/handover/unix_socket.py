"""The Unix socket by which the processes of a node find one another."""

from __future__ import annotations

import contextlib
import logging
import os
import socket
from collections.abc import Iterator
from pathlib import Path

from oakbridge.node.accepting import AcceptFailureLog, AcceptResult, accept
from oakbridge.node.startup import retry_resource_errors

log = logging.getLogger(__name__)

MAX_ADDRESS_BYTES = 100  # a Unix address holds 107
MAX_NAME_CHARACTERS = 64  # of the node's name in that of the socket
BACKLOG = 4
CONNECT_PATIENCE_S = 1.0  # with a connect that fails for a moment; then it counts as none listens


def socket_path(node_name: str, folder: str | None = None) -> Path:
    """Return where the processes of a node meet: in this folder, ``TMPDIR`` or ``/tmp``."""
    safe_name = "".join(c if c.isalnum() or c in "-_" else "_" for c in node_name)
    meeting_folder = folder or os.environ.get("TMPDIR") or "/tmp"
    return Path(meeting_folder) / f"oakbridge-{safe_name[:MAX_NAME_CHARACTERS]}.sock"


class UnixListener:
    """A listening socket under a name that other processes know.  It owns both."""

    def __init__(self, path: Path) -> None:
        """Listen at this path, in place of whatever has the name.

        Raises:
            OSError: The name can't be taken.
        """
        self._path = path
        self._failures = AcceptFailureLog()
        self._sock = _unix_socket()
        try:
            path.unlink(missing_ok=True)
            with _short_address(path) as address:
                self._sock.bind(address)
            path.chmod(0o600)
            self._sock.listen(BACKLOG)
            self._inode = path.stat().st_ino
        except OSError:
            self._sock.close()
            raise

    def fileno(self) -> int:
        """Return the descriptor, for a loop to watch."""
        return self._sock.fileno()

    def accept(self) -> AcceptResult:
        """Return a connection that waits, set not to block, or why there is none."""
        outcome = accept(self._sock, self._failures)
        if outcome.connection is not None:
            outcome.connection.setblocking(False)
        return outcome

    def close(self) -> None:
        """Listen no more, and remove the name unless another process has it by now."""
        self._sock.close()
        with contextlib.suppress(OSError):
            if self._path.stat().st_ino == self._inode:
                self._path.unlink()


def connect(path: Path) -> socket.socket | None:
    """Connect to the process that listens there; None if there is none (any more)."""
    if not path.exists():
        return None
    sock = retry_resource_errors(_unix_socket, "making a socket to the predecessor")
    try:
        what = "connecting to the predecessor"
        retry_resource_errors(lambda: _connect(sock, path), what, CONNECT_PATIENCE_S)
    except OSError as e:
        sock.close()
        log.info("no predecessor listens: path=%s error=%s", path.name, e.strerror)
        return None
    return sock


def _connect(sock: socket.socket, path: Path) -> None:
    with _short_address(path) as address:
        sock.connect(address)


def _unix_socket() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)


@contextlib.contextmanager
def _short_address(path: Path) -> Iterator[str]:
    """Give an address that fits for a socket in a folder with a long name."""
    if len(os.fsencode(path)) <= MAX_ADDRESS_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
