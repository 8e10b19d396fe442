"""A bounded queue of items to piggyback on datagrams, ordered by how often each was transmitted.

Each item is transmitted O(log n) times.  Source: SWIM, section 4.1 (dissemination by
piggybacking, lambda log n transmissions each); memberlist calls it a transmit-limited queue.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

# SWIM's lambda.  With 3 log n transmissions an item reaches all of 5,000 members except with a
# probability of about 1 / n^3.
RETRANSMIT_MULTIPLIER = 4
MAX_ITEMS_TAKEN = 64
MAX_ITEMS_SCANNED = 128
MIN_ITEM_BYTES = 24  # smallest item; with less space left the scan stops

T = TypeVar("T")


def transmit_limit(members: int) -> int:
    """Return how often each of ``members`` members transmits one item."""
    return RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1) + 0.1)


@dataclass(slots=True)
class _Entry(Generic[T]):
    subject: str
    item: T
    size_bytes: int
    transmits: int = 0


class GossipQueue(Generic[T]):
    """Items by subject, grouped by how often each was transmitted.

    A newer item about a subject replaces the older one.
    """

    def __init__(self, max_subjects: int) -> None:
        """Hold at most ``max_subjects`` items; beyond it the most transmitted one is dropped."""
        self._entries_by_transmits: list[OrderedDict[str, _Entry[T]]] = []
        self._transmits_by_subject: dict[str, int] = {}
        self._max_subjects = max_subjects

    def __len__(self) -> int:
        """Return the number of subjects."""
        return len(self._transmits_by_subject)

    def put(self, subject: str, item: T, size_bytes: int) -> None:
        """Queue an item in place of an earlier one about its subject."""
        self.discard(subject)
        if len(self._transmits_by_subject) >= self._max_subjects:
            self._drop_most_transmitted()
        self._insert(_Entry(subject, item, size_bytes))

    def discard(self, subject: str) -> None:
        """Remove the item about this subject."""
        transmits = self._transmits_by_subject.pop(subject, None)
        if transmits is not None:
            del self._entries_by_transmits[transmits][subject]

    def take(
        self, available_bytes: int, max_transmits: int, max_items: int = MAX_ITEMS_TAKEN
    ) -> list[T]:
        """Return items that fit into ``available_bytes``, least transmitted first.

        An item that has been transmitted ``max_transmits`` times is dropped.
        """
        taken: list[_Entry[T]] = []
        for entry in self._scan():
            if entry.size_bytes <= available_bytes and len(taken) < max_items:
                taken.append(entry)
                available_bytes -= entry.size_bytes
            if available_bytes < MIN_ITEM_BYTES or len(taken) >= max_items:
                break
        for entry in taken:
            self.discard(entry.subject)
            entry.transmits += 1
            if entry.transmits < max_transmits:
                self._insert(entry)
        return [entry.item for entry in taken]

    def _insert(self, entry: _Entry[T]) -> None:
        while len(self._entries_by_transmits) <= entry.transmits:
            self._entries_by_transmits.append(OrderedDict())
        self._entries_by_transmits[entry.transmits][entry.subject] = entry
        self._transmits_by_subject[entry.subject] = entry.transmits

    def _drop_most_transmitted(self) -> None:
        group = next(group for group in reversed(self._entries_by_transmits) if group)
        subject, _ = group.popitem(last=False)
        del self._transmits_by_subject[subject]

    def _scan(self) -> Iterator[_Entry[T]]:
        scanned = 0
        for group in self._entries_by_transmits:
            for entry in group.values():
                yield entry
                scanned += 1
                if scanned >= MAX_ITEMS_SCANNED:
                    return
