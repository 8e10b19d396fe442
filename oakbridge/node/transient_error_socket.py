"""A socket that reports transient errors of reads and writes as "would block".

An event loop's transport takes every error but "would block" for the close of the connection, and
drops the response that it was to write.  recv(2) and send(2) may also fail with ENOMEM and ENOBUFS,
which are transient.  This socket reports them as "would block"; the event loop still finds the
socket ready, and calls again.
"""

from __future__ import annotations

import socket
from typing import Any

from oakbridge.node.system_errors import is_resource_error


class TransientErrorSocket(socket.socket):
    """A socket that raises BlockingIOError for transient errors."""

    @classmethod
    def from_socket(cls, sock: socket.socket) -> TransientErrorSocket:
        """Return the same connection as a socket of this class; ``sock`` is detached from it."""
        return cls(sock.family, sock.type, sock.proto, sock.detach())

    def recv_into(self, *arguments: Any) -> int:
        """Read, as ``socket.recv_into`` does."""
        try:
            return super().recv_into(*arguments)
        except OSError as error:
            raise _as_would_block(error) from None

    def recv(self, *arguments: Any) -> bytes:
        """Read, as ``socket.recv`` does."""
        try:
            return super().recv(*arguments)
        except OSError as error:
            raise _as_would_block(error) from None

    def send(self, *arguments: Any) -> int:
        """Write, as ``socket.send`` does."""
        try:
            return super().send(*arguments)
        except OSError as error:
            raise _as_would_block(error) from None


def _as_would_block(error: OSError) -> OSError:
    return BlockingIOError(error.errno, error.strerror) if is_resource_error(error) else error
