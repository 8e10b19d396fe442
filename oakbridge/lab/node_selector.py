"""How a site's clients choose a node: by weight, without those that failed lately.  Pure."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

AVOID_S = 3.0  # a node that took no connection, or lost a request, gets none for so long


class NodeSelector:
    """One site's choice of nodes."""

    def __init__(
        self,
        nodes: Sequence[int],
        weights: Mapping[int, float],
        avoided_until_s: dict[int, float],
    ) -> None:
        """``avoided_until_s``: by node; shared by all selectors that use the same nodes."""
        self._nodes = nodes
        self._weights = weights
        self._avoided_until_s = avoided_until_s

    def select(self, now_s: float, tried: Collection[int], rng: random.Random) -> int | None:
        """Return a node for the next try, None if none is left."""
        candidates = [
            node
            for node in self._nodes
            if node not in tried and self._avoided_until_s.get(node, 0.0) <= now_s
        ]
        if not candidates:
            return None
        return rng.choices(candidates, [self._weights[node] for node in candidates])[0]

    def avoid(self, node: int, now_s: float) -> None:
        """Leave out a node that failed, for a while."""
        self._avoided_until_s[node] = now_s + AVOID_S
