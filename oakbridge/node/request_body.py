"""Request bodies that go on to a server as they come, with back-pressure."""

from __future__ import annotations

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
