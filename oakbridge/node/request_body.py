"""Request bodies: streamed ones, and the memory that buffered ones may take."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

STREAM_WINDOW_BYTES = 128 * 1024  # of a streamed body that wait to be written before reading pauses
BODY_BUFFERS_PART = 8  # of the memory of the node, that buffered bodies may take
DEFAULT_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024


@dataclass(slots=True)
class BodyBuffers:
    """Bytes of bodies that are buffered over all connections, and how many may be."""

    used: int = 0
    limit: int = DEFAULT_BUFFER_LIMIT_BYTES


class StreamedBody:
    """A body that is forwarded while it is received; at most a window and a read wait here."""

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
        """``length``: as announced; ``on_full_changed``: called when ``full`` changes."""
        self.length = length
        self.complete = False
        self.full = False
        self.discarded = False
        self.buffered_bytes = 0
        self._chunks: deque[bytes] = deque()
        self._on_full_changed = on_full_changed
        self._on_data: Callable[[], None] | None = None

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
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
        """Have the reader called whenever there is more to take, or the body is complete."""
        self._on_data = on_data

    def take(self) -> bytes:
        """Remove and return the oldest received bytes; empty if there are none."""
        if not self._chunks:
            return b""
        data = self._chunks.popleft()
        self.buffered_bytes -= len(data)
        self._update_full()
        return data

    def discard(self) -> None:
        """Drop what is buffered and all that is still to come: nobody reads it any more."""
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
