"""Deadlines for what clients have to do, and what they did from one check to the next."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from oakbridge.node.clock import Clock, Timer
from oakbridge.node.socket_state import unacknowledged_bytes

if TYPE_CHECKING:
    from oakbridge.node.client_connection import ClientConnection

# Of a body, in the time between two checks: a slow client sends 64 kB a second.
MIN_BODY_BYTES_PER_CHECK = 64 * 1024
MAX_LINGER_CHECKS = 2  # after which a client that was told to go is cut off, even if it still sends


class DeadlineQueue:
    """Connections by how long they have been in one state, oldest first, with one timer for all.

    All have the same limit, so that the order in which they came is the order in which they are
    due.
    """

    def __init__(
        self,
        clock: Clock,
        limit_us: int,
        on_expired: Callable[[ClientConnection], None],
    ) -> None:
        self._clock = clock
        self._limit_us = limit_us
        self._on_expired = on_expired
        self._since: dict[ClientConnection, int] = {}
        self._timer: Timer | None = None

    def __len__(self) -> int:
        """Return how many connections are here."""
        return len(self._since)

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over the connections, the oldest first."""
        return iter(self._since)

    def add(self, connection: ClientConnection) -> None:
        """Start to count for a connection; for one that is here already the count goes on."""
        self._since.setdefault(connection, self._clock.now())
        if self._timer is None:
            self._arm()

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection, if it is here."""
        self._since.pop(connection, None)

    def oldest_evictable(self, min_age_us: int) -> ClientConnection | None:
        """Return the oldest connection that is owed nothing, if it is old enough."""
        now = self._clock.now()
        for connection, since in self._since.items():
            if since + min_age_us > now:
                return None
            if connection.is_owed_nothing():
                return connection
        return None

    def _arm(self) -> None:
        first = next(iter(self._since.values()), None)
        if first is not None:
            self._timer = self._clock.call_at(first + self._limit_us, self._expire_due)

    def _expire_due(self) -> None:
        self._timer = None
        now = self._clock.now()
        while (connection := next(iter(self._since), None)) is not None:
            if self._since[connection] + self._limit_us > now:
                break
            del self._since[connection]
            self._on_expired(connection)
        if self._timer is None:
            self._arm()

    def stop(self) -> None:
        """Let nothing expire any more."""
        self._since.clear()
        if self._timer is not None:
            self._timer.cancel()


class ClientProgress:
    """What a client has sent and read, from one check of its deadline to the next."""

    __slots__ = (
        "_linger_checks",
        "_received_at_check",
        "_unacknowledged_at_check",
        "bytes_received",
    )

    def __init__(self) -> None:
        self.bytes_received = 0
        self._received_at_check = 0
        self._unacknowledged_at_check: int | None = None  # None: not looked at
        self._linger_checks = 0

    def body_started(self) -> None:
        """Count what is received from now on: the body has a time of its own."""
        self._received_at_check = self.bytes_received

    def writing_resumed(self) -> None:
        """Forget how much was unread: the client has read enough."""
        self._unacknowledged_at_check = None

    def take_received(self) -> int:
        """Return how many bytes were received since the last check, and begin the next."""
        received = self.bytes_received - self._received_at_check
        self._received_at_check = self.bytes_received
        return received

    def has_read(self, transport: asyncio.Transport | None) -> bool:
        """Return whether the client has read responses since the last check."""
        before = self._unacknowledged_at_check
        self._unacknowledged_at_check = unacknowledged_bytes(transport)
        return has_decreased(before, self._unacknowledged_at_check)

    def may_linger(self, transport: asyncio.Transport | None, received: int) -> bool:
        """Return whether a client whose last response was written still reads or sends, and may."""
        self._linger_checks += 1
        has_read = self.has_read(transport)
        return self._linger_checks < MAX_LINGER_CHECKS and (has_read or received > 0)


def has_decreased(before: int | None, now: int) -> bool:
    """Return whether fewer bytes are unread than at the last check, or there was none (None)."""
    return before is None or now < before
