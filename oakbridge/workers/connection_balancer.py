"""Which worker gets the next connection: the one with the fewest, so that few and long-lived ones are even too.  Pure.

A worker tells how many connections it has and how many it has been handed until then; what was handed to it since
is added, so that a burst between two accounts does not go to one worker.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

UNSEEN_MOST = 32  # handed and not yet accounted for: a worker that is frozen gets no more than that


@dataclass(slots=True)
class WorkerLoad:
    """What is known of one worker that takes connections."""

    most: int  # that it can hold
    handed: int = 0  # connections, since it began
    seen: int = 0  # of these, those that its last account knows of
    had: int = 0  # connections by that account
    turn: int = 0  # of the last connection that it got

    def now(self) -> int:
        """How many it has, as far as can be known here."""
        return self.had + self.handed - self.seen

    def open(self) -> bool:
        """Whether it can take one more."""
        return self.now() < self.most and self.handed - self.seen < UNSEEN_MOST


class ConnectionBalancer:
    """The machine."""

    def __init__(self) -> None:
        self._loads: dict[int, WorkerLoad] = {}
        self._turn = 0

    def join(self, worker: int, most: int) -> None:
        """A worker takes connections from now on, and has none."""
        self._loads[worker] = WorkerLoad(most)

    def leave(self, worker: int) -> None:
        """It takes no more."""
        self._loads.pop(worker, None)

    def told(self, worker: int, had: int, seen: int) -> None:
        """A worker's account.  One of a worker that left, or that knows of more than was handed, is not believed."""
        load = self._loads.get(worker)
        if load is not None and load.seen <= seen <= load.handed and had >= 0:
            load.had, load.seen = had, seen

    def room(self) -> bool:
        """Whether anybody can take one more."""
        return any(load.open() for load in self._loads.values())

    def pick(self) -> int | None:
        """Who gets the next one, which counts as handed; None while nobody has room.  Equals take turns."""
        room = [(load.now(), load.turn, w) for w, load in self._loads.items() if load.open()]
        if not room:
            return None
        worker = min(room)[2]
        self._turn += 1
        load = self._loads[worker]
        load.handed, load.turn = load.handed + 1, self._turn
        return worker

    def counts(self) -> dict[int, int]:
        """Connections of each worker."""
        return {worker: load.now() for worker, load in self._loads.items()}


@dataclass(slots=True)
class UnacknowledgedConnections(Generic[T]):
    """What one worker was handed in one life and has not accounted for: it never touched these.

    A worker accounts for a connection before it reads a byte of it, so that what is left when the worker has died can
    be handed to another one: no part of a request is lost with the dead one, and none was begun twice.
    """

    left: deque[T] = field(default_factory=deque)
    seen: int = 0

    def told(self, seen: int) -> list[T]:
        """An account of so many seen: those that the worker answers for from now on."""
        count = min(max(0, seen - self.seen), len(self.left))
        self.seen += count
        return [self.left.popleft() for _ in range(count)]
