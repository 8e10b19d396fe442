"""One simulated server: its limits, its state and its attempts."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import NamedTuple


class AttemptKey(NamedTuple):
    """Identifies an attempt in the whole fleet."""

    replica: int
    request_id: int
    attempt: int


class Visit(NamedTuple):
    """The time for which an attempt was at a server."""

    server_index: int
    arrived_us: int
    left_us: int


@dataclass
class SimulatedServer:
    """Workers that process one attempt each, and a bounded queue; a hung one sends no response."""

    name: str
    started_at_us: int = 0  # start time reported by discovery; 0: warm from the start
    workers: int = 4
    queue_limit: int = 8
    connection_limit: int = 1000
    is_hung: bool = False
    is_down: bool = False
    site: str = ""
    unannounced_start_us: int = -1  # time of a restart that discovery does not report; -1: none
    running: set[AttemptKey] = field(default_factory=set)
    waiting: deque[AttemptKey] = field(default_factory=deque)
    connections: Counter[int] = field(default_factory=Counter)  # by replica
    sent_at_us: list[int] = field(default_factory=list)
    arrived_us: dict[AttemptKey, int] = field(default_factory=dict)  # arrival time of each attempt

    def holds(self, key: AttemptKey) -> bool:
        """Return whether the attempt is running or waiting at this server."""
        return key in self.running or key in self.waiting

    def accepts(self, replica: int) -> bool:
        """Return whether the queue and the connection limit allow one more attempt of a replica."""
        return len(self.waiting) < self.queue_limit and not self._connections_exceeded(replica)

    def _connections_exceeded(self, replica: int) -> bool:
        """Return whether one more attempt needs a connection that exceeds the limit.

        A replica has one connection for each attempt in flight, and keeps at least one open.
        """
        in_flight = self.in_flight_of(replica)
        open_connections = sum(max(1, count) for count in self.connections.values())
        needs_connection = in_flight + 1 > self.connections[replica]
        return needs_connection and open_connections + 1 > self.connection_limit

    def in_flight_of(self, replica: int) -> int:
        """Return how many of a replica's attempts are running or waiting at this server."""
        return sum(1 for key in (*self.running, *self.waiting) if key.replica == replica)

    def enqueue(self, key: AttemptKey, now: int) -> None:
        """Append an attempt to the queue; open a connection if none of its replica's is idle."""
        needed = self.in_flight_of(key.replica) + 1
        self.connections[key.replica] = max(self.connections[key.replica], needed)
        self.waiting.append(key)
        self.arrived_us[key] = now

    def remove(self, key: AttemptKey) -> None:
        """Remove a running or waiting attempt."""
        self.running.discard(key)
        if key in self.waiting:
            self.waiting.remove(key)

    def speed(self, at_us: int, slow_start_minimum: float, slow_start_window_us: int) -> float:
        """Return the speed at a time as a fraction of that of a warm server.

        It rises linearly from the minimum to 1 within the slow-start window.
        """
        started_us = self.started_at_us or self.unannounced_start_us
        if started_us <= 0:
            return 1.0
        progress = (at_us - started_us) / slow_start_window_us
        return min(1.0, slow_start_minimum + (1 - slow_start_minimum) * progress)
