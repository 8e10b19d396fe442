"""Assign one replica its subset of the servers, by its view of the other replicas.  No I/O.

A node that is still learning of the members, or is the only replica, draws a random subset, as
without this package.  While part of the members is unreachable, all replicas keep their
subsets, as most partitions are short.  After ``KEEP_WHILE_PARTITIONED_US`` the reachable replicas
divide all servers among themselves; the load is then even whether the others have failed or are
only cut off.  Servers are those of the node's own endpoint list.  A failing server keeps its arc;
its replicas send their requests to other servers as long as they find it failing.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from oakbridge.peers.view_state import REPLICA_INDEX, ClusterView, Reaction, ViewState
from oakbridge.spread.arcs import subset_weights

KEEP_WHILE_PARTITIONED_US = 30_000_000  # how long replicas keep their subsets in a partition
# Least time between assignments to changed replicas; changed servers are divided at once.
MIN_ASSIGNMENT_INTERVAL_US = 3_000_000

ZoneAndWeight = tuple[str, float]  # of a listed server


@dataclass(frozen=True, slots=True)
class Replica:
    """A reachable replica of this node's tier."""

    site: str
    requests_per_10s: int = 0  # as the replica reports them; 0: not reported


class ZoneGroup(NamedTuple):
    """Replicas, and the servers of a zone that they divide among themselves."""

    replicas: dict[str, float]  # by name: share of the requests, see :func:`request_shares`
    servers: dict[str, float]  # by name: weight


def request_shares(replicas: Mapping[str, Replica]) -> dict[str, float]:
    """Return each replica's requests in 10 s; a replica that reports none gets the median."""
    reported = sorted(each.requests_per_10s for each in replicas.values() if each.requests_per_10s)
    median = float(reported[len(reported) // 2]) if reported else 1.0
    return {name: replica.requests_per_10s or median for name, replica in replicas.items()}


class SubsetAssigner:
    """One replica's subset, by its node's view of the members."""

    def __init__(self, name: str, home: str, rings: int) -> None:
        """Begin without replicas and servers.

        ``home``: the node's zone if requests to other zones have a price, else empty; ``rings``:
        number of rings.
        """
        self.name = name
        self.home = home
        self.rings = rings
        self.weights: dict[str, float] = {}  # of the subset; empty: no subset is assigned
        self.subset_changes = 0  # servers added to the subset or removed from it since the start
        self.replicas: dict[str, Replica] = {}  # those that the present subset is computed from
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
        """Return the subset's new weights, or None if they have not changed.

        Empty weights mean that no subset is assigned.  ``replicas``: all reachable replicas of the
        tier, including this one; ``servers``: all listed servers.
        """
        reaction = self._reaction(now_us, view.state)
        if reaction == Reaction.UPDATE and len(replicas) < 2:
            return self._replace_weights({})
        if reaction == Reaction.UPDATE and self._may_take_replicas(now_us, replicas):
            self.replicas = dict(replicas)
            self._assigned_at_us = now_us
        elif not self._may_take_servers(reaction) or servers == self.servers:
            return None
        self.servers = dict(servers)
        return self._replace_weights(self._assign())

    def groups(self, *, only_preferred: bool = False) -> Iterator[ZoneGroup]:
        """Yield the groups of replicas that divide servers among themselves.

        Without zones there is one group.  With zones, each zone's servers are divided among the
        zone's own replicas, and a second time among all others.  ``only_preferred``: leave out the
        others' groups that get no requests as long as nothing fails.
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
            own = {
                replica: share
                for replica, share in shares.items()
                if self.replicas[replica].site == zone
            }
            others = {replica: share for replica, share in shares.items() if replica not in own}
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

    def _may_take_servers(self, reaction: Reaction) -> bool:
        """Return whether changed servers may be divided among the present replicas."""
        return bool(self.replicas) and reaction in (Reaction.UPDATE, Reaction.KEEP)

    def _may_take_replicas(self, now_us: int, replicas: Mapping[str, Replica]) -> bool:
        """Return whether the replicas have changed and the minimum interval has passed."""
        is_interval_over = (
            not self.replicas or now_us - self._assigned_at_us >= MIN_ASSIGNMENT_INTERVAL_US
        )
        return replicas != self.replicas and is_interval_over

    def _assign(self) -> dict[str, float]:
        weights: dict[str, float] = {}
        for group in self.groups():
            if self.name in group.replicas:
                weights |= subset_weights(self.name, group.replicas, group.servers, self.rings)
        return weights

    def _replace_weights(self, weights: dict[str, float]) -> dict[str, float] | None:
        if weights == self.weights:
            return None
        if weights and self.weights:
            self.subset_changes += len(weights.keys() ^ self.weights.keys())
        self.weights = weights
        return weights
