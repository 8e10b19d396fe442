"""The Unix socket at which the running process of a node listens for its successor."""

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

MAX_ADDRESS_BYTES = 100  # the system's limit for the path of a Unix socket is 107
MAX_NAME_CHARACTERS = 64  # of the node's name that are used in the file name of the socket
BACKLOG = 4
# Connects that fail with a transient error are retried for this time.  After it, the successor goes
# on as if no predecessor listened.
CONNECT_TIMEOUT_S = 1.0


def socket_path(node_name: str, folder: str | None = None) -> Path:
    """Return the path of a node's Unix socket, in ``folder``, else in ``TMPDIR`` or ``/tmp``."""
    safe_name = "".join(char if char.isalnum() or char in "-_" else "_" for char in node_name)
    socket_folder = folder or os.environ.get("TMPDIR") or "/tmp"
    return Path(socket_folder) / f"oakbridge-{safe_name[:MAX_NAME_CHARACTERS]}.sock"


class UnixListener:
    """A listening Unix socket at a path.  It owns the socket and its file."""

    def __init__(self, path: Path) -> None:
        """Listen at this path; a file that is already there is replaced.

        Raises:
            OSError: The socket can't be created, bound or listened on.
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
        """Return the socket's descriptor, for an event loop to watch."""
        return self._sock.fileno()

    def accept(self) -> AcceptResult:
        """Accept a connection as a non-blocking socket; the status says why there is none."""
        accepted = accept(self._sock, self._failures)
        if accepted.connection is not None:
            accepted.connection.setblocking(False)
        return accepted

    def owns_path(self) -> bool:
        """Return whether the file is still that of this socket."""
        try:
            return self._path.stat().st_ino == self._inode
        except OSError:
            return False

    def close(self) -> None:
        """Stop listening, and remove the file unless another process has replaced it."""
        self._sock.close()
        with contextlib.suppress(OSError):
            if self.owns_path():
                self._path.unlink()


def is_listening(path: Path) -> bool:
    """Return whether a process listens at this path; True, too, if that can't be told now."""
    try:
        with _unix_socket() as sock:
            _connect(sock, path)
    except (ConnectionRefusedError, FileNotFoundError):
        return False
    except OSError:
        return True
    return True


def connect(path: Path) -> socket.socket | None:
    """Connect to the process that listens at this path; None if no process listens.

    Transient errors are retried, which blocks: to connect, for ``CONNECT_TIMEOUT_S`` at most.
    Raises OSError if no socket can be created.
    """
    if not path.exists():
        return None
    sock = retry_resource_errors(_unix_socket, "creating a socket to the predecessor")
    try:
        activity = "connecting to the predecessor"
        retry_resource_errors(lambda: _connect(sock, path), activity, CONNECT_TIMEOUT_S)
    except OSError as error:
        sock.close()
        log.info("no predecessor listens: path=%s error=%s", path.name, error.strerror)
        return None
    return sock


def _connect(sock: socket.socket, path: Path) -> None:
    with _short_address(path) as address:
        sock.connect(address)


def _unix_socket() -> socket.socket:
    return socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)


@contextlib.contextmanager
def _short_address(path: Path) -> Iterator[str]:
    """Yield an address for this path that is within the system's limit on its length."""
    if len(os.fsencode(path)) <= MAX_ADDRESS_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)
