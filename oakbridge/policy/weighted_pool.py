"""Random draws by weight from many items: constant time for one, a weighted random order for all.

The structures know nothing of servers and requests; they decide nothing.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

SMALL_SET = 32  # one of so many items is looked at in full
MAX_DRAWS = 24  # of a larger one, for one walk through candidates,
RING_STEP = 64  # and then items of its ring


@dataclass(slots=True, eq=False)
class WeightedItem:
    """What a weighted set may hold; an item is in one set at most."""

    weight: float = 1.0
    holder: WeightedPool[Any] = field(init=False, repr=False)
    slot: int = field(init=False, repr=False)


Item = TypeVar("Item", bound=WeightedItem)


class WeightedPool(Generic[Item]):
    """Items to draw from by their weights, by rejection inside groups of like weight."""

    __slots__ = ("count", "groups", "sums", "total")

    def __init__(self) -> None:
        """Begin empty."""
        self.groups: dict[
            int, list[Item]
        ] = {}  # by the exponent of the power of two above the weights
        self.sums: dict[int, float] = {}  # of the weights of each group
        self.count = 0
        self.total = 0.0

    def items(self) -> list[Item]:
        """Return all items."""
        return [item for group in self.groups.values() for item in group]

    def add(self, item: Item) -> None:
        """Put an item in; it must be in no set."""
        exponent = _exponent_above(item.weight)
        group = self.groups.setdefault(exponent, [])
        item.holder = self
        item.slot = len(group)
        group.append(item)
        self.sums[exponent] = self.sums.get(exponent, 0.0) + item.weight
        self.count += 1
        self.total += item.weight

    def remove(self, item: Item) -> None:
        """Take an item out; its weight must be the one that it was added with."""
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
        else:  # sums are exact again here, so that rounding errors never pile up
            del self.groups[exponent]
            del self.sums[exponent]
            self.total = sum(self.sums.values())

    def draw(self, rng: random.Random) -> Item:
        """Draw one item in proportion to its weight; the set must not be empty."""
        groups = self.groups
        if len(groups) == 1:
            ((exponent, group),) = groups.items()
        else:
            left = rng.random() * sum(self.sums.values())
            for exponent, group in groups.items():  # noqa: B007 - both are used behind the loop
                left -= self.sums[exponent]
                if left < 0:
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
    """Return all items in random order, heavier ones likelier first; ``delay`` moves one back."""
    return sorted(items, key=lambda item: rng.expovariate(item.weight) + delay(item))


class TieredPool(Generic[Item]):
    """Weighted items that are near or far, active or not; cost is bounded, however many there are.

    A set of few items is looked at in full; of a large one a bounded number is drawn, then a part
    of a ring is looked through, which goes on where it stopped: each has its turn.
    """

    __slots__ = ("cursor", "far", "far_inactive", "near", "near_inactive")

    def __init__(self) -> None:
        """Begin empty."""
        self.near = WeightedPool[Item]()
        self.far = WeightedPool[Item]()
        self.near_inactive = WeightedPool[Item]()
        self.far_inactive = WeightedPool[Item]()
        self.cursor = 0  # where the next walk of the ring begins

    def __len__(self) -> int:
        """Count all items, the inactive among them."""
        return self.near.count + self.far.count + self.near_inactive.count + self.far_inactive.count

    def sets(self, *, with_inactive: bool) -> tuple[WeightedPool[Item], ...]:
        """Return the sets to draw from."""
        if with_inactive:
            return self.near, self.far, self.near_inactive, self.far_inactive
        return self.near, self.far

    def set_for(self, near: bool, inactive: bool) -> WeightedPool[Item]:
        """Return the set where such an item belongs."""
        if inactive:
            return self.near_inactive if near else self.far_inactive
        return self.near if near else self.far

    def items(self, *, with_inactive: bool) -> list[Item]:
        """Return all items in one list."""
        sets = self.sets(with_inactive=with_inactive)
        return [item for members in sets for item in members.items()]

    def draw(self, rng: random.Random, *, with_inactive: bool) -> Item:
        """Draw one item by weight."""
        if not with_inactive and not self.far.count:
            return self.near.draw(rng)
        sets = [members for members in self.sets(with_inactive=with_inactive) if members.count]
        if len(sets) == 1:
            return sets[0].draw(rng)
        left = rng.random() * sum(members.total for members in sets)
        for members in sets:
            left -= members.total
            if left < 0:
                break
        return members.draw(rng)

    def walk_ring(self, *, with_inactive: bool) -> list[Item]:
        """Return the next items of a walk that goes on with each call and comes to all in turn."""
        sets = self.sets(with_inactive=with_inactive)
        groups = [group for members in sets for group in members.groups.values()]
        count = sum(map(len, groups))
        start = self.cursor % max(1, count)
        self.cursor = start + RING_STEP
        found: list[Item] = []
        wanted = min(RING_STEP, count)
        for group in (*groups, *groups):  # from the cursor to the end, and on from the beginning
            if start >= len(group):
                start -= len(group)
                continue
            found += group[start : start + wanted - len(found)]
            start = 0
            if len(found) == wanted:
                break
        return found

    def candidates(
        self, rng: random.Random, *, near_first: bool, with_inactive: bool = False
    ) -> Iterator[Item]:
        """Iterate over items in random order, heavier ones likelier first.

        ``near_first``: one that is near comes before all others.
        """
        first = None
        delay = 0.0  # how far behind the start the rest of the near ones begins
        if near_first and self.near.count:
            first = self.near.draw(rng)
            yield first
            delay = rng.expovariate(self.near.total)
        if sum(members.count for members in self.sets(with_inactive=with_inactive)) <= SMALL_SET:
            rest = [item for item in self.items(with_inactive=with_inactive) if item is not first]
            near_sets = self.near, self.near_inactive
            yield from weighted_shuffle(
                rest, rng, lambda item: delay if item.holder in near_sets else 0.0
            )
            return
        seen = {first}
        at, far_total = 0.0, self.far.total
        for _ in range(MAX_DRAWS):
            # Until the rest of the near ones begins, only far ones are drawn.
            early = at < delay and far_total > 0
            far_only = early and (at := at + rng.expovariate(far_total)) < delay
            item = self.far.draw(rng) if far_only else self.draw(rng, with_inactive=with_inactive)
            if item not in seen:
                seen.add(item)
                yield item
        for item in weighted_shuffle(self.walk_ring(with_inactive=with_inactive), rng):
            if item not in seen:
                yield item


def _exponent_above(weight: float) -> int:
    mantissa, exponent = math.frexp(weight)
    return exponent - (mantissa == 0.5)
