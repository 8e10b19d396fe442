"""The state of a connection in the kernel, which the event loop does not know."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import socket
import struct
import termios
from contextlib import suppress

from oakbridge.node.system_errors import is_resource_error

_TCP_ESTABLISHED = b"\x01"  # the state in TCP_INFO while neither side has closed
_LAST_DATA_RECEIVED = struct.Struct("52xI")  # tcpi_last_data_recv in TCP_INFO, in milliseconds
_US_PER_MS = 1000
_SIOCOUTQNSD = 0x894B  # Linux: the bytes of a TCP socket that were not sent yet, not even once
_LINGER_0_S = struct.pack("ii", 1, 0)  # SO_LINGER: on, with a timeout of 0 s


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes have arrived that the event loop has not read yet.

    Return True, too, if a transient error other than EAGAIN prevents the check.
    """
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError as error:  # nothing has arrived, or the connection broke
        return is_resource_error(error) and error.errno != errno.EAGAIN


def unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes have arrived that the event loop has not read yet; 0 if unknown."""
    return _queued_bytes(sock, termios.FIONREAD)


def unsent_kernel_bytes(sock: socket.socket) -> int:
    """Return how many bytes the kernel has taken and not sent to the peer; 0 if unknown."""
    return _queued_bytes(sock, _SIOCOUTQNSD)


def unacknowledged_kernel_bytes(sock: socket.socket) -> int:
    """Return how many bytes the kernel has taken that the peer has not acknowledged; 0: unknown."""
    return _queued_bytes(sock, termios.TIOCOUTQ)


def _queued_bytes(sock: socket.socket, request: int) -> int:
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), request, b"\0" * 4))[0])
    except (OSError, ValueError):  # the socket is closed
        return 0


def peer_has_closed(sock: socket.socket) -> bool | None:
    """Return whether the peer has closed its side, also behind unread bytes; None if unknown."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) != _TCP_ESTABLISHED
    except OSError:
        return None


def last_received_ago_us(sock: socket.socket) -> int:
    """Return how long ago the kernel received the last bytes, in microseconds; 0 if unknown.

    They may have been in the kernel's buffer since then: in a connection that was accepted late, or
    while the process was paused.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
    except OSError:
        return 0
    if len(info) < _LAST_DATA_RECEIVED.size:
        return 0
    return int(_LAST_DATA_RECEIVED.unpack(info)[0]) * _US_PER_MS


def reset_on_close(sock: socket.socket) -> None:
    """Have the close of a connection reset it, so that its peer does not see a regular close."""
    with suppress(OSError):  # the connection is closed already
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_0_S)


def unacknowledged_bytes(transport: asyncio.Transport | None) -> int:
    """Return how many written bytes the peer has not acknowledged (buffered, and SIOCOUTQ)."""
    if transport is None:
        return 0
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    return buffered if sock is None else buffered + unacknowledged_kernel_bytes(sock)
