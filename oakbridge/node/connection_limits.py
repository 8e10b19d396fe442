"""Limits the number of client connections; evicts connections by timeout and age."""

from __future__ import annotations

from collections.abc import Callable

from oakbridge.node.client_connection import ClientConnection
from oakbridge.node.clock import Clock
from oakbridge.node.read_deadlines import DeadlineQueue

# Timeout for a client to start its first request, to complete a head, to send the next part of a
# body, to read its responses, and to stop sending after the last response.  A client may take 2 s
# for a head.
CLIENT_TIMEOUT_US = 2_500_000
IDLE_TIMEOUT_US = 15_000_000  # between two requests, unless the connection is evicted earlier
# Minimum idle time before eviction; an idle connection must stay open for at least 2 s.
MIN_IDLE_US = 2_100_000
MIN_SILENCE_US = 20_000  # minimum age before a connection without any request is evicted
# Connections accepted beyond the limit; their requests get 503.  At this number accepting stops.
MAX_EXCESS_CONNECTIONS = 32
# Fraction of the connection limit above which connections are closed after each response.
NEARLY_FULL_FRACTION = 0.75


class ConnectionLimits:
    """The open client connections, and the limit on their number."""

    def __init__(self, clock: Clock, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: set[ClientConnection] = set()
        self.awaiting_client = DeadlineQueue(clock, CLIENT_TIMEOUT_US, ClientConnection.on_deadline)
        self.idle = DeadlineQueue(clock, IDLE_TIMEOUT_US, ClientConnection.close)
        self.on_change: Callable[[], None] | None = None  # called on each add and remove

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self.connections)

    def add(self, connection: ClientConnection) -> None:
        """Add a connection, and start the timeout for its first request."""
        self.connections.add(connection)
        self.awaiting_client.add(connection)
        self._notify()

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection and its deadlines."""
        self.connections.discard(connection)
        self.awaiting_client.remove(connection)
        self.idle.remove(connection)
        self._notify()

    def _notify(self) -> None:
        if self.on_change is not None:
            self.on_change()

    def is_full(self) -> bool:
        """Return whether the connection limit is reached."""
        return len(self.connections) >= self.max_connections

    def is_excess_full(self) -> bool:
        """Return whether no connection may be accepted at all, not even to reject its requests."""
        return len(self.connections) >= self.max_connections + MAX_EXCESS_CONNECTIONS

    def is_nearly_full(self) -> bool:
        """Return whether the limit is nearly reached: each connection then closes after a response.

        Otherwise hundreds of clients that send one request and keep the connection would fill the
        limit: an idle connection must not be evicted before 2 s.
        """
        return len(self.connections) > self.max_connections * NEARLY_FULL_FRACTION

    def may_evict_later(self) -> bool:
        """Return whether any connection is idle or awaits its client, and may become evictable."""
        return bool(self.awaiting_client) or bool(self.idle)

    def evict(self) -> bool:
        """Abort a connection that needs no response; return False if there is none.

        Connections that await their client are evicted before idle ones.  The connection no longer
        counts towards the limit at once; until the event loop has closed its descriptor, that is
        covered by the reserved descriptors.
        """
        connection = self.awaiting_client.oldest_evictable(MIN_SILENCE_US)
        connection = connection or self.idle.oldest_evictable(MIN_IDLE_US)
        if connection is None:
            return False
        self.remove(connection)
        connection.abort()
        return True

    def stop(self) -> None:
        """Stop all deadlines."""
        self.awaiting_client.stop()
        self.idle.stop()
