"""Choose the worker that gets the next connection: the one with the fewest.  No I/O.

Fewest connections, and not in turn, so that few long-lived connections are even too.  A worker's
load report says how many connections it has and how many it had received until then; those that
were dispatched since are added, so that a burst between two reports does not go to one worker.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_UNACKNOWLEDGED = 32  # connections at a worker: one that is frozen gets no more


@dataclass(slots=True)
class WorkerLoad:
    """What the supervisor knows of one worker that takes connections."""

    max_connections: int
    dispatched: int = 0  # connections, since the worker joined
    acknowledged: int = 0  # of these, those that its last load report counts
    reported_connections: int = 0  # open ones, by that report
    last_turn: int = 0  # the balancer's turn in which it got its last connection

    @property
    def unacknowledged(self) -> int:
        """The number of connections that were dispatched and that no report counts yet."""
        return self.dispatched - self.acknowledged

    @property
    def connections(self) -> int:
        """The number of open connections, as far as it can be known here."""
        return self.reported_connections + self.unacknowledged

    @property
    def has_capacity(self) -> bool:
        """Whether the worker can take one more connection."""
        return self.connections < self.max_connections and self.unacknowledged < MAX_UNACKNOWLEDGED


class ConnectionBalancer:
    """The workers that take connections, and what is known of each."""

    def __init__(self) -> None:
        self._loads: dict[int, WorkerLoad] = {}
        self._turn = 0

    def add(self, worker: int, max_connections: int) -> None:
        """Let a worker take connections from now on; it has none yet."""
        self._loads[worker] = WorkerLoad(max_connections)

    def remove(self, worker: int) -> None:
        """Dispatch nothing more to a worker."""
        self._loads.pop(worker, None)

    def report(self, worker: int, open_connections: int, received_connections: int) -> None:
        """Take in a worker's load report.

        It is ignored if the worker is not here any more, or if it counts more connections than were
        dispatched.
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
        """Return the worker that gets the next connection, and count it as dispatched.

        Workers with equally many take turns.  None while no worker has capacity.
        """
        candidates = [worker for worker, load in self._loads.items() if load.has_capacity]
        if not candidates:
            return None
        worker = min(candidates, key=self._rank)
        self._turn += 1
        load = self._loads[worker]
        load.dispatched += 1
        load.last_turn = self._turn
        return worker

    def connection_counts(self) -> dict[int, int]:
        """Return the number of connections of each worker."""
        return {worker: load.connections for worker, load in self._loads.items()}

    def _rank(self, worker: int) -> tuple[int, int, int]:
        load = self._loads[worker]
        return load.connections, load.last_turn, worker
