"""Deterministic subsetting by arcs of rings: each server gets its share of all requests.  No I/O.

There are K rings, each of length 1.  On each ring lie all servers, each on an arc proportional to
its weight, and all replicas, each on an arc proportional to its share of the requests.  Their
orders are by hash and differ from ring to ring.  A replica uses the servers whose arcs overlap its
own, each in proportion to the overlap.  Every point of a ring belongs to one replica and one
server, so each server gets its weight's share of all requests, whatever the replicas' shares are.
How exactly depends on how far the replicas agree on the shares, and on how exactly each divides its
requests.  With random subsets, the relative unevenness is one over the square root of the replicas
per server.

Source: one ring with equal arcs is the deterministic aperture of Finagle (Twitter, 2019).  Several
rings with unequal arcs are an addition: with one ring, a failed replica takes its load from the
same few servers; with equal arcs, unequal shares do not fit.
"""

from __future__ import annotations

import functools
import hashlib
from bisect import bisect_right
from collections.abc import Iterator, Mapping
from itertools import accumulate
from typing import NamedTuple

MAX_RINGS = 8  # a digest has 64 bytes, and each ring's order uses 8 of them
BYTES_PER_RING = 8
MAX_CACHED_DIGESTS = 32_768
# A subset leaves out servers with less than this fraction of its most loaded server's load.
MIN_RELATIVE_LOAD = 0.02
# Personalization of the hashes.  All nodes of a fleet must use the same values.
REPLICA = b"copy"
SERVER = b"server"


class Overlap(NamedTuple):
    """A segment of a ring that belongs to one replica and to one server."""

    replica: str
    server: str
    length: float  # the lengths of all overlaps on all rings add up to 1


class _Arcs(NamedTuple):
    """Names in their order on a ring of length 1, and the end of each name's arc."""

    names: list[str]
    ends: list[float]

    def start(self, index: int) -> float:
        """Return the start of the arc of the name at this index."""
        return self.ends[index - 1] if index else 0.0


def overlaps(
    replicas: Mapping[str, float], servers: Mapping[str, float], rings: int
) -> Iterator[Overlap]:
    """Yield all overlaps of replicas and servers.

    ``replicas``: their shares of the requests; ``servers``: their weights; all greater than 0.
    """
    for ring in range(rings):
        replica_arcs = _arcs(replicas, REPLICA, ring)
        server_arcs = _arcs(servers, SERVER, ring)
        position, replica_index, server_index = 0.0, 0, 0
        while replica_index < len(replica_arcs.names) and server_index < len(server_arcs.names):
            end = min(replica_arcs.ends[replica_index], server_arcs.ends[server_index])
            if end > position:
                yield Overlap(
                    replica_arcs.names[replica_index],
                    server_arcs.names[server_index],
                    (end - position) / rings,
                )
            position = max(position, end)
            if replica_arcs.ends[replica_index] <= server_arcs.ends[server_index]:
                replica_index += 1
            else:
                server_index += 1


def subset_weights(
    name: str, replicas: Mapping[str, float], servers: Mapping[str, float], rings: int
) -> dict[str, float]:
    """Return the subset of one replica: by server, the factor that its weight is multiplied by.

    The largest factor is 1.  ``replicas`` and ``servers`` are those of :func:`overlaps`.  Raises
    KeyError if ``name`` is not one of the replicas.
    """
    if not servers:
        return {}
    if name not in replicas:
        raise KeyError(name)
    covered: dict[str, float] = {}
    for ring in range(rings):
        for server, fraction in _covered_fractions(name, replicas, servers, ring):
            covered[server] = covered.get(server, 0.0) + fraction
    return _normalize(covered, servers)


def _covered_fractions(
    name: str, replicas: Mapping[str, float], servers: Mapping[str, float], ring: int
) -> Iterator[tuple[str, float]]:
    """Yield the servers that a replica's arc overlaps on one ring, with their covered fractions."""
    replica_arcs = _arcs(replicas, REPLICA, ring)
    server_arcs = _arcs(servers, SERVER, ring)
    own_index = replica_arcs.names.index(name)
    position, end = replica_arcs.start(own_index), replica_arcs.ends[own_index]
    server_index = bisect_right(server_arcs.ends, position)
    while server_index < len(server_arcs.names) and position < end:
        segment_end = min(end, server_arcs.ends[server_index])
        if segment_end > position:
            yield (
                server_arcs.names[server_index],
                (segment_end - position)
                / (server_arcs.ends[server_index] - server_arcs.start(server_index)),
            )
        position = segment_end
        server_index += 1


def _normalize(covered: Mapping[str, float], servers: Mapping[str, float]) -> dict[str, float]:
    """Leave out servers with little load, and scale the fractions so that the largest is 1."""
    load = {name: fraction * servers[name] for name, fraction in covered.items()}
    min_load = MIN_RELATIVE_LOAD * max(load.values(), default=0.0)
    kept = {name: fraction for name, fraction in covered.items() if load[name] >= min_load}
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
