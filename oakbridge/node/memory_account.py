"""The memory that connections, requests and responses hold, and its limit for the whole node.

Each holder has a :class:`MemoryShare` of the node's :class:`MemoryAccount`, and states how many
bytes it holds after each change.  The account answers what may still be read:

- Short of memory, bodies are streamed instead of buffered, and reads and windows are small.
- Above the limit for requests, new requests are rejected.
- Above the limit, bodies that are not streamed are rejected, and a stream is read only after its
  server has taken what was read before.
"""

from __future__ import annotations

from collections.abc import Callable

BYTES_PER_MB = 1024 * 1024
# Memory of a process that holds nothing: the interpreter, the modules and a short endpoint list.
PROCESS_BYTES = 28 * BYTES_PER_MB
# Fraction of the other memory that may be held; the rest is for copies that last for one callback,
# and for what the allocator can't reuse.
USABLE_FRACTION = 0.8
MIN_LIMIT_BYTES = 2 * BYTES_PER_MB
DEFAULT_LIMIT_BYTES = 512 * BYTES_PER_MB  # of a node without a configured memory limit
SHORT_FRACTION = 0.8  # of the limit
REQUESTS_FRACTION = 0.9  # of the limit; the rest is for the responses to accepted requests
SHORT_DIVISOR = 8  # sizes of reads and windows are divided by this when memory is short
SMALL_READ_BYTES = 8 * 1024

# Memory of the objects that belong to one connection, request or header, without their bytes.
CONNECTION_BYTES = 4 * 1024
REQUEST_BYTES = 2 * 1024
REJECTED_REQUEST_BYTES = 512  # without headers and body
HEADER_BYTES = 150


def memory_limit(memory_mb: int, process_bytes: int = PROCESS_BYTES, other_bytes: int = 0) -> int:
    """Return how many bytes may be held by a node that may use ``memory_mb``; 0: not configured.

    ``process_bytes``: what this process takes when it holds nothing.  ``other_bytes``: what another
    process of the same node takes.
    """
    if not memory_mb:
        return DEFAULT_LIMIT_BYTES
    usable = memory_mb * BYTES_PER_MB - max(PROCESS_BYTES, process_bytes) - other_bytes
    return max(MIN_LIMIT_BYTES, int(usable * USABLE_FRACTION))


class MemoryAccount:
    """The sum of all shares, and its limit, in bytes."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.held_bytes = 0
        # Called when more than ``watched_bytes`` are held; set by the MemoryMonitor.
        self.on_watched: Callable[[], None] = lambda: None
        self.watched_bytes = limit_bytes
        self.set_limit(limit_bytes)

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit."""
        self.limit_bytes = limit_bytes
        self._short_bytes = int(limit_bytes * SHORT_FRACTION)
        self._requests_bytes = int(limit_bytes * REQUESTS_FRACTION)

    def excess_bytes(self) -> int:
        """Return how many bytes must be freed so that memory is not short; 0 if it is not."""
        return max(0, self.held_bytes - self._short_bytes)

    def is_short(self) -> bool:
        """Return whether bodies are streamed instead of buffered, and read in small parts."""
        return self.held_bytes >= self._short_bytes

    def rejects_requests(self) -> bool:
        """Return whether new requests, and bodies that are buffered, are rejected."""
        return self.held_bytes >= self._requests_bytes

    def is_exhausted(self) -> bool:
        """Return whether the limit is reached."""
        return self.held_bytes >= self.limit_bytes

    def scaled(self, size: int) -> int:
        """Return the size of a read or window; a fraction of it when memory is short."""
        return size // SHORT_DIVISOR if self.is_short() else size

    def window(self, size: int) -> int:
        """Return how many bytes of a stream may wait for its reader before it is read further."""
        return 0 if self.is_exhausted() else self.scaled(size)


class MemoryShare:
    """The bytes that one holder has in an account."""

    __slots__ = ("_account", "held_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.held_bytes = 0

    def set(self, held_bytes: int) -> None:
        """State how many bytes the holder has now; 0 when it ends."""
        account = self._account
        account.held_bytes += held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        if account.held_bytes > account.watched_bytes:
            account.on_watched()
