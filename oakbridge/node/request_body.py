"""Request bodies that are forwarded while they are received."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from oakbridge.node.memory_account import MemoryAccount, MemoryShare

# Bytes of a streamed body that may wait to be written to the server before reading pauses.
STREAM_WINDOW_BYTES = 128 * 1024
MAX_JOINED_BYTES = 8 * 1024  # parts of a body are joined up to this length


class StreamedBody:
    """A body that is forwarded while it is received.

    It buffers at most :data:`STREAM_WINDOW_BYTES`, less if memory is short, and the bytes of one
    read.
    """

    __slots__ = (
        "_account",
        "_chunks",
        "_on_data",
        "_on_full_changed",
        "_share",
        "buffered_bytes",
        "complete",
        "discarded",
        "full",
        "length",
    )

    def __init__(
        self, length: int | None, account: MemoryAccount, on_full_changed: Callable[[], None]
    ) -> None:
        """``length``: from Content-Length, in bytes; None if the body is chunked.

        ``on_full_changed``: called when ``full`` changes.
        """
        self._account = account
        self._share = MemoryShare(account)
        self.length = length
        self.complete = False
        self.full = False
        self.discarded = False
        self.buffered_bytes = 0
        self._chunks: deque[bytes | bytearray] = deque()
        self._on_full_changed = on_full_changed
        self._on_data: Callable[[], None] | None = None

    def feed(self, data: bytes) -> None:
        """Append received bytes; drop them if the body is discarded.

        Short parts are joined: the objects of a body in tiny chunks would take much more memory
        than its bytes.
        """
        if self.discarded:
            return
        last = self._chunks[-1] if self._chunks else None
        if isinstance(last, bytearray) and len(last) + len(data) <= MAX_JOINED_BYTES:
            last += data
        else:
            self._chunks.append(data if len(data) >= MAX_JOINED_BYTES else bytearray(data))
        self.buffered_bytes += len(data)
        self._update_full()

    def notify_reader(self) -> None:
        """Tell the reader that bytes were appended; called once for all parts of one read."""
        if self._on_data is not None and self._chunks:
            self._on_data()

    def finish(self) -> None:
        """Mark the body complete."""
        self.complete = True
        if self._on_data is not None and not self.discarded:
            self._on_data()

    def attach(self, on_data: Callable[[], None]) -> None:
        """Set the reader's callback: called when more bytes arrive and when the body is complete."""
        self._on_data = on_data

    def take(self) -> bytes | bytearray:
        """Remove and return the oldest buffered bytes; b"" if none are buffered."""
        if not self._chunks:
            return b""
        data = self._chunks.popleft()
        self.buffered_bytes -= len(data)
        self._update_full()
        return data

    def discard(self) -> None:
        """Drop the buffered bytes and all that arrive later, as no reader is left."""
        self.discarded = True
        self._on_data = None
        self._chunks.clear()
        self.buffered_bytes = 0
        self._update_full()

    def _update_full(self) -> None:
        self._share.set(self.buffered_bytes)
        window = self._account.window(STREAM_WINDOW_BYTES)
        threshold = window // 2 if self.full else window
        full = self.buffered_bytes > threshold
        if full != self.full:
            self.full = full
            self._on_full_changed()
