"""Each node's replica index, "number I of N in its tier", from which disjoint subsets follow.

Every node sorts the names by their hash, so equal views give consistent indices.  While views
differ, indices may overlap, which only makes load less even.  An index changes only after the new
one has been stable for SETTLE_TIME_US, and not at all during a partition: the unreachable members
keep their indices, too.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from oakbridge.peers.view_state import REPLICA_INDEX, ClusterView, Reaction

SETTLE_TIME_US = 3_000_000  # for which a new index must be stable


@dataclass(frozen=True, slots=True)
class ReplicaIndex:
    """Number ``index`` (from 0) of ``count`` replicas."""

    index: int
    count: int


def replica_index(own_name: str, names: Iterable[str]) -> ReplicaIndex:
    """Return the index of ``own_name`` among these names."""
    order = sorted({own_name, *names}, key=_name_hash)
    return ReplicaIndex(order.index(own_name), len(order))


def _name_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


class ReplicaIndexTracker:
    """Tracks this node's replica index over time."""

    def __init__(self, own_name: str, settle_us: int = SETTLE_TIME_US) -> None:
        self.current: ReplicaIndex | None = None
        self._own_name = own_name
        self._settle_us = settle_us
        self._candidate: ReplicaIndex | None = None
        self._candidate_since_us = 0

    @property
    def is_settling(self) -> bool:
        """Return whether a new index is pending until it has been stable for the settle time."""
        return self._candidate is not None

    def update(self, now_us: int, view: ClusterView, names: Iterable[str]) -> ReplicaIndex | None:
        """Return the new index if it has changed, else None.

        ``names`` are the reachable members of the tier.
        """
        reaction = REPLICA_INDEX.reaction(view.state)
        if reaction == Reaction.DISCARD:
            self.current = None
        if reaction != Reaction.UPDATE:
            self._candidate = None
            return None
        computed = replica_index(self._own_name, names)
        if computed == self.current:
            self._candidate = None
        elif computed != self._candidate:
            self._candidate = computed
            self._candidate_since_us = now_us
        elif now_us - self._candidate_since_us >= self._settle_us:
            self.current = computed
            self._candidate = None
            return computed
        return None
