"""A set whose members are drawn at random in proportion to their size, in constant time.

It knows nothing of what its members are: they have a size above 0, and keep where they are in the pool themselves.
"""

from __future__ import annotations

import math
import random
from typing import Any, Generic, Protocol, TypeVar


class Sized(Protocol):
    """What a pool can hold."""

    size: float
    pool: Any  # the pool that it is in
    slot: int  # its place in a group of that pool


M = TypeVar("M", bound=Sized)


class WeightedPool(Generic[M]):
    """Members to draw from: one by its size in constant time, by rejection inside groups of like size."""

    __slots__ = ("groups", "sums", "count", "total")

    def __init__(self) -> None:
        self.groups: dict[int, list[M]] = {}  # by the power of two that bounds their sizes
        self.sums: dict[int, float] = {}
        self.count, self.total = 0, 0.0

    def add(self, s: M) -> None:
        """Add a member, which must be in no other pool."""
        rank = _rank(s.size)
        group = self.groups.setdefault(rank, [])
        s.pool, s.slot = self, len(group)
        group.append(s)
        self.sums[rank] = self.sums.get(rank, 0.0) + s.size
        self.count += 1
        self.total += s.size

    def remove(self, s: M) -> None:
        """Remove a member; its size must be the one it came with."""
        rank = _rank(s.size)
        group = self.groups[rank]
        last = group.pop()
        if last is not s:
            group[s.slot], last.slot = last, s.slot
        self.count -= 1
        if not group:  # sums are set right here, so that rounding never piles up
            del self.groups[rank], self.sums[rank]
            self.total = sum(self.sums.values())
        else:
            self.sums[rank] -= s.size
            self.total -= s.size

    def draw(self, rng: random.Random) -> M:
        """Draw one member, by size; the pool must not be empty."""
        groups = self.groups
        if len(groups) == 1:
            ((rank, group),) = groups.items()
        else:
            left = rng.random() * sum(self.sums.values())
            for rank, group in groups.items():  # noqa: B007
                left -= self.sums[rank]
                if left < 0:
                    break
        top = 2.0**rank
        while True:
            s = group[int(rng.random() * len(group))]
            if s.size == top or rng.random() * top < s.size:
                return s


def _rank(size: float) -> int:
    mantissa, exponent = math.frexp(size)
    return exponent - (mantissa == 0.5)
