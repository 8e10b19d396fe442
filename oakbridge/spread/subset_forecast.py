"""Forecast the subsets of a tier of a given size: evenness, connections, changed subsets.  No I/O.

The figures are computed, not measured: each replica's requests are divided exactly by the weights
of its servers.  Random variation within a time window comes on top of them.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from oakbridge.policy.subset import SUBSETS_PER_SERVER
from oakbridge.spread.arcs import overlaps

MIN_RANDOM_SUBSET = 4  # least number of servers in a random subset
BY_MEMBERS = "by members"  # deterministic subsets, see ``arcs``
BY_CHANCE = "by chance"  # random subsets, as without members

RequestShares = dict[str, dict[str, float]]  # by server and replica: share of all requests


@dataclass(frozen=True, slots=True)
class TierSize:
    """The numbers of replicas of a tier and of the servers that they use."""

    replicas: int
    servers: int


@dataclass(frozen=True, slots=True)
class Forecast:
    """The forecast for one method at one size, and for a change to another size.

    Loads are those of servers, as ratios to their fair shares.
    """

    method: str
    max_load: float
    p99_load: float
    min_load: float
    mean_replicas_per_server: float  # also the least number of a server's idle connections
    max_replicas_per_server: int
    mean_servers_per_replica: float
    moved_fraction: float  # of the pairs of replica and server: those that the change removes


def forecast(
    before: TierSize, after: TierSize, *, rings: int, sigma: float, seed: int
) -> list[Forecast]:
    """Return the forecasts of both methods, by members and by chance, for a change of size.

    ``sigma``: how unequal the replicas' requests are, see :func:`random_shares`.
    """
    replicas = random_shares(before.replicas, sigma, seed)
    servers = equal_weights(before.servers)
    later_replicas = random_shares(after.replicas, sigma, seed)
    later_servers = equal_weights(after.servers)
    by_members = (
        divide_by_arcs(replicas, servers, rings),
        divide_by_arcs(later_replicas, later_servers, rings),
    )
    by_chance = (
        divide_by_random_subsets(replicas, servers, seed),
        divide_by_random_subsets(later_replicas, later_servers, seed),
    )
    return [
        _summarize(BY_MEMBERS, *by_members, servers),
        _summarize(BY_CHANCE, *by_chance, servers),
    ]


def numbered_names(kind: str, count: int) -> list[str]:
    """Return ``count`` names, each of the kind and a number."""
    return [f"{kind}{index:05d}" for index in range(count)]


def random_shares(count: int, sigma: float, seed: int) -> dict[str, float]:
    """Return replicas' requests, drawn from a lognormal distribution of this sigma."""
    rng = random.Random(seed)
    return {name: rng.lognormvariate(0, sigma) for name in numbered_names("copy", count)}


def equal_weights(count: int) -> dict[str, float]:
    """Return ``count`` servers of weight 1."""
    return dict.fromkeys(numbered_names("server", count), 1.0)


def divide_by_arcs(
    replicas: Mapping[str, float], servers: Mapping[str, float], rings: int
) -> RequestShares:
    """Return each server's requests if each replica uses the subset that its arcs give."""
    shares: RequestShares = defaultdict(dict)
    for replica, server, length in overlaps(replicas, servers, rings):
        shares[server][replica] = shares[server].get(replica, 0.0) + length
    return shares


def divide_by_random_subsets(
    replicas: Mapping[str, float], servers: Mapping[str, float], seed: int
) -> RequestShares:
    """Return each server's requests if each replica draws its subset at random.

    Subsets are large enough that each server is in ``SUBSETS_PER_SERVER`` of them on average.
    """
    shares: RequestShares = defaultdict(dict)
    names, total = list(servers), sum(replicas.values())
    covering_size = math.ceil(SUBSETS_PER_SERVER * len(names) / len(replicas))
    subset_size = min(len(names), max(MIN_RANDOM_SUBSET, covering_size))
    for replica, requests in replicas.items():
        rng = random.Random(f"{seed} {replica}")  # draws don't depend on the other replicas
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
