"""What the kernel knows of a connection and the event loop does not."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

_TCP_ESTABLISHED = b"\x01"  # the state in TCP_INFO while neither side has ended


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether bytes have arrived that the event loop has not read yet."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:  # nothing has arrived, or the connection broke
        return False


def peer_has_closed(sock: socket.socket) -> bool | None:
    """Return whether the peer has ended its side, also behind unread bytes; None if unknown."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) != _TCP_ESTABLISHED
    except OSError:
        return None


def unacknowledged_bytes(transport: asyncio.Transport | None) -> int:
    """Return how many written bytes the peer has not taken, here and in the kernel (SIOCOUTQ)."""
    if transport is None:
        return 0
    buffered = transport.get_write_buffer_size()
    try:
        sock = transport.get_extra_info("socket")
        in_kernel = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except (OSError, ValueError, AttributeError):  # a socket that can't tell
        return buffered
    return buffered + int(struct.unpack("i", in_kernel)[0])
