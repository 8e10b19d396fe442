"""Queues ordered by time: due items, and callbacks and expiries that share one timer.

Generic data structures: they are independent of servers and requests and make no decisions.
"""

import heapq
import math
from collections.abc import Callable, Mapping
from typing import Generic, TypeVar

SECOND_US = 1_000_000
MAX_STALE_EXPIRIES = 512  # expiries of keys no longer live that are kept before they are removed
MAX_STALE_CALLBACKS = 512  # the same for callbacks of keys

Item = TypeVar("Item")


class DueQueue(Generic[Item]):
    """Items ordered by due time; items due at the same time keep their order of insertion."""

    def __init__(self) -> None:
        """Start empty."""
        self.next_due = math.inf  # due time of the first item
        self._heap: list[tuple[int, int, Item]] = []
        self._count = 0

    def push(self, when: int, item: Item) -> None:
        """Add an item that is due at ``when``."""
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, item))
        self.next_due = self._heap[0][0]

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._heap)

    def keep_only(self, is_live: Callable[[Item], bool]) -> None:
        """Remove the items that are not live; the others keep their order."""
        self._heap = [entry for entry in self._heap if is_live(entry[2])]
        heapq.heapify(self._heap)
        self.next_due = self._heap[0][0] if self._heap else math.inf

    def pop(self) -> Item:
        """Remove and return the first item."""
        item = heapq.heappop(self._heap)[2]
        self.next_due = self._heap[0][0] if self._heap else math.inf
        return item


class KeyCallback(Generic[Item]):
    """A callback for the item of a key; it does not hold the item, which may be closed before."""

    __slots__ = ("function", "key")

    def __init__(self, key: int, function: Callable[[Item, int], None]) -> None:
        self.key = key
        self.function = function


class Timers(Generic[Item]):
    """Callbacks and expiries at given times, in whole microseconds of one clock.

    Only the earliest of them has a timer; a timer that an earlier one has replaced is ignored.
    """

    def __init__(
        self,
        min_delay: int,
        live: Mapping[int, Item],
        set_timer: Callable[[int, int], None],
        expire: Callable[[Item], None],
    ) -> None:
        """Start without callbacks.

        ``min_delay``: shortest delay; ``live``: items that may still expire, by key;
        ``set_timer(delay, token)``: requests a timer; ``expire(item)``: handles an expired item.
        """
        self.token = 0  # token of the current timer
        self.callbacks = DueQueue[Callable[[int], None] | KeyCallback[Item]]()
        self._keyed = 0  # KeyCallbacks that were added since stale ones were removed, at least
        # Holds keys, not items: most items are closed before they expire and must be released.
        self._expiries: list[tuple[int, int]] = []
        self._timer_due = math.inf  # due time of the current timer
        self._min_delay = min_delay
        self._live = live
        self._set_timer = set_timer
        self._expire = expire

    def call_later(self, now: int, delay: float, callback: Callable[[int], None]) -> None:
        """Call ``callback(now)`` after a delay."""
        self.callbacks.push(now + max(self._min_delay, int(delay)), callback)
        self._arm(now)

    def call_later_for(
        self, now: int, delay: float, key: int, callback: Callable[[Item, int], None]
    ) -> None:
        """Call ``callback(item, now)`` after a delay, if the key of an item is still live then.

        Callbacks of keys that are no longer live are removed before they are most of the heap.
        """
        self.callbacks.push(now + max(self._min_delay, int(delay)), KeyCallback(key, callback))
        self._keyed += 1
        if self._keyed > MAX_STALE_CALLBACKS + 2 * len(self._live):
            self.callbacks.keep_only(self._is_live)
            self._keyed = len(self._live)
        self._arm(now)

    def _is_live(self, callback: Callable[[int], None] | KeyCallback[Item]) -> bool:
        return not isinstance(callback, KeyCallback) or callback.key in self._live

    def _call(self, callback: Callable[[int], None] | KeyCallback[Item], now: int) -> None:
        if not isinstance(callback, KeyCallback):
            callback(now)
        elif callback.key in self._live:
            callback.function(self._live[callback.key], now)

    def expire_at(self, now: int, when: int, key: int) -> None:
        """Expire the item of a key at ``when``, if the key is still live then."""
        heapq.heappush(self._expiries, (max(when, now + self._min_delay), key))
        if len(self._expiries) > MAX_STALE_EXPIRIES + 2 * len(self._live):
            self._expiries = [(at, key) for at, key in self._expiries if key in self._live]
            heapq.heapify(self._expiries)
        self._arm(now)

    def fire(self, now: int, token: int) -> None:
        """Run all that is due, unless the token is not that of the current timer."""
        if token != self.token:
            return
        self._timer_due = math.inf
        while self.callbacks.next_due <= now:
            self._call(self.callbacks.pop(), now)
        while self._expiries and self._expiries[0][0] <= now:
            key = heapq.heappop(self._expiries)[1]
            if key in self._live:
                self._expire(self._live[key])
        self._arm(now)

    def _arm(self, now: int) -> None:
        """Set a timer for the earliest callback or expiry, unless one is set for that time."""
        expiries = self._expiries
        while expiries and expiries[0][1] not in self._live:
            heapq.heappop(expiries)
        due = self.callbacks.next_due
        if expiries and expiries[0][0] < due:
            due = expiries[0][0]
        if due < self._timer_due:
            self._timer_due = due
            self.token += 1
            self._set_timer(max(1, int(due) - now), self.token)
