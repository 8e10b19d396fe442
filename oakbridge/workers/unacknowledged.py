"""The connections that a worker was sent and has not acknowledged.  No I/O."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT")


class UnacknowledgedConnections(Generic[ConnectionT]):
    """The connections that one worker's process was sent and has never touched, oldest first.

    A worker acknowledges a connection before it reads a byte of it.  What is left when the worker
    has died can therefore go to another: no part of a request is lost, and none was begun twice.
    """

    def __init__(self) -> None:
        self._connections: deque[ConnectionT] = deque()
        self._acknowledged = 0

    def __len__(self) -> int:
        """Return the number of connections that are not acknowledged."""
        return len(self._connections)

    def add(self, connection: ConnectionT) -> None:
        """Note that a connection was sent."""
        self._connections.append(connection)

    def acknowledge(self, received_connections: int) -> list[ConnectionT]:
        """Remove and return the connections that the worker answers for from now on.

        ``received_connections``: all that it has received since its start, by its load report.  An
        old report acknowledges nothing, and one of more than was sent no more than that.
        """
        newly_received = max(0, received_connections - self._acknowledged)
        count = min(newly_received, len(self._connections))
        self._acknowledged += count
        return [self._connections.popleft() for _ in range(count)]

    def take_all(self) -> list[ConnectionT]:
        """Remove and return all connections."""
        connections = list(self._connections)
        self._connections.clear()
        return connections
