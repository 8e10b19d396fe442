"""A member's timer queue, ordered by due time and then by registration."""

from __future__ import annotations

import heapq
from enum import StrEnum
from typing import NamedTuple


class TimerKind(StrEnum):
    """The event that a timer triggers."""

    PROBE = "probe"
    INDIRECT_PROBE = "indirect probe"  # key: the probe's sequence number
    RELAY = "relay"  # key: the relayed probe's sequence number
    SUSPICION = "suspicion"  # key: the suspected member's name
    GOSSIP = "gossip"
    PUSH_PULL = "push-pull"
    CATCH_UP = "catch up"  # key: the incarnation that was declared failed
    RECONNECT = "reconnect"
    JOIN = "join"
    FORGET = "forget"


class Timer(NamedTuple):
    """One timer; ``number`` orders timers that are due at the same time."""

    due_us: int
    number: int
    kind: TimerKind
    key: str | int


class TimerQueue:
    """A priority queue of timers."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._added = 0

    def add(self, due_us: int, kind: TimerKind, key: str | int = 0) -> None:
        """Add a timer that fires at ``due_us``."""
        self._added += 1
        heapq.heappush(self._heap, Timer(due_us, self._added, kind, key))

    def next_due_us(self) -> int:
        """Return the due time of the next timer.  Raises IndexError if there is none."""
        return self._heap[0].due_us

    def pop_due(self, now_us: int) -> Timer | None:
        """Remove and return the next timer if it is due."""
        if self._heap[0].due_us > now_us:
            return None
        return heapq.heappop(self._heap)

    def delay_all(self, delay_us: int) -> None:
        """Delay all timers by ``delay_us``."""
        self._heap = [timer._replace(due_us=timer.due_us + delay_us) for timer in self._heap]
        heapq.heapify(self._heap)

    def pending(self, kind: TimerKind) -> list[str | int]:
        """Return the keys of the pending timers of a kind."""
        return [timer.key for timer in self._heap if timer.kind == kind]
