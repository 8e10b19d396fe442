"""Assign one replica its subset of the servers, by what it knows of the others.  Pure.

A node that does not know yet who is there, or is the only one, draws its servers as without any of
this.  While a part of the members is unreachable all keep the subsets that they had, as most such
times are short; after half a minute those that are reachable divide all servers among themselves,
which is even whether the others are dead or only cut off.  Only what is listed counts, as each
node's own discovery tells it; a failing server keeps its arc, and those who use it go elsewhere for
as long as they find it failing.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from oakbridge.peers.view_state import REPLICA_INDEX, ClusterView, Reaction, ViewState
from oakbridge.spread.arcs import subset_weights

KEEP_WHILE_PARTITIONED_US = 30_000_000  # until those that are reachable divide all servers
SETTLE_US = 3_000_000  # between two assignments, unless servers have changed

ZoneAndWeight = tuple[str, float]  # of a listed server


@dataclass(frozen=True, slots=True)
class Replica:
    """A reachable member of this tier."""

    site: str
    requests_per_10s: int = 0  # as it reports it; 0: not told


class ZoneGroup(NamedTuple):
    """Replicas, and servers that they divide among themselves."""

    replicas: dict[str, float]  # shares of the requests
    servers: dict[str, float]  # weights


def request_shares(replicas: Mapping[str, Replica]) -> dict[str, float]:
    """Return each replica's requests; one that has not told them counts as the median one."""
    told = sorted(r.requests_per_10s for r in replicas.values() if r.requests_per_10s)
    median = float(told[len(told) // 2]) if told else 1.0
    return {name: replica.requests_per_10s or median for name, replica in replicas.items()}


class SubsetAssigner:
    """One replica's subset, by its member's view."""

    def __init__(self, name: str, home: str, rings: int) -> None:
        """Begin without members.

        ``home``: the node's zone where crossing zones has a price, else empty.
        """
        self.name = name
        self.home = home
        self.rings = rings
        self.weights: dict[str, float] = {}  # of the subset; empty: as without members
        self.moves = 0  # servers that came into use or went out of it, since the start
        self.replicas: dict[str, Replica] = {}  # by which the subset was assigned
        self.servers: dict[str, ZoneAndWeight] = {}
        self._assigned_at_us = 0
        self._partitioned_since_us: int | None = None

    def update(
        self,
        now_us: int,
        view: ClusterView,
        replicas: Mapping[str, Replica],
        servers: Mapping[str, ZoneAndWeight],
    ) -> dict[str, float] | None:
        """Return the new weights where they have changed, else None; empty: as without members.

        ``replicas``: the reachable ones of the tier, itself included; ``servers``: all listed ones.
        """
        reaction = self._reaction(now_us, view.state)
        if reaction == Reaction.UPDATE and len(replicas) < 2:
            return self._replace({})
        if reaction == Reaction.UPDATE and self._may_follow(now_us, replicas):
            self.replicas = dict(replicas)
            self._assigned_at_us = now_us
        elif not self._may_reassign(reaction) or servers == self.servers:
            return None
        self.servers = dict(servers)
        return self._replace(self._assign())

    def groups(self, *, only_preferred: bool = False) -> Iterator[ZoneGroup]:
        """Yield who divides which servers: with zones, each zone's own replicas, and all others.

        ``only_preferred``: only those whose requests go there as long as nothing fails.
        """
        shares = request_shares(self.replicas)
        if not self.home:
            yield ZoneGroup(shares, {name: weight for name, (_, weight) in self.servers.items()})
            return
        for zone in {zone for zone, _ in self.servers.values()}:
            servers = {
                name: weight
                for name, (server_zone, weight) in self.servers.items()
                if server_zone == zone
            }
            own = {n: share for n, share in shares.items() if self.replicas[n].site == zone}
            others = {n: share for n, share in shares.items() if n not in own}
            if own:
                yield ZoneGroup(own, servers)
            if others and not (own and only_preferred):
                yield ZoneGroup(others, servers)

    def _reaction(self, now_us: int, state: ViewState) -> Reaction:
        if state != ViewState.PARTITIONED:
            self._partitioned_since_us = None
        elif self._partitioned_since_us is None:
            self._partitioned_since_us = now_us
        elif now_us - self._partitioned_since_us >= KEEP_WHILE_PARTITIONED_US:
            return Reaction.UPDATE
        return REPLICA_INDEX.reaction(state)

    def _may_reassign(self, reaction: Reaction) -> bool:
        """Return whether new servers may be divided among the replicas that the subset goes by."""
        return bool(self.replicas) and reaction in (Reaction.UPDATE, Reaction.KEEP)

    def _may_follow(self, now_us: int, replicas: Mapping[str, Replica]) -> bool:
        """Return whether replicas have changed, and long enough after the last assignment."""
        has_settled = not self.replicas or now_us - self._assigned_at_us >= SETTLE_US
        return replicas != self.replicas and has_settled

    def _assign(self) -> dict[str, float]:
        weights: dict[str, float] = {}
        for group in self.groups():
            if self.name in group.replicas:
                weights |= subset_weights(self.name, group.replicas, group.servers, self.rings)
        return weights

    def _replace(self, weights: dict[str, float]) -> dict[str, float] | None:
        if weights == self.weights:
            return None
        if weights and self.weights:
            self.moves += len(weights.keys() ^ self.weights.keys())
        self.weights = weights
        return weights
