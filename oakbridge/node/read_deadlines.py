"""Callers by how long they have been in one state."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from oakbridge.node.clock import Clock, Timer

if TYPE_CHECKING:
    from oakbridge.node.client_connection import Caller


class Ages:
    """Callers by how long they have been in one state, oldest first, with one timer for all of them.

    All in here have the same limit, so that the order in which they came is the order in which they are due.
    """

    def __init__(self, clock: Clock, limit: int, expire: Callable[[Caller], None]) -> None:
        self.clock, self.limit, self.expire = clock, limit, expire
        self.since: dict[Caller, int] = {}
        self.timer: Timer | None = None

    def add(self, caller: Caller) -> None:
        """Count from now; one that is in here already goes on counting from then."""
        self.since.setdefault(caller, self.clock.now())
        if self.timer is None:
            self._arm()

    def remove(self, caller: Caller) -> None:
        """Forget one, if it is in here."""
        self.since.pop(caller, None)

    def oldest(self, age: int) -> Caller | None:
        """The one that is owed nothing and has been in here longest, if that is as long."""
        now = self.clock.now()
        for caller, since in self.since.items():
            if since + age > now:
                return None
            if not caller.owed() and not caller.unread_bytes():  # a request that is not read yet is owed, too
                return caller
        return None

    def _arm(self) -> None:
        first = next(iter(self.since.values()), None)
        if first is not None:
            self.timer = self.clock.call_at(first + self.limit, self._due)

    def _due(self) -> None:
        self.timer = None
        now = self.clock.now()
        while (caller := next(iter(self.since), None)) is not None and self.since[caller] + self.limit <= now:
            del self.since[caller]
            self.expire(caller)
        if self.timer is None:
            self._arm()

    def stop(self) -> None:
        """Let nothing come due any more."""
        self.since.clear()
        if self.timer is not None:
            self.timer.cancel()
