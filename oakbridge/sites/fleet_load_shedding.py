"""The load-shedding level: which classes all nodes reject while the fleet lacks capacity.  No I/O.

Classes are ranked by priority weight, least first; requests beyond tenants' quotas rank before all
classes.  At level 1.4 the first rank is rejected completely and 0.4 of the second.  One member, the
leader (the first by hash of the reachable members), sets the level by feedback from all members'
counts; the others follow it.  Each part of a partitioned fleet has its own leader.

The feedback uses only the results of admitted requests, so it does not depend on what clients of
rejected requests do: if more than a small fraction of the admitted requests finds no capacity, less
is admitted; if a smaller fraction does, more.  That small fraction is rejected by each node alone:
as long as there are such rejections, the servers are fully used.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

GAIN = 0.7  # fraction of the way to the target that one adjustment goes, on a logarithmic scale
TARGET_OVERLOAD = 0.1  # fraction of the admitted requests that is left to nodes' own rejections
MIN_OVERLOAD = 0.01  # a smaller fraction counts as no overload
MAX_OVERLOAD = 0.95  # the highest overload that an adjustment takes into account
MIN_DECREASE = 0.03  # least fraction of all work that is admitted again, if there is no overload
# Fraction of the rejected work that is admitted again, if there is no overload.
DECREASE_FRACTION = 0.5
MAX_REJECTED_FRACTION = 0.95  # some work is always admitted, to detect that capacity is back
ADJUST_INTERVAL_US = 3_000_000  # reports are seconds old and must show the last adjustment's effect
LEADER_TIMEOUT_US = 6_000_000  # how long the level holds without a report of the leader
OVER_QUOTA = ""  # stands for requests beyond their tenants' quotas, in place of a class's name


@dataclass(frozen=True, slots=True)
class SheddingRank:
    """Requests that are rejected together: one class, or all requests beyond tenants' quotas."""

    class_name: str
    priority_weight: float


def rank_classes(
    priority_weights: Mapping[str, float], *, has_quotas: bool
) -> tuple[SheddingRank, ...]:
    """Return the order of rejection: least priority weight first, equal weights by name."""
    ranks = [SheddingRank(name, weight) for name, weight in priority_weights.items()]
    ranks.sort(key=lambda rank: (rank.priority_weight, rank.class_name))
    return (SheddingRank(OVER_QUOTA, 0.0), *ranks) if has_quotas else tuple(ranks)


def rejected_fractions(ranks: Sequence[SheddingRank], level: float) -> dict[str, float]:
    """Return the rejected fraction of each class that is rejected at all at this level."""
    return {
        rank.class_name: min(1.0, level - index)
        for index, rank in enumerate(ranks)
        if level > index
    }


def level_for(rejected_fraction: float, rank_fractions: Sequence[float]) -> float:
    """Return the level that rejects this fraction of all work.

    ``rank_fractions``: the fraction of all work that each rank has, in order of rejection.
    """
    remaining = min(MAX_REJECTED_FRACTION, max(0.0, rejected_fraction))
    for index, rank_fraction in enumerate(rank_fractions):
        if remaining < rank_fraction:
            return index + remaining / rank_fraction
        remaining -= rank_fraction
    return float(len(rank_fractions))


def rejected_fraction_at(level: float, rank_fractions: Sequence[float]) -> float:
    """Return the fraction of all work that is rejected at a level; inverse of :func:`level_for`."""
    return sum(
        rank_fraction * min(1.0, max(0.0, level - index))
        for index, rank_fraction in enumerate(rank_fractions)
    )


def elect_leader(names: Iterable[str]) -> str:
    """Return the member that sets the level; members with the same view elect the same leader."""
    return min(names, key=_leader_hash)


def _leader_hash(name: str) -> bytes:
    return hashlib.blake2b(f"level {name}".encode(), digest_size=8).digest()


def fleet_overload(members: Iterable[tuple[float, float]]) -> float:
    """Return the members' mean overload, weighted by their admitted requests.

    ``members``: pairs of overload (a fraction) and admitted requests a second.
    """
    pairs = list(members)
    total = sum(admitted_per_s for _, admitted_per_s in pairs)
    return (
        sum(overload * admitted_per_s for overload, admitted_per_s in pairs) / total
        if total
        else 0.0
    )


class FleetLoadShedding:
    """The load-shedding level at one member."""

    def __init__(self, ranks: Sequence[SheddingRank]) -> None:
        """Begin at level 0, at which nothing is rejected."""
        self.ranks = tuple(ranks)
        self.level = 0.0
        self.leader = ""  # the member that set the level
        self._adjusted_at_us = 0
        self._leader_reported_at_us = 0

    @property
    def rejected_fractions(self) -> dict[str, float]:
        """The fraction of each class that is rejected now."""
        return rejected_fractions(self.ranks, self.level)

    def raise_to_reject(self, rejected_fraction: float, rank_fractions: Sequence[float]) -> None:
        """Reject at least this fraction of all work; a plan expects no capacity for it."""
        self.level = max(self.level, level_for(rejected_fraction, rank_fractions))

    def scale_admitted(self, factor: float, rank_fractions: Sequence[float]) -> None:
        """Admit more work, by the factor of a growth in capacity; feedback corrects an excess."""
        self.level = level_for(
            1 - (1 - rejected_fraction_at(self.level, rank_fractions)) * factor, rank_fractions
        )

    def adjust(
        self, now_us: int, own_name: str, overload: float, rank_fractions: Sequence[float]
    ) -> None:
        """Adjust the level as the leader, at most every ``ADJUST_INTERVAL_US``.

        ``overload``: the fraction of the fleet's admitted requests that found no capacity.
        """
        if now_us - self._adjusted_at_us < ADJUST_INTERVAL_US:
            return
        self._adjusted_at_us = self._leader_reported_at_us = now_us
        self.leader = own_name
        rejected_fraction = rejected_fraction_at(self.level, rank_fractions)
        if overload > MIN_OVERLOAD:
            ratio_to_target = (1 - min(overload, MAX_OVERLOAD)) / (1 - TARGET_OVERLOAD)
            rejected_fraction = 1 - (1 - rejected_fraction) * ratio_to_target**GAIN
        else:
            rejected_fraction -= max(MIN_DECREASE, DECREASE_FRACTION * rejected_fraction)
        self.level = level_for(rejected_fraction, rank_fractions)

    def follow(self, now_us: int, leader: str, level: float | None) -> None:
        """Take the leader's level; if none is reported for ``LEADER_TIMEOUT_US``, lower the level.

        ``level``: as the leader reports it; None if its report gives none of its own.
        """
        if level is not None:
            self.level = min(level, float(len(self.ranks)))
            self.leader = leader
            self._leader_reported_at_us = now_us
            return
        is_leader_silent = now_us - self._leader_reported_at_us > LEADER_TIMEOUT_US
        if is_leader_silent and now_us - self._adjusted_at_us >= ADJUST_INTERVAL_US:
            self._adjusted_at_us = now_us
            self.level = max(0.0, self.level - MIN_DECREASE * len(self.ranks))
