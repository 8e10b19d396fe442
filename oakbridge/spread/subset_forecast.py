"""What a number of replicas and servers will mean, before it is so.  Pure.

Evenness, connections, and what a change of size moves. Computed, not measured: each replica's
requests are divided exactly as its draws are weighted. What chance adds in a window comes on top,
and is told beside it.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from oakbridge.policy.subset import SUBSETS_PER_SERVER
from oakbridge.spread.arcs import overlaps

MIN_RANDOM_SUBSET = 4
BY_MEMBERS = "by members"
BY_CHANCE = "by chance"

RequestShares = dict[str, dict[str, float]]  # by server: each replica's share of all requests there


@dataclass(frozen=True, slots=True)
class TierSize:
    """How many replicas use how many servers."""

    replicas: int
    servers: int


@dataclass(frozen=True, slots=True)
class Forecast:
    """One way of dividing servers, at one size."""

    method: str
    max_load: float  # of the busiest server, over its fair share
    p99_load: float
    min_load: float
    mean_replicas_per_server: float  # at a server: idle connections that it holds at least
    max_replicas_per_server: int
    mean_servers_per_replica: float  # of a replica
    moved_fraction: float  # of all pairs of replica and server that are others after the change


def forecast(
    before: TierSize, after: TierSize, *, rings: int, sigma: float, seed: int
) -> list[Forecast]:
    """Return both ways, by members and by chance, and what the change of size moves.

    ``sigma``: how unequal the replicas' requests are.
    """
    replicas = random_shares(before.replicas, sigma, seed)
    servers = equal_weights(before.servers)
    later_replicas = random_shares(after.replicas, sigma, seed)
    later_servers = equal_weights(after.servers)
    by_members = (
        divide_by_members(replicas, servers, rings),
        divide_by_members(later_replicas, later_servers, rings),
    )
    by_chance = (
        divide_by_chance(replicas, servers, seed),
        divide_by_chance(later_replicas, later_servers, seed),
    )
    return [
        _summarize(BY_MEMBERS, *by_members, servers),
        _summarize(BY_CHANCE, *by_chance, servers),
    ]


def numbered_names(kind: str, count: int) -> list[str]:
    """Return names for so many."""
    return [f"{kind}{n:05d}" for n in range(count)]


def random_shares(count: int, sigma: float, seed: int) -> dict[str, float]:
    """Return replicas' requests, as unequal as a lognormal of this sigma."""
    rng = random.Random(seed)
    return {name: rng.lognormvariate(0, sigma) for name in numbered_names("copy", count)}


def equal_weights(count: int) -> dict[str, float]:
    """Return so many servers of weight 1."""
    return dict.fromkeys(numbered_names("server", count), 1.0)


def divide_by_members(
    replicas: Mapping[str, float], servers: Mapping[str, float], rings: int
) -> RequestShares:
    """Divide by arcs of rings."""
    shares: RequestShares = defaultdict(dict)
    for replica, server, length in overlaps(replicas, servers, rings):
        shares[server][replica] = shares[server].get(replica, 0.0) + length
    return shares


def divide_by_chance(
    replicas: Mapping[str, float], servers: Mapping[str, float], seed: int
) -> RequestShares:
    """Divide as each replica draws a subset; each server is in ``SUBSETS_PER_SERVER`` of them."""
    shares: RequestShares = defaultdict(dict)
    names, total = list(servers), sum(replicas.values())
    covering = math.ceil(SUBSETS_PER_SERVER * len(names) / len(replicas))
    subset_size = min(len(names), max(MIN_RANDOM_SUBSET, covering))
    for replica, requests in replicas.items():
        rng = random.Random(f"{seed} {replica}")  # the same whoever else there is
        drawn = sorted(names, key=lambda name: rng.expovariate(servers[name]))[:subset_size]
        weight = sum(servers[name] for name in drawn)
        for name in drawn:
            shares[name][replica] = requests / total * servers[name] / weight
    return shares


def _summarize(
    method: str, before: RequestShares, after: RequestShares, servers: Mapping[str, float]
) -> Forecast:
    total_weight = sum(servers.values())
    loads = sorted(
        sum(before.get(name, {}).values()) * total_weight / weight
        for name, weight in servers.items()
    )
    replica_counts = [len(before.get(name, {})) for name in servers]
    replicas = {replica for shares in before.values() for replica in shares}
    pairs, later_pairs = _pairs(before), _pairs(after)
    return Forecast(
        method,
        max_load=loads[-1],
        p99_load=loads[min(len(loads) - 1, math.ceil(0.99 * len(loads)) - 1)],
        min_load=loads[0],
        mean_replicas_per_server=sum(replica_counts) / len(replica_counts),
        max_replicas_per_server=max(replica_counts),
        mean_servers_per_replica=sum(replica_counts) / max(1, len(replicas)),
        moved_fraction=len(pairs - later_pairs) / len(pairs) if pairs else 0.0,
    )


def _pairs(shares: RequestShares) -> set[tuple[str, str]]:
    return {(replica, server) for server, by_replica in shares.items() for replica in by_replica}
