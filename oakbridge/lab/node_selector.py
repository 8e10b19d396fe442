"""The choice of a node by a site's clients: by weight, without recently failed nodes.  No I/O."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence

AVOID_S = 3.0  # time without requests for a node that refused a connection or lost a request


class NodeSelector:
    """Selects nodes for one site's clients."""

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
        """Return a node that is not avoided and not tried yet, None if there is none."""
        candidates = [
            node
            for node in self._nodes
            if node not in tried and self._avoided_until_s.get(node, 0.0) <= now_s
        ]
        if not candidates:
            return None
        return rng.choices(candidates, [self._weights[node] for node in candidates])[0]

    def avoid(self, node: int, now_s: float) -> None:
        """Avoid a failed node for :data:`AVOID_S`."""
        self._avoided_until_s[node] = now_s + AVOID_S
