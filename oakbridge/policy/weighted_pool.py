"""Weighted random draws from large pools: constant time for one item, bounded cost for several.

Generic data structures: they are independent of servers and requests and make no decisions.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

FULL_SHUFFLE_SIZE = 32  # a pool of up to this many items is shuffled in full
MAX_DRAWS = 24  # number of random draws of candidates from a larger pool
SCAN_LENGTH = 64  # number of further candidates that one scan of a larger pool yields


@dataclass(slots=True, eq=False)
class WeightedItem:
    """An item that can be in a weighted pool, and in one only."""

    weight: float = 1.0
    pool: WeightedPool[Any] = field(init=False, repr=False)
    slot: int = field(init=False, repr=False)  # index in its group


Item = TypeVar("Item", bound=WeightedItem)


class WeightedPool(Generic[Item]):
    """Items drawn in proportion to weight, by rejection sampling in groups of similar weight."""

    __slots__ = ("count", "groups", "sums", "total")

    def __init__(self) -> None:
        """Start empty."""
        # Both by the exponent of the lowest power of two that no weight of the group exceeds.
        self.groups: dict[int, list[Item]] = {}
        self.sums: dict[int, float] = {}  # sum of the weights of each group
        self.count = 0
        self.total = 0.0

    def items(self) -> list[Item]:
        """Return all items."""
        return [item for group in self.groups.values() for item in group]

    def add(self, item: Item) -> None:
        """Add an item; it must not be in a pool."""
        exponent = _exponent_above(item.weight)
        group = self.groups.setdefault(exponent, [])
        item.pool = self
        item.slot = len(group)
        group.append(item)
        self.sums[exponent] = self.sums.get(exponent, 0.0) + item.weight
        self.count += 1
        self.total += item.weight

    def remove(self, item: Item) -> None:
        """Remove an item; its weight must be the same as when it was added."""
        exponent = _exponent_above(item.weight)
        group = self.groups[exponent]
        last = group.pop()
        if last is not item:
            group[item.slot] = last
            last.slot = item.slot
        self.count -= 1
        if group:
            self.sums[exponent] -= item.weight
            self.total -= item.weight
        else:  # recomputes the total, so that rounding errors do not accumulate
            del self.groups[exponent]
            del self.sums[exponent]
            self.total = sum(self.sums.values())

    def draw(self, rng: random.Random) -> Item:
        """Draw one item in proportion to its weight; the pool must not be empty."""
        groups = self.groups
        if len(groups) == 1:
            ((exponent, group),) = groups.items()
        else:
            remaining = rng.random() * sum(self.sums.values())
            for exponent, group in groups.items():  # noqa: B007 - both are used after the loop
                remaining -= self.sums[exponent]
                if remaining < 0:
                    break
        bound = 2.0**exponent
        while True:
            item = group[int(rng.random() * len(group))]
            if item.weight == bound or rng.random() * bound < item.weight:
                return item


def weighted_shuffle(
    items: Iterable[Item],
    rng: random.Random,
    delay: Callable[[Item], float] = lambda _: 0.0,
) -> list[Item]:
    """Return all items in weighted random order; ``delay`` moves an item back.

    Each item gets an exponentially distributed position, with a mean of 1 / weight.
    """
    return sorted(items, key=lambda item: rng.expovariate(item.weight) + delay(item))


class TieredPool(Generic[Item]):
    """Weighted items that are near or far and active or inactive, in a pool for each combination.

    The cost of choosing candidates is bounded, whatever the number of items: up to
    ``FULL_SHUFFLE_SIZE`` items are shuffled in full.  Of more, ``MAX_DRAWS`` are drawn and
    ``SCAN_LENGTH`` are scanned; each scan continues where the last one stopped, so that every item
    becomes a candidate in turn.
    """

    __slots__ = ("far", "far_inactive", "near", "near_inactive", "scan_position")

    def __init__(self) -> None:
        """Start empty."""
        self.near = WeightedPool[Item]()
        self.far = WeightedPool[Item]()
        self.near_inactive = WeightedPool[Item]()
        self.far_inactive = WeightedPool[Item]()
        self.scan_position = 0  # index of the item where the next scan starts

    def __len__(self) -> int:
        """Return the number of all items, active and inactive."""
        return self.near.count + self.far.count + self.near_inactive.count + self.far_inactive.count

    def pools(self, *, with_inactive: bool) -> tuple[WeightedPool[Item], ...]:
        """Return the pools of active items, and those of inactive ones if wanted."""
        if with_inactive:
            return self.near, self.far, self.near_inactive, self.far_inactive
        return self.near, self.far

    def pool_for(self, near: bool, inactive: bool) -> WeightedPool[Item]:
        """Return the pool that holds such items."""
        if inactive:
            return self.near_inactive if near else self.far_inactive
        return self.near if near else self.far

    def items(self, *, with_inactive: bool) -> list[Item]:
        """Return all items in one list."""
        pools = self.pools(with_inactive=with_inactive)
        return [item for pool in pools for item in pool.items()]

    def draw(self, rng: random.Random, *, with_inactive: bool) -> Item:
        """Draw one item in proportion to its weight."""
        if not with_inactive and not self.far.count:
            return self.near.draw(rng)
        pools = [pool for pool in self.pools(with_inactive=with_inactive) if pool.count]
        if len(pools) == 1:
            return pools[0].draw(rng)
        remaining = rng.random() * sum(pool.total for pool in pools)
        for pool in pools:
            remaining -= pool.total
            if remaining < 0:
                break
        return pool.draw(rng)

    def scan(self, *, with_inactive: bool) -> list[Item]:
        """Return the next items of a scan, which each call continues and which repeats."""
        pools = self.pools(with_inactive=with_inactive)
        groups = [group for pool in pools for group in pool.groups.values()]
        count = sum(map(len, groups))
        start = self.scan_position % max(1, count)
        self.scan_position = start + SCAN_LENGTH
        found: list[Item] = []
        scan_length = min(SCAN_LENGTH, count)
        for group in (*groups, *groups):  # wraps around at the end
            if start >= len(group):
                start -= len(group)
                continue
            found += group[start : start + scan_length - len(found)]
            start = 0
            if len(found) == scan_length:
                break
        return found

    def candidates(
        self, rng: random.Random, *, near_first: bool, with_inactive: bool = False
    ) -> Iterator[Item]:
        """Iterate over items in weighted random order.

        ``near_first``: the first item is a near one, if there are any.
        """
        first = None
        delay = 0.0  # position in the random order at which the other near items start
        if near_first and self.near.count:
            first = self.near.draw(rng)
            yield first
            delay = rng.expovariate(self.near.total)
        if sum(pool.count for pool in self.pools(with_inactive=with_inactive)) <= FULL_SHUFFLE_SIZE:
            rest = [item for item in self.items(with_inactive=with_inactive) if item is not first]
            near_pools = self.near, self.near_inactive
            yield from weighted_shuffle(
                rest, rng, lambda item: delay if item.pool in near_pools else 0.0
            )
            return
        seen = {first}
        position, far_total = 0.0, self.far.total
        for _ in range(MAX_DRAWS):
            # Before the position at which the other near items start, only far ones are drawn.
            is_early = position < delay and far_total > 0
            far_only = is_early and (position := position + rng.expovariate(far_total)) < delay
            item = self.far.draw(rng) if far_only else self.draw(rng, with_inactive=with_inactive)
            if item not in seen:
                seen.add(item)
                yield item
        for item in weighted_shuffle(self.scan(with_inactive=with_inactive), rng):
            if item not in seen:
                yield item


def _exponent_above(weight: float) -> int:
    mantissa, exponent = math.frexp(weight)
    return exponent - (mantissa == 0.5)
