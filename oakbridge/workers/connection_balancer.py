"""Choose the worker for the next connection: the one with the fewest connections.  No I/O.

Fewest connections rather than round-robin spreads a small number of long-lived connections evenly
too.  A worker's load report says how many connections it has open and how many it has received so
far.  Connections dispatched after that are added, so that a burst between two reports does not go
to one worker.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_UNACKNOWLEDGED = 32  # connections per worker; a frozen worker gets no more than these


@dataclass(slots=True)
class WorkerLoad:
    """The load of one worker that takes connections, as far as the supervisor knows it."""

    max_connections: int
    dispatched: int = 0  # connections sent to the worker since it was added
    acknowledged: int = 0  # dispatched connections that its last load report counts as received
    reported_connections: int = 0  # open connections in its last load report
    last_dispatch_number: int = 0  # the balancer's number of the last dispatch to this worker

    @property
    def unacknowledged(self) -> int:
        """The number of dispatched connections that no load report counts yet."""
        return self.dispatched - self.acknowledged

    @property
    def connections(self) -> int:
        """The estimated number of open connections: the reported and the unacknowledged ones."""
        return self.reported_connections + self.unacknowledged

    @property
    def has_capacity(self) -> bool:
        """Whether the worker can take one more connection."""
        return self.connections < self.max_connections and self.unacknowledged < MAX_UNACKNOWLEDGED


class ConnectionBalancer:
    """Chooses among the workers that take connections, by the load of each."""

    def __init__(self) -> None:
        self._loads: dict[int, WorkerLoad] = {}
        self._dispatch_count = 0

    def add(self, worker: int, max_connections: int) -> None:
        """Dispatch connections to a worker from now on; it has none yet."""
        self._loads[worker] = WorkerLoad(max_connections)

    def remove(self, worker: int) -> None:
        """Dispatch no more connections to a worker."""
        self._loads.pop(worker, None)

    def report(self, worker: int, open_connections: int, received_connections: int) -> None:
        """Apply a worker's load report.

        A report is ignored if its worker was removed, if it is older than the last one, or if it
        counts more connections than were dispatched.
        """
        load = self._loads.get(worker)
        if load is None or open_connections < 0:
            return
        if load.acknowledged <= received_connections <= load.dispatched:
            load.reported_connections = open_connections
            load.acknowledged = received_connections

    def has_capacity(self) -> bool:
        """Return whether any worker can take one more connection."""
        return any(load.has_capacity for load in self._loads.values())

    def choose(self) -> int | None:
        """Return the worker for the next connection, and count the connection as dispatched.

        Of workers with equally many connections, the one whose last dispatch is oldest is chosen.
        Returns None if no worker has capacity.
        """
        candidates = [worker for worker, load in self._loads.items() if load.has_capacity]
        if not candidates:
            return None
        worker = min(candidates, key=self._rank)
        self._dispatch_count += 1
        load = self._loads[worker]
        load.dispatched += 1
        load.last_dispatch_number = self._dispatch_count
        return worker

    def connection_counts(self) -> dict[int, int]:
        """Return the estimated number of open connections of each worker."""
        return {worker: load.connections for worker, load in self._loads.items()}

    def _rank(self, worker: int) -> tuple[int, int, int]:
        load = self._loads[worker]
        return load.connections, load.last_dispatch_number, worker
