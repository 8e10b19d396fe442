"""Queues by time: items that become due, and callbacks and expiries behind one timer.

The structures know nothing of servers and requests; they decide nothing.
"""

import heapq
import math
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

SECOND_US = 1_000_000
SPARE_EXPIRIES = 512  # so many of keys that are gone are kept before they are cleared out

Item = TypeVar("Item")


class DueQueue(Generic[Item]):
    """Items by the time at which they are due; of those due at one time the first in is first."""

    def __init__(self) -> None:
        """Begin empty."""
        self.next_due = math.inf  # when the first item is due
        self._heap: list[tuple[int, int, Item]] = []
        self._count = 0

    def push(self, when: int, item: Item) -> None:
        """Put an item in."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, item))
        self.next_due = self._heap[0][0]

    def pop(self) -> Item:
        """Take the first item out."""
        item = heapq.heappop(self._heap)[2]
        self.next_due = self._heap[0][0] if self._heap else math.inf
        return item


class Timers(Generic[Item]):
    """Calls back at given times; times are whole microseconds of one clock."""

    def __init__(
        self,
        min_delay: int,
        live: Mapping[int, Item],
        set_timer: Callable[[int, int], None],
        expire: Callable[[Item], None],
    ) -> None:
        """Have ``set_timer(delay, token)`` ask for a timer, and ``expire`` take items.

        ``live``: items that may still expire, by key; ``min_delay``: no callback comes sooner.
        """
        self.token = 0  # of the timer that is outstanding
        self.callbacks = DueQueue[Callable[[int], None]]()
        # Plain numbers, as nearly all keys are gone by then and must not be held on to.
        self._expiries: list[tuple[int, int]] = []
        self._due = math.inf  # of the timer that is outstanding
        self._min_delay = min_delay
        self._live = live
        self._set_timer = set_timer
        self._expire = expire

    def call_later(self, now: int, delay: float, callback: Callable[[int], None]) -> None:
        """Call back with the time after a delay."""
        self.callbacks.push(now + max(self._min_delay, int(delay)), callback)
        self._arm(now)

    def expire_at(self, now: int, when: int, key: int) -> None:
        """Have a key expire then, if it is still live."""
        heapq.heappush(self._expiries, (max(when, now + self._min_delay), key))
        if len(self._expiries) > SPARE_EXPIRIES + 2 * len(self._live):
            self._expiries = [(at, key) for at, key in self._expiries if key in self._live]
            heapq.heapify(self._expiries)
        self._arm(now)

    def fire(self, now: int, token: int) -> None:
        """Do all that is due.  A timer that an earlier one has replaced does nothing."""
        if token != self.token:
            return
        self._due = math.inf
        while self.callbacks.next_due <= now:
            self.callbacks.pop()(now)
        while self._expiries and self._expiries[0][0] <= now:
            key = heapq.heappop(self._expiries)[1]
            if key in self._live:
                self._expire(self._live[key])
        self._arm(now)

    def _arm(self, now: int) -> None:
        """Have a timer out for the earliest callback or expiry."""
        expiries = self._expiries
        while expiries and expiries[0][1] not in self._live:
            heapq.heappop(expiries)
        due = self.callbacks.next_due
        if expiries and expiries[0][0] < due:
            due = expiries[0][0]
        if due < self._due:
            self._due = due
            self.token += 1
            self._set_timer(max(1, int(due) - now), self.token)
