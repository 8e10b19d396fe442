"""What is passed on with every datagram: bounded, the least often told first, each a logarithmic number of times.

Source: SWIM, section 4.1 (piggybacked dissemination, lambda log n tellings each).
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

TELLINGS = 4  # lambda: with 3 log n, all of 5,000 members hear of it but for one in n^3 or so
T = TypeVar("T")


def tellings(members: int) -> int:
    """How often each member tells each piece of news."""
    return TELLINGS * math.ceil(math.log10(members + 1) + 0.1)


class News(Generic[T]):
    """Pieces of news by their subject, in rows by how often they were told; a newer one on a subject replaces it."""

    def __init__(self, most: int) -> None:
        """``most``: subjects at once; beyond it the most often told one goes."""
        self._rows: list[OrderedDict[str, tuple[T, int]]] = []
        self._row: dict[str, int] = {}
        self._most = most

    def __len__(self) -> int:
        """Subjects that are told of."""
        return len(self._row)

    def put(self, subject: str, piece: T, size: int) -> None:
        """Tell this of the subject from now on; ``size`` in bytes."""
        self.drop(subject)
        if len(self._row) >= self._most:
            oldest = next(row for row in reversed(self._rows) if row)
            del self._row[oldest.popitem(last=False)[0]]
        self._insert(subject, 0, (piece, size))

    def drop(self, subject: str) -> None:
        """Tell no more of it."""
        row = self._row.pop(subject, None)
        if row is not None:
            del self._rows[row][subject]

    def _insert(self, subject: str, row: int, piece: tuple[T, int]) -> None:
        while len(self._rows) <= row:
            self._rows.append(OrderedDict())
        self._rows[row][subject] = piece
        self._row[subject] = row

    def take(self, room: int, limit: int, most: int = 64) -> list[T]:
        """What goes into ``room`` bytes, least often told first; what was told ``limit`` times goes."""
        chosen: list[tuple[str, T, int, int]] = []
        for subject, piece, size, row in self._all():
            if size <= room and len(chosen) < most:
                chosen.append((subject, piece, size, row))
                room -= size
            if room < 24 or len(chosen) >= most:
                break
        for subject, piece, size, row in chosen:
            self.drop(subject)
            if row + 1 < limit:
                self._insert(subject, row + 1, (piece, size))
        return [piece for _, piece, _, _ in chosen]

    def _all(self) -> Iterator[tuple[str, T, int, int]]:
        looked = 0
        for number, row in enumerate(self._rows):
            for subject, (piece, size) in row.items():
                yield subject, piece, size, number
                looked += 1
                if looked >= 128:
                    return
