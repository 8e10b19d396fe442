"""A site's front: deals callers out among its nodes, and notices only after a while that one is back.  Pure."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

SHUN_S = 3.0  # a node that took no connection, or lost a request, gets none for so long


class Front:
    """One site's."""

    def __init__(self, nodes: Sequence[int], weights: Mapping[int, float], shunned: dict[int, float]) -> None:
        """``shunned``: until when (seconds), by node; shared by all fronts that use the same nodes."""
        self._nodes, self._weights, self._shunned = nodes, weights, shunned

    def pick(self, now: float, besides: Collection[int], rng: random.Random) -> int | None:
        """A node for the next request, by weight; None if there is nobody left to try."""
        free = [n for n in self._nodes if n not in besides and self._shunned.get(n, 0.0) <= now]
        return rng.choices(free, [self._weights[n] for n in free])[0] if free else None

    def shun(self, node: int, now: float) -> None:
        """It did not do."""
        self._shunned[node] = now + SHUN_S
