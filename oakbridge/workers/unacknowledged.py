"""The connections that were sent to a worker and that it has not acknowledged.  No I/O."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT")


class UnacknowledgedConnections(Generic[ConnectionT]):
    """The connections sent to one worker process and not acknowledged, oldest first.

    A worker acknowledges a connection before it reads a byte from it.  Connections that are left
    when the worker has exited can therefore go to another worker: no part of a request is lost, and
    no request is begun twice.
    """

    def __init__(self) -> None:
        self._connections: deque[ConnectionT] = deque()
        self._acknowledged_count = 0

    def __len__(self) -> int:
        """Return the number of unacknowledged connections."""
        return len(self._connections)

    def add(self, connection: ConnectionT) -> None:
        """Add a connection that was sent."""
        self._connections.append(connection)

    def acknowledge(self, received_connections: int) -> list[ConnectionT]:
        """Remove and return the connections that a load report newly acknowledges.

        ``received_connections``: the number of connections received since the worker's start, from
        its load report.  An old report acknowledges nothing.  A report of more connections than
        were sent acknowledges those that were sent.
        """
        newly_received = max(0, received_connections - self._acknowledged_count)
        count = min(newly_received, len(self._connections))
        self._acknowledged_count += count
        return [self._connections.popleft() for _ in range(count)]

    def take_all(self) -> list[ConnectionT]:
        """Remove and return all connections."""
        connections = list(self._connections)
        self._connections.clear()
        return connections
