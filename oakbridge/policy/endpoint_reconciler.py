"""The list of servers from discovery, as it is taken over, and when discovery is polled again."""

import random
from dataclasses import dataclass, field

from oakbridge.policy import events
from oakbridge.policy.poll_backoff import poll_backoff
from oakbridge.policy.records import Server
from oakbridge.policy.settings import Settings, WeightSource
from oakbridge.policy.slow_start import SlowStart
from oakbridge.policy.subset import Subset

STEADY_WEIGHTS = WeightSource.NOMINAL, WeightSource.ROUGH  # live ones echo what replicas did


@dataclass(eq=False)
class EndpointReconciler:
    """Reconciles the members with the list."""

    settings: Settings
    random: random.Random
    subset: Subset
    slow_start: SlowStart
    is_partial: bool = False  # more of this version follows
    known: dict[str, Server] = field(default_factory=dict)  # also what drains or has attempts
    size_before: int = 0  # servers before this version
    subset_share: float = 0.0  # of these
    announced: list[str] = field(default_factory=list)  # servers that the next list will name

    def poll_delay(self, event: events.EndpointListReceived) -> float:
        """Return when to poll again, in microseconds, after a poll failed."""
        interval = self.settings.poll_interval
        return poll_backoff(self.random, interval, event.waited, event.staleness)

    def apply(self, event: events.EndpointListReceived, now: int) -> None:
        """Keep to the list at once: what drains or is gone gets nothing more."""
        members = self.subset.members
        if not self.is_partial:
            members.version += 1
            self.size_before = len(members.servers)
            self.subset_share = len(members.subset) / max(1, self.size_before)
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
            for server in [s for s in self.known.values() if s.id not in listed]:
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
        """Whether a new server is used: as likely as any, else it would be in fewer subsets."""
        if assignment := self.subset.assignment:
            return entry.id in assignment
        return event.restored or self.random.random() < self.subset_share

    def _update(self, entry: events.Endpoint, now: int) -> Server:
        """Take the facts of an entry over."""
        sized = self.settings.weight_source in STEADY_WEIGHTS and entry.weight > 0
        weight = (entry.weight if sized else 1.0) * self.subset.zone_weights.get(entry.zone, 1.0)
        weight *= self.subset.assignment.get(entry.id, 1.0)
        if (server := self.known.get(entry.id)) is None:
            server = Server(id=entry.id, started=entry.started_at, address=entry.address)
            self.known[entry.id] = server
        self.subset.members.relist(server, entry, weight, now)
        if entry.started_at:
            self.slow_start.warming[entry.id] = server
        if entry.zone in self.subset.closed_zones:
            self.subset.keep_out(server, now)
        return server

    def announce(self, now: int, event: events.EndpointsAnnounced) -> None:
        """Make records of new servers ahead; nothing is sent there before a list names them."""
        for entry in event.endpoints:
            if entry.id not in self.known:
                self._update(entry, now)
                self.announced.append(entry.id)

    def forget(self, server: Server) -> None:
        """Keep nothing of a server that is gone, once no attempt is in flight: ids are ever new."""
        if server.delisted and not server.in_flight:
            self.known.pop(server.id, None)
            self.slow_start.warming.pop(server.id, None)
