"""Deadlines for clients' reads and writes, and their progress between two checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from oakbridge.node.clock import Clock, Timer
from oakbridge.node.socket_state import unacknowledged_bytes

if TYPE_CHECKING:
    from oakbridge.node.client_connection import ClientConnection

# Bytes of a body that a client must send between two checks; a slow client sends 64 kB a second.
MIN_BODY_BYTES_PER_CHECK = 64 * 1024
# Checks after which a lingering connection is aborted, even if the client is still sending.
MAX_LINGER_CHECKS = 2


class DeadlineQueue:
    """A queue of connections with the same timeout, oldest first, with one timer for all of them.

    As the timeout is the same for all, deadlines expire in the order in which connections were
    added.
    """

    def __init__(
        self,
        clock: Clock,
        timeout_us: int,
        on_expired: Callable[[ClientConnection], None],
    ) -> None:
        self._clock = clock
        self._timeout_us = timeout_us
        self._on_expired = on_expired
        self._since: dict[ClientConnection, int] = {}  # microseconds of the node's clock
        self._timer: Timer | None = None

    def __len__(self) -> int:
        """Return the number of connections in the queue."""
        return len(self._since)

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over the connections, oldest first."""
        return iter(self._since)

    def add(self, connection: ClientConnection) -> None:
        """Start the timeout of a connection; one that is in the queue keeps its deadline."""
        self._since.setdefault(connection, self._clock.now())
        if self._timer is None:
            self._set_timer()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection, if it is in the queue."""
        self._since.pop(connection, None)

    def oldest_evictable(self, min_age_us: int) -> ClientConnection | None:
        """Return the oldest connection that needs no response and is at least ``min_age_us`` old."""
        now = self._clock.now()
        for connection, since in self._since.items():
            if since + min_age_us > now:
                return None
            if connection.needs_no_response():
                return connection
        return None

    def _set_timer(self) -> None:
        oldest = next(iter(self._since.values()), None)
        if oldest is not None:
            self._timer = self._clock.call_at(oldest + self._timeout_us, self._expire_due)

    def _expire_due(self) -> None:
        self._timer = None
        now = self._clock.now()
        while (connection := next(iter(self._since), None)) is not None:
            if self._since[connection] + self._timeout_us > now:
                break
            del self._since[connection]
            self._on_expired(connection)
        if self._timer is None:
            self._set_timer()

    def stop(self) -> None:
        """Remove all connections and cancel the timer."""
        self._since.clear()
        if self._timer is not None:
            self._timer.cancel()


class ClientProgress:
    """Bytes that a client has sent and read between two checks of its deadline."""

    __slots__ = (
        "_burst_began_at_byte",
        "_burst_began_at_request",
        "_linger_checks",
        "_received_at_check",
        "_unacknowledged_at_check",
        "bytes_received",
        "last_read_at",
        "request_began_at",
    )

    def __init__(self) -> None:
        self.bytes_received = 0
        self.request_began_at = 0  # when the first byte of the incomplete request was read
        self.last_read_at = 0
        self._burst_began_at_byte = 0
        self._burst_began_at_request = 0
        self._received_at_check = 0
        self._unacknowledged_at_check: int | None = None  # None: not checked yet
        self._linger_checks = 0

    def burst_started(self, nbytes: int, completed_requests: int) -> None:
        """Note that a read of ``nbytes`` begins a burst of requests, as none is pending."""
        self._burst_began_at_byte = self.bytes_received - nbytes
        self._burst_began_at_request = completed_requests

    def mean_request_bytes(self, completed_requests: int) -> int:
        """Return the mean size of the requests of the current burst; at least 1."""
        requests = max(1, completed_requests - self._burst_began_at_request)
        return max(1, (self.bytes_received - self._burst_began_at_byte) // requests)

    def body_started(self) -> None:
        """Start a new interval when a body begins, as the body has a timeout of its own."""
        self._received_at_check = self.bytes_received

    def writing_resumed(self) -> None:
        """Reset the number of unacknowledged bytes, after the client has read enough."""
        self._unacknowledged_at_check = None

    def take_received(self) -> int:
        """Return the bytes received since the last check, and start a new interval."""
        received = self.bytes_received - self._received_at_check
        self._received_at_check = self.bytes_received
        return received

    def has_read(self, transport: asyncio.Transport | None) -> bool:
        """Return whether the client has read responses since the last check."""
        before = self._unacknowledged_at_check
        self._unacknowledged_at_check = unacknowledged_bytes(transport)
        return has_decreased(before, self._unacknowledged_at_check)

    def may_linger(self, transport: asyncio.Transport | None, received: int) -> bool:
        """Return whether a connection may linger: its client reads or sends, and checks are left.

        ``received``: bytes received since the last check.
        """
        self._linger_checks += 1
        has_read = self.has_read(transport)
        return self._linger_checks < MAX_LINGER_CHECKS and (has_read or received > 0)


def has_decreased(before: int | None, now: int) -> bool:
    """Return whether the number of unread bytes has decreased; True if there was no check before."""
    return before is None or now < before
