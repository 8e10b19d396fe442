"""Each node's replica index: it is number I of N in its tier, so that subsets can be disjoint.

Every node orders the names by their hash, so views that agree give indices that agree.  While views
differ, indices may overlap, which costs evenness and nothing else.  So an index changes only when
the new one has been the same for a while, and not at all while a part of the members is out of
reach: those that are cut off still have theirs.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from oakbridge.peers.view_state import REPLICA_INDEX, ClusterView, Reaction

SETTLE_US = 3_000_000  # that a new index must have been the same


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
    """Follow this node's replica index over time."""

    def __init__(self, own_name: str, settle_us: int = SETTLE_US) -> None:
        self.current: ReplicaIndex | None = None
        self._own_name = own_name
        self._settle_us = settle_us
        self._candidate: ReplicaIndex | None = None
        self._candidate_since_us = 0

    @property
    def is_settling(self) -> bool:
        """Return whether a new index has yet to prove stable."""
        return self._candidate is not None

    def update(self, now_us: int, view: ClusterView, names: Iterable[str]) -> ReplicaIndex | None:
        """Return the new index where it has changed, None where it has not.

        ``names`` are the reachable members of the tier.
        """
        reaction = REPLICA_INDEX.reaction(view.state)
        if reaction == Reaction.DISCARD:
            self.current = None
        if reaction != Reaction.UPDATE:
            self._candidate = None
            return None
        wanted = replica_index(self._own_name, names)
        if wanted == self.current:
            self._candidate = None
        elif wanted != self._candidate:
            self._candidate = wanted
            self._candidate_since_us = now_us
        elif now_us - self._candidate_since_us >= self._settle_us:
            self.current = wanted
            self._candidate = None
            return wanted
        return None
