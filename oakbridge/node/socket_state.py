"""What the kernel knows of a connection: how far its peer has read."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios


def outgoing(transport: asyncio.Transport | None) -> int:
    """Bytes that were written to a caller and that it has not taken: here and in the kernel (SIOCOUTQ)."""
    if transport is None:
        return 0
    waiting = transport.get_write_buffer_size()
    try:
        sock = transport.get_extra_info("socket")
        return waiting + int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0])
    except (OSError, ValueError, AttributeError):  # a socket that can't tell
        return waiting


def progressed(before: int, now: int) -> bool:
    """Whether a caller has read since the last look, or this is the first (``before`` is below 0)."""
    return before < 0 or now < before
