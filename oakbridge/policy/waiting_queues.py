"""Queues by key, from which an item may be removed at any position.

Generic data structures: they are independent of servers and requests and make no decisions.
"""

from collections import deque
from collections.abc import Hashable
from typing import Generic, Protocol, TypeVar


class Queueable(Protocol):
    """An item that can be queued."""

    is_queued: bool


Item = TypeVar("Item", bound=Queueable)


class WaitingQueues(Generic[Item]):
    """One queue for each key; removed items stay in their queue until they reach an end of it."""

    def __init__(self) -> None:
        """Start empty."""
        self.count = 0  # queued items
        self._queues: dict[Hashable, deque[Item]] = {}

    def push(self, key: Hashable, item: Item, *, front: bool) -> None:
        """Queue an item at the back, or at the front."""
        queue = self._queues.setdefault(key, deque())
        (queue.appendleft if front else queue.append)(item)
        item.is_queued = True
        self.count += 1

    def withdraw(self, item: Item) -> None:
        """Remove an item if it is queued; ``queues`` drops it when it reaches an end."""
        if not item.is_queued:
            return
        item.is_queued = False
        self.count -= 1
        if not self.count:  # releases the references to removed items
            for queue in self._queues.values():
                queue.clear()

    def queues(self) -> list[deque[Item]]:
        """Return the queues that hold items; the first and the last item of each are queued."""
        for queue in self._queues.values():
            while queue and not (queue[0].is_queued and queue[-1].is_queued):
                (queue.pop if queue[0].is_queued else queue.popleft)()
        return [queue for queue in self._queues.values() if queue]

    def pop(self, queue: deque[Item], *, newest: bool) -> Item:
        """Remove and return the newest or the oldest item of a queue."""
        item = queue.pop() if newest else queue.popleft()
        self.withdraw(item)
        return item
