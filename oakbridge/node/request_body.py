"""Streamed request bodies, and the memory limit for buffered ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# Bytes of a streamed body that may wait to be written to the server before reading pauses.
STREAM_WINDOW_BYTES = 128 * 1024
BODY_BUFFERS_MEMORY_DIVISOR = 8  # buffered bodies may take an eighth of the node's memory
DEFAULT_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class BodyBuffers:
    """The memory that buffered bodies take over all connections, and its limit."""

    used_bytes: int = 0
    limit_bytes: int = DEFAULT_BUFFER_LIMIT_BYTES


class StreamedBody:
    """A body that is forwarded while it is received.

    It buffers at most :data:`STREAM_WINDOW_BYTES` and the bytes of one read.
    """

    __slots__ = (
        "_chunks",
        "_on_data",
        "_on_full_changed",
        "buffered_bytes",
        "complete",
        "discarded",
        "full",
        "length",
    )

    def __init__(self, length: int | None, on_full_changed: Callable[[], None]) -> None:
        """``length``: from Content-Length, in bytes; None if the body is chunked.

        ``on_full_changed``: called when ``full`` changes.
        """
        self.length = length
        self.complete = False
        self.full = False
        self.discarded = False
        self.buffered_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._on_full_changed = on_full_changed
        self._on_data: Callable[[], None] | None = None

    def feed(self, data: bytes) -> None:
        """Append received bytes; drop them if the body is discarded."""
        if self.discarded:
            return
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        self._update_full()
        if self._on_data is not None:
            self._on_data()

    def finish(self) -> None:
        """Mark the body complete."""
        self.complete = True
        if self._on_data is not None and not self.discarded:
            self._on_data()

    def attach(self, on_data: Callable[[], None]) -> None:
        """Set the reader's callback: called when more bytes arrive and when the body is complete."""
        self._on_data = on_data

    def take(self) -> bytes:
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
        threshold = STREAM_WINDOW_BYTES // 2 if self.full else STREAM_WINDOW_BYTES
        full = self.buffered_bytes > threshold
        if full != self.full:
            self.full = full
            self._on_full_changed()
