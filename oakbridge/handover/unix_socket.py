"""The Unix socket by which the two processes of a node find one another."""

from __future__ import annotations

import contextlib
import logging
import os
import socket
from collections.abc import Iterator
from pathlib import Path

log = logging.getLogger(__name__)


def socket_path(name: str, folder: str | None = None) -> Path:
    """Where the processes of a node find one another."""
    safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:64]
    return Path(folder or os.environ.get("TMPDIR") or "/tmp") / f"oakbridge-{safe}.sock"


@contextlib.contextmanager
def addressable(path: Path) -> Iterator[str]:
    """A name under which a socket in a long folder can be bound: a Unix address holds 107 bytes."""
    if len(os.fsencode(path)) <= 100:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def listen(path: Path) -> socket.socket:
    """A Unix socket that listens under this name, in place of whatever has it.  Raises OSError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    try:
        with contextlib.suppress(FileNotFoundError):
            path.unlink()
        with addressable(path) as name:
            sock.bind(name)
        path.chmod(0o600)
        sock.listen(4)
    except OSError:
        sock.close()
        raise
    return sock


def connect(path: Path) -> socket.socket | None:
    """A connection to the process that listens there; None if there is none: no file, or one that a process left."""
    if not path.exists():
        return None
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET | socket.SOCK_NONBLOCK)
    try:
        with addressable(path) as name:
            sock.connect(name)
    except OSError as e:
        sock.close()
        log.info("nobody hands over at %s: %s", path.name, e.strerror)
        return None
    return sock
