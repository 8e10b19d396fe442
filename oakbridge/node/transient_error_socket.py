"""A socket whose reads and writes can be short of memory or buffers for a moment.

An event loop's transport takes every failure but "would block" for the end of the connection, and
drops the response that it was to write.  recv(2) and send(2) also document ENOMEM and ENOBUFS, which
pass: they are told as "would block" here, and the loop, which still finds the socket ready, calls
again.
"""

from __future__ import annotations

import socket
from typing import Any

from oakbridge.node.system_errors import is_resource_error


class TransientErrorSocket(socket.socket):
    """A socket whose passing failures are told as BlockingIOError."""

    @classmethod
    def from_socket(cls, sock: socket.socket) -> TransientErrorSocket:
        """Return the same connection as a socket of this class; ``sock`` is closed."""
        return cls(sock.family, sock.type, sock.proto, sock.detach())

    def recv_into(self, *given: Any) -> int:
        """Read, as ``socket.recv_into`` does."""
        try:
            return super().recv_into(*given)
        except OSError as error:
            raise _as_would_block(error) from None

    def recv(self, *given: Any) -> bytes:
        """Read, as ``socket.recv`` does."""
        try:
            return super().recv(*given)
        except OSError as error:
            raise _as_would_block(error) from None

    def send(self, *given: Any) -> int:
        """Write, as ``socket.send`` does."""
        try:
            return super().send(*given)
        except OSError as error:
            raise _as_would_block(error) from None


def _as_would_block(error: OSError) -> OSError:
    return BlockingIOError(error.errno, error.strerror) if is_resource_error(error) else error
