"""The load-shedding level: what all nodes reject alike while the fleet is short of servers.  Pure.

Classes are ranked by priority weight; what exceeds tenants' quotas comes before all of them.  At
level 1.4 the first rank is rejected whole and 0.4 of the second.  One member, the leader (the first
by hash of those that are reachable), sets the level by feedback from all members' counts; the
others follow it, and each part of a partitioned fleet has a leader of its own.

The level is set by what became of the requests that it admitted, whatever clients of rejected ones
do: where more than a small part of them finds no capacity, less is admitted; where less does, more.
A small part is left to each node's own rejections: while these go on, the servers are fully used.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

GAIN = 0.7  # of the way to the target, in one adjustment
TARGET_OVERLOAD = 0.1  # of the admitted requests, for each node to reject by itself
MIN_OVERLOAD = 0.01  # a smaller one is none
MAX_OVERLOAD = 0.95  # that one adjustment goes by
MIN_DECREASE = 0.03  # of all work, in one adjustment without overload
DECREASE_FRACTION = 0.5  # of what is rejected, likewise
MAX_REJECTED = 0.95  # of the work: something must go on to show that there is capacity again
ADJUST_INTERVAL_US = 3_000_000  # reports are seconds old, and must show the last adjustment
LEADER_TIMEOUT_US = 6_000_000  # the level holds so long without a report of its leader
OVER_QUOTA = ""  # stands for requests beyond their tenants' quotas, in place of a class


@dataclass(frozen=True, slots=True)
class SheddingRank:
    """What is rejected together: one class, or what exceeds tenants' quotas."""

    class_name: str
    priority_weight: float


def rank_classes(
    priority_weights: Mapping[str, float], *, has_quotas: bool
) -> tuple[SheddingRank, ...]:
    """Return the order of rejection, least weight first, by name where weights are equal."""
    ranks = [SheddingRank(name, weight) for name, weight in priority_weights.items()]
    ranks.sort(key=lambda rank: (rank.priority_weight, rank.class_name))
    return (SheddingRank(OVER_QUOTA, 0.0), *ranks) if has_quotas else tuple(ranks)


def rejected_fractions(ranks: Sequence[SheddingRank], level: float) -> dict[str, float]:
    """Return the fraction of each class that is rejected at a level, where there is any."""
    return {rank.class_name: min(1.0, level - n) for n, rank in enumerate(ranks) if level > n}


def level_of(rejected: float, mix: Sequence[float]) -> float:
    """Return the level that rejects this fraction of the work; ``mix``: each rank's part of it."""
    left = min(MAX_REJECTED, max(0.0, rejected))
    for n, fraction in enumerate(mix):
        if left < fraction:
            return n + left / fraction
        left -= fraction
    return float(len(mix))


def rejected_at(level: float, mix: Sequence[float]) -> float:
    """Return the fraction of the work that is rejected at a level; reverses :func:`level_of`."""
    return sum(fraction * min(1.0, max(0.0, level - n)) for n, fraction in enumerate(mix))


def elect_leader(names: Iterable[str]) -> str:
    """Return who sets the level: the same one in all equal views."""
    return min(names, key=_leader_hash)


def _leader_hash(name: str) -> bytes:
    return hashlib.blake2b(f"level {name}".encode(), digest_size=8).digest()


def fleet_overload(members: Iterable[tuple[float, float]]) -> float:
    """Return the mean of members' overload by their calls a second, given in pairs of these two."""
    rows = list(members)
    calls = sum(calls_per_s for _, calls_per_s in rows)
    return sum(overload * calls_per_s for overload, calls_per_s in rows) / calls if calls else 0.0


class FleetLoadShedding:
    """The load-shedding level as one member holds it."""

    def __init__(self, ranks: Sequence[SheddingRank]) -> None:
        """Begin at level 0, at which nothing is rejected."""
        self.ranks = tuple(ranks)
        self.level = 0.0
        self.leader = ""  # who set the level
        self._adjusted_at_us = 0
        self._leader_heard_at_us = 0

    @property
    def rejected_fractions(self) -> dict[str, float]:
        """The fraction of each class that is rejected now."""
        return rejected_fractions(self.ranks, self.level)

    def raise_to(self, rejected: float, mix: Sequence[float]) -> None:
        """Reject at least so much: a plan tells what will not fit."""
        self.level = max(self.level, level_of(rejected, mix))

    def capacity_grew(self, factor: float, mix: Sequence[float]) -> None:
        """Admit as much more as capacity has grown; feedback finds what of it was too much."""
        self.level = level_of(1 - (1 - rejected_at(self.level, mix)) * factor, mix)

    def adjust(self, now_us: int, own_name: str, overload: float, mix: Sequence[float]) -> None:
        """Set the level as its leader.

        ``overload``: the fraction of the admitted requests that found no capacity.
        """
        if now_us - self._adjusted_at_us < ADJUST_INTERVAL_US:
            return
        self._adjusted_at_us = self._leader_heard_at_us = now_us
        self.leader = own_name
        rejected = rejected_at(self.level, mix)
        if overload > MIN_OVERLOAD:
            fitting = (1 - min(overload, MAX_OVERLOAD)) / (1 - TARGET_OVERLOAD)
            rejected = 1 - (1 - rejected) * fitting**GAIN
        else:
            rejected -= max(MIN_DECREASE, DECREASE_FRACTION * rejected)
        self.level = level_of(rejected, mix)

    def follow(self, now_us: int, leader: str, level: float | None) -> None:
        """Take the leader's level; without one for long it falls by itself."""
        if level is not None:
            self.level = min(level, float(len(self.ranks)))
            self.leader = leader
            self._leader_heard_at_us = now_us
            return
        leader_is_silent = now_us - self._leader_heard_at_us > LEADER_TIMEOUT_US
        if leader_is_silent and now_us - self._adjusted_at_us >= ADJUST_INTERVAL_US:
            self._adjusted_at_us = now_us
            self.level = max(0.0, self.level - MIN_DECREASE * len(self.ranks))
