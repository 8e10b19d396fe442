"""What a number of copies and servers means, before it is so: evenness, connections, and what a change moves.  Pure.

Reckoned, not measured: each copy's calls are divided exactly as its draws are weighted.  What chance adds in a window
comes on top, and is told beside it.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from oakbridge.policy.subset import COVERAGE
from oakbridge.spread.ring import tiles

Uses = dict[str, dict[str, float]]  # by server: each copy's part of all calls there


@dataclass(frozen=True, slots=True)
class Outlook:
    """One way of dividing, at one size."""

    way: str
    most: float  # load of the busiest server over its fair share
    p99: float
    least: float
    copies_each: float  # at a server, the mean: idle connections that it holds at least
    copies_most: int
    servers_each: float  # of a copy
    moved: float  # of all pairs of copy and server in use, that are others after the change


def named(kind: str, many: int) -> list[str]:
    """Names for as many as are reckoned with."""
    return [f"{kind}{n:05d}" for n in range(many)]


def loads(many: int, sigma: float, seed: int) -> dict[str, float]:
    """Copies' parts of the calls, as uneven as a lognormal of this sigma."""
    rng = random.Random(seed)
    return {name: rng.lognormvariate(0, sigma) for name in named("copy", many)}


def by_places(copies: Mapping[str, float], servers: Mapping[str, float], rings: int) -> Uses:
    """By arcs of rings."""
    found: Uses = defaultdict(dict)
    for copy, server, length in tiles(copies, servers, rings):
        found[server][copy] = found[server].get(copy, 0.0) + length
    return found


def by_chance(copies: Mapping[str, float], servers: Mapping[str, float], seed: int) -> Uses:
    """As each copy draws a subset by itself: as many as cover every server so often together."""
    found: Uses = defaultdict(dict)
    names, total = list(servers), sum(copies.values())
    many = min(len(names), max(4, math.ceil(COVERAGE * len(names) / len(copies))))
    for copy, part in copies.items():
        rng = random.Random(f"{seed} {copy}")  # the same whoever else there is
        drawn = sorted(names, key=lambda n: rng.expovariate(servers[n]))[:many]
        sizes = sum(servers[n] for n in drawn)
        for name in drawn:
            found[name][copy] = part / total * servers[name] / sizes
    return found


def of(way: str, uses: Uses, servers: Mapping[str, float], after: Uses | None = None) -> Outlook:
    """The figures of one way; ``after``: the same after a change of size."""
    whole = sum(servers.values())
    over = sorted(sum(uses.get(name, {}).values()) * whole / size for name, size in servers.items())
    counts = [len(uses.get(name, {})) for name in servers]
    copies = {copy for found in uses.values() for copy in found}
    pairs = {(copy, server) for server, found in uses.items() for copy in found}
    other = (
        {(copy, server) for server, found in after.items() for copy in found} if after is not None else pairs
    )
    return Outlook(
        way, over[-1], over[min(len(over) - 1, math.ceil(0.99 * len(over)) - 1)], over[0],
        sum(counts) / len(counts), max(counts), sum(counts) / max(1, len(copies)),
        len(pairs - other) / len(pairs) if pairs else 0.0,
    )  # fmt: skip


def outlook(
    copies: int, servers: int, then_copies: int, then_servers: int, rings: int, sigma: float, seed: int
) -> list[Outlook]:
    """Both ways, and what the change to other numbers moves."""
    weights, then = loads(copies, sigma, seed), loads(then_copies, sigma, seed)
    sizes = dict.fromkeys(named("server", servers), 1.0)
    later = dict.fromkeys(named("server", then_servers), 1.0)
    return [
        of("by members", by_places(weights, sizes, rings), sizes, by_places(then, later, rings)),
        of("by chance", by_chance(weights, sizes, seed), sizes, by_chance(then, later, seed)),
    ]
