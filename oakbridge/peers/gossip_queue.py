"""A bounded queue of what is piggybacked on datagrams: the least transmitted item first.

Each item is transmitted a logarithmic number of times.  Source: SWIM, section 4.1 (dissemination by
piggybacking, lambda log n transmissions each); memberlist calls it a transmit-limited queue.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

# SWIM's lambda: with 3 log n all of 5,000 members hear of an item but for one in n^3 or so.
RETRANSMIT_MULTIPLIER = 4
MAX_ITEMS_TAKEN = 64
MAX_ITEMS_SCANNED = 128
SMALLEST_ITEM_BYTES = 24  # with less room nothing more is looked for

T = TypeVar("T")


def transmit_limit(members: int) -> int:
    """Return how often each member transmits one item."""
    return RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1) + 0.1)


@dataclass(slots=True)
class _Entry(Generic[T]):
    subject: str
    item: T
    size_bytes: int
    transmits: int = 0


class GossipQueue(Generic[T]):
    """Items by subject, grouped by how often they were transmitted.

    A newer item about a subject replaces the one before.
    """

    def __init__(self, max_subjects: int) -> None:
        """Hold so many subjects; beyond them the most often transmitted item is dropped."""
        self._by_transmits: list[OrderedDict[str, _Entry[T]]] = []
        self._transmits: dict[str, int] = {}
        self._max_subjects = max_subjects

    def __len__(self) -> int:
        """Return the number of subjects."""
        return len(self._transmits)

    def put(self, subject: str, item: T, size_bytes: int) -> None:
        """Transmit this about the subject from now on."""
        self.discard(subject)
        if len(self._transmits) >= self._max_subjects:
            self._drop_most_transmitted()
        self._insert(_Entry(subject, item, size_bytes))

    def discard(self, subject: str) -> None:
        """Transmit nothing about the subject any more."""
        transmits = self._transmits.pop(subject, None)
        if transmits is not None:
            del self._by_transmits[transmits][subject]

    def take(self, room_bytes: int, limit: int, max_items: int = MAX_ITEMS_TAKEN) -> list[T]:
        """Return what fits into the room, least transmitted first.

        An item that has been transmitted ``limit`` times is dropped.
        """
        taken: list[_Entry[T]] = []
        for entry in self._scan():
            if entry.size_bytes <= room_bytes and len(taken) < max_items:
                taken.append(entry)
                room_bytes -= entry.size_bytes
            if room_bytes < SMALLEST_ITEM_BYTES or len(taken) >= max_items:
                break
        for entry in taken:
            self.discard(entry.subject)
            entry.transmits += 1
            if entry.transmits < limit:
                self._insert(entry)
        return [entry.item for entry in taken]

    def _insert(self, entry: _Entry[T]) -> None:
        while len(self._by_transmits) <= entry.transmits:
            self._by_transmits.append(OrderedDict())
        self._by_transmits[entry.transmits][entry.subject] = entry
        self._transmits[entry.subject] = entry.transmits

    def _drop_most_transmitted(self) -> None:
        group = next(group for group in reversed(self._by_transmits) if group)
        subject, _ = group.popitem(last=False)
        del self._transmits[subject]

    def _scan(self) -> Iterator[_Entry[T]]:
        scanned = 0
        for group in self._by_transmits:
            for entry in group.values():
                yield entry
                scanned += 1
                if scanned >= MAX_ITEMS_SCANNED:
                    return
