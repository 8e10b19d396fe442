"""How many connections clients may have, for how long, and which is evicted first."""

from __future__ import annotations

from collections.abc import Callable

from oakbridge.node.client_connection import ClientConnection
from oakbridge.node.clock import Clock
from oakbridge.node.read_deadlines import DeadlineQueue

# How long a client has for its first request, for a head that has begun, for the next part of a
# body, for reading its responses, and for ending what it still sends after the last of them.
# A head may take 2 s.
CLIENT_TIMEOUT_US = 2_500_000
IDLE_TIMEOUT_US = 15_000_000  # between requests, while there is space
MIN_IDLE_US = 2_100_000  # before an idle connection may be evicted; it may not be closed before 2 s
MIN_SILENCE_US = 20_000  # before a client that was accepted and says nothing may be
MAX_EXCESS_CONNECTIONS = 32  # beyond the limit: they are told 503, then accepting stops
NEARLY_FULL = 0.75  # of the limit: from there on connections are not kept


class ConnectionLimits:
    """The clients' connections, within a limit that is kept by eviction."""

    def __init__(self, clock: Clock, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        self.awaiting_client = DeadlineQueue(clock, CLIENT_TIMEOUT_US, ClientConnection.on_deadline)
        self.idle = DeadlineQueue(clock, IDLE_TIMEOUT_US, ClientConnection.close)
        self.on_change: Callable[[], None] | None = None  # called when a connection comes or goes

    def __len__(self) -> int:
        """Return how many connections there are."""
        return len(self.connections)

    def add(self, connection: ClientConnection) -> None:
        """Count a connection, whose client has to begin a request."""
        self.connections.add(connection)
        self.awaiting_client.add(connection)
        self._notify()

    def remove(self, connection: ClientConnection) -> None:
        """Count a connection no more."""
        self.connections.discard(connection)
        self.awaiting_client.remove(connection)
        self.idle.remove(connection)
        self._notify()

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def is_full(self) -> bool:
        """Return whether the limit is reached."""
        return len(self.connections) >= self.max_connections

    def is_excess_full(self) -> bool:
        """Return whether no connection may be accepted at all, not even to be rejected."""
        return len(self.connections) >= self.max_connections + MAX_EXCESS_CONNECTIONS

    def is_nearly_full(self) -> bool:
        """Return whether places run short: then each response is the last on its connection.

        Guards against hundreds that ask once and stay: none may be evicted before it has been idle
        for 2 s.
        """
        return len(self.connections) > self.max_connections * NEARLY_FULL

    def may_evict_later(self) -> bool:
        """Return whether any connection waits for its client or is idle."""
        return bool(self.awaiting_client) or bool(self.idle)

    def evict(self) -> bool:
        """Abort a connection that is owed nothing; one that waits for its client first.

        Its place is free at once; until the loop has closed it, its descriptor is one of the
        reserve.
        """
        connection = self.awaiting_client.oldest_evictable(MIN_SILENCE_US)
        connection = connection or self.idle.oldest_evictable(MIN_IDLE_US)
        if connection is None:
            return False
        self.remove(connection)
        connection.abort()
        return True

    def stop(self) -> None:
        """Let no deadline expire any more."""
        self.awaiting_client.stop()
        self.idle.stop()
