"""What passes through the node as it comes: request bodies on their way, and how far a caller has read."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from collections import deque
from collections.abc import Callable

WINDOW = 128 * 1024  # bytes of a body that wait to be written before reading stops


class Upload:
    """A body that goes on to a server as it comes, with back-pressure: at most a window and a read wait here."""

    __slots__ = ("length", "complete", "full", "dropped", "_parts", "_waiting", "_changed", "_more")

    def __init__(self, length: int | None, changed: Callable[[], None]) -> None:
        """``length``: as announced; ``changed``: told when it becomes full, or has room again."""
        self.length, self._changed = length, changed
        self.complete = self.full = self.dropped = False
        self._parts: deque[bytes] = deque()
        self._waiting = 0
        self._more: Callable[[], None] | None = None

    def feed(self, data: bytes) -> None:
        """Take what has come."""
        if self.dropped:
            return
        self._parts.append(data)
        self._waiting += len(data)
        self._look()
        if self._more is not None:
            self._more()

    def end(self) -> None:
        """Nothing more comes."""
        self.complete = True
        if self._more is not None and not self.dropped:
            self._more()

    def attach(self, more: Callable[[], None]) -> None:
        """Name who takes it."""
        self._more = more

    def take(self) -> bytes:
        """What has come and was not taken."""
        if not self._parts:
            return b""
        data = self._parts.popleft()
        self._waiting -= len(data)
        self._look()
        return data

    def drop(self) -> None:
        """Nobody takes it any more: what waits here goes, and so does all that comes."""
        self.dropped, self._more = True, None
        self._parts.clear()
        self._waiting = 0
        self._look()

    def _look(self) -> None:
        full = self._waiting > (WINDOW // 2 if self.full else WINDOW)
        if full != self.full:
            self.full = full
            self._changed()


def chunk(data: bytes) -> bytes:
    """A chunk (RFC 9112, 7.1); with no data, the last one and the end of the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def absolute(url: bytes) -> bytes:
    """A target without the scheme and host that its absolute form has (RFC 9112, 3.2.2): path and query."""
    if url[:1] == b"/" or b"://" not in url:
        return url
    rest = url.split(b"://", 1)[1]
    for i, c in enumerate(rest):
        if c in b"/?":
            return rest[i:] if c == ord("/") else b"/" + rest[i:]
    return b"/"


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
