"""Applies endpoint lists from discovery, and computes the delay until discovery is polled again."""

import random
from dataclasses import dataclass, field

from oakbridge.policy import events
from oakbridge.policy.poll_backoff import poll_backoff
from oakbridge.policy.records import Server
from oakbridge.policy.settings import Settings, WeightSource
from oakbridge.policy.slow_start import SlowStart
from oakbridge.policy.subset import Subset

# Live weights are ignored, as they reflect what the replicas themselves did.
STEADY_WEIGHTS = WeightSource.NOMINAL, WeightSource.ROUGH


@dataclass(eq=False)
class EndpointReconciler:
    """Keeps the membership in line with the endpoint list."""

    settings: Settings
    random: random.Random
    subset: Subset
    slow_start: SlowStart
    is_partial: bool = False  # more changes of this version follow
    # ``known`` holds the servers that are listed, announced, draining or have attempts in flight.
    known: dict[str, Server] = field(default_factory=dict)
    size_before: int = 0  # number of servers before this version
    subset_fraction: float = 0.0  # fraction of them in the subset
    announced: list[str] = field(default_factory=list)  # ids of servers of the next list

    def poll_delay(self, event: events.EndpointListReceived) -> float:
        """Return the delay from a failed poll to the next, in microseconds; below 0: now."""
        interval = self.settings.poll_interval
        return poll_backoff(self.random, interval, event.waited, event.staleness)

    def apply(self, event: events.EndpointListReceived, now: int) -> None:
        """Apply a list or changes; servers that drain or were removed get no further attempts."""
        members = self.subset.members
        if not self.is_partial:
            members.version += 1
            self.size_before = len(members.servers)
            self.subset_fraction = len(members.subset) / max(1, self.size_before)
        self.is_partial = event.more_follow
        dropped: list[Server] = []
        for entry in event.endpoints:
            server = self._update(entry, now)
            if entry.state != events.EndpointState.UP:
                server.delisted = entry.state == events.EndpointState.REMOVED
                dropped.append(server)
            elif server.partition is None:
                server.listed_since = members.version
                partition = members.subset if self._joins_subset(entry, event) else members.reserve
                members.add(server, partition, now)
        if event.complete:
            listed = {entry.id for entry in event.endpoints}
            for server in [known for known in self.known.values() if known.id not in listed]:
                server.delisted = True
                dropped.append(server)
        for server in dropped:
            members.remove(server)
            self.forget(server)
        if not event.more_follow:
            self._forget_announced()

    def _forget_announced(self) -> None:
        for server in [self.known[name] for name in self.announced if name in self.known]:
            if server.partition is None and not server.listed_since:
                del self.known[server.id]
        self.announced = []

    def _joins_subset(self, entry: events.Endpoint, event: events.EndpointListReceived) -> bool:
        """Whether a new server joins the subset: as likely as others, so that no fewer use it."""
        if assignment := self.subset.assignment:
            return entry.id in assignment
        return event.restored or self.random.random() < self.subset_fraction

    def _update(self, entry: events.Endpoint, now: int) -> Server:
        """Create or update the record of a server from its entry in a list."""
        uses_weight = self.settings.weight_source in STEADY_WEIGHTS and entry.weight > 0
        weight = (entry.weight if uses_weight else 1.0) * self.subset.zone_weights.get(
            entry.zone, 1.0
        )
        weight *= self.subset.assignment.get(entry.id, 1.0)
        if (server := self.known.get(entry.id)) is None:
            server = Server(id=entry.id, started_at=entry.started_at, address=entry.address)
            self.known[entry.id] = server
        self.subset.members.update_entry(server, entry, weight, now)
        if entry.started_at:
            self.slow_start.warming[entry.id] = server
        if entry.zone in self.subset.closed_zones:
            self.subset.exclude(server, now)
        return server

    def announce(self, now: int, event: events.EndpointsAnnounced) -> None:
        """Create records of new servers ahead; they get no attempts before a list contains them."""
        for entry in event.endpoints:
            if entry.id not in self.known:
                self._update(entry, now)
                self.announced.append(entry.id)

    def forget(self, server: Server) -> None:
        """Drop a removed server without attempts in flight; each new server adds a record."""
        if server.delisted and not server.in_flight:
            self.known.pop(server.id, None)
            self.slow_start.warming.pop(server.id, None)
