"""Queues by key, from which what waits may be withdrawn at any place.

The structure knows nothing of servers and requests; it decides nothing.
"""

from collections import deque
from collections.abc import Hashable
from typing import Generic, Protocol, TypeVar


class Queueable(Protocol):
    """What may wait."""

    queued: bool


Item = TypeVar("Item", bound=Queueable)


class WaitingQueues(Generic[Item]):
    """One queue for each key."""

    def __init__(self) -> None:
        """Begin empty."""
        self.count = 0  # of what waits
        self._queues: dict[Hashable, deque[Item]] = {}

    def push(self, key: Hashable, item: Item, *, front: bool) -> None:
        """Let an item wait, at the back or in front."""
        queue = self._queues.setdefault(key, deque())
        (queue.appendleft if front else queue.append)(item)
        item.queued = True
        self.count += 1

    def withdraw(self, item: Item) -> None:
        """Let an item wait no longer, if it does; it stays in its queue until it is at an end."""
        if not item.queued:
            return
        item.queued = False
        self.count -= 1
        if not self.count:  # what was withdrawn is not held on to
            for queue in self._queues.values():
                queue.clear()

    def queues(self) -> list[deque[Item]]:
        """Return the queues in which something waits: at both ends is what does."""
        for queue in self._queues.values():
            while queue and not (queue[0].queued and queue[-1].queued):
                (queue.pop if queue[0].queued else queue.popleft)()
        return [queue for queue in self._queues.values() if queue]

    def pop(self, queue: deque[Item], *, newest: bool) -> Item:
        """Take the newest or the oldest of a queue."""
        item = queue.pop() if newest else queue.popleft()
        self.withdraw(item)
        return item
