"""Deterministic subsetting: which servers each replica uses, so that all are used alike.  Pure.

On each of K rings lie all servers, each on an arc as long as its weight, and over them all
replicas, each on an arc as long as its share of the requests; the orders are by hash and differ
from ring to ring. A replica uses the servers under its arcs, each by the length that they have in
common. Every point of a ring belongs to one replica and to one server, so each server gets its
weight's share of all requests, whatever the replicas' shares are: as exactly as the replicas agree
on these, and as each divides its requests. Subsets drawn at random are uneven by one over the root
of the replicas at a server.

Source: one ring with equal arcs is the deterministic aperture of Finagle (Twitter, 2019); several
rings are ours: with one, a replica that fails takes its load from the same few servers, and
unequal shares do not fit.
"""

from __future__ import annotations

import functools
import hashlib
from bisect import bisect_right
from collections.abc import Iterator, Mapping
from itertools import accumulate
from typing import NamedTuple

MAX_RINGS = 8  # a digest has 64 bytes, and each ring's order takes eight
BYTES_PER_RING = 8
MAX_CACHED_DIGESTS = 32_768
MIN_RELATIVE_LOAD = 0.02  # of the server that this replica loads most: those with less are left out
REPLICA = b"copy"  # part of what is hashed: both ends of a fleet must agree on it
SERVER = b"server"


class Overlap(NamedTuple):
    """A piece of a ring that belongs to one replica and to one server."""

    replica: str
    server: str
    length: float  # all overlaps together have the length 1


class _Arcs(NamedTuple):
    """Names in their order on a ring of length 1, and where the arc of each one ends."""

    names: list[str]
    ends: list[float]

    def start(self, n: int) -> float:
        """Return where the arc of the name at a position starts."""
        return self.ends[n - 1] if n else 0.0


def overlaps(
    replicas: Mapping[str, float], servers: Mapping[str, float], rings: int
) -> Iterator[Overlap]:
    """Yield all overlaps of replicas and servers.

    ``replicas``: their shares of the requests; ``servers``: their weights; all greater than 0.
    """
    for ring in range(rings):
        above = _arcs(replicas, REPLICA, ring)
        below = _arcs(servers, SERVER, ring)
        position, i, j = 0.0, 0, 0
        while i < len(above.names) and j < len(below.names):
            end = min(above.ends[i], below.ends[j])
            if end > position:
                yield Overlap(above.names[i], below.names[j], (end - position) / rings)
            position = max(position, end)
            if above.ends[i] <= below.ends[j]:
                i += 1
            else:
                j += 1


def subset_weights(
    name: str, replicas: Mapping[str, float], servers: Mapping[str, float], rings: int
) -> dict[str, float]:
    """Return the servers that one replica uses, each with the fraction of its weight that counts.

    The largest fraction is 1.  Raises KeyError if ``name`` is none of the replicas.
    """
    if not servers:
        return {}
    if name not in replicas:
        raise KeyError(name)
    covered: dict[str, float] = {}
    for ring in range(rings):
        for server, fraction in _covered_fractions(name, replicas, servers, ring):
            covered[server] = covered.get(server, 0.0) + fraction
    return _normalized(covered, servers)


def _covered_fractions(
    name: str, replicas: Mapping[str, float], servers: Mapping[str, float], ring: int
) -> Iterator[tuple[str, float]]:
    """Yield the servers under a replica's arc on one ring, with the covered fraction of theirs."""
    above = _arcs(replicas, REPLICA, ring)
    below = _arcs(servers, SERVER, ring)
    own = above.names.index(name)
    position, end = above.start(own), above.ends[own]
    j = bisect_right(below.ends, position)
    while j < len(below.names) and position < end:
        upto = min(end, below.ends[j])
        if upto > position:
            yield below.names[j], (upto - position) / (below.ends[j] - below.start(j))
        position = upto
        j += 1


def _normalized(covered: Mapping[str, float], servers: Mapping[str, float]) -> dict[str, float]:
    """Leave out servers with hardly any load, and scale to a largest fraction of 1."""
    load = {name: fraction * servers[name] for name, fraction in covered.items()}
    least = MIN_RELATIVE_LOAD * max(load.values(), default=0.0)
    kept = {name: fraction for name, fraction in covered.items() if load[name] >= least}
    largest = max(kept.values(), default=1.0)
    return {name: fraction / largest for name, fraction in kept.items()}


def _arcs(weights: Mapping[str, float], kind: bytes, ring: int) -> _Arcs:
    key = slice(BYTES_PER_RING * ring, BYTES_PER_RING * (ring + 1))
    names = sorted(weights, key=lambda name: (_digest(name, kind)[key], name))
    total = sum(weights.values())
    return _Arcs(names, [end / total for end in accumulate(weights[name] for name in names)])


@functools.lru_cache(MAX_CACHED_DIGESTS)
def _digest(name: str, kind: bytes) -> bytes:
    return hashlib.blake2b(name.encode(), person=kind).digest()
