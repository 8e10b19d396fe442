"""The listed servers, arranged so that no decision's cost grows with their number."""

import math

from oakbridge.policy.events import Endpoint
from oakbridge.policy.group_index import GroupIndex
from oakbridge.policy.records import Attempt, Server
from oakbridge.policy.timers import DueQueue
from oakbridge.policy.weighted_pool import RING_STEP, TieredPool

Keys = tuple[str | None, int | None, int | None]  # in the indexes
UNLISTED: Keys = None, None, None


class Membership:
    """Servers by zone, cell and version; by partition, where the ejected are inactive."""

    def __init__(self, local_zone: str) -> None:
        """``local_zone``: the own zone, which is near; empty if crossing has no price: all are."""
        self.local_zone = local_zone
        self.version = 0  # of the list: one more with each
        self.servers: dict[str, Server] = {}
        self.subset = TieredPool[Server]()
        self.reserve = TieredPool[Server]()
        self.by_zone = GroupIndex()
        self.by_cell = GroupIndex()
        self.by_version = GroupIndex()  # oldest first: versions only grow
        self._ejection_ends = DueQueue[Server]()

    def add(self, server: Server, partition: TieredPool[Server], now: int) -> None:
        """List a server, in that partition."""
        self.servers[server.id] = server
        self._reindex(server, UNLISTED, server.index_keys())
        self._enter(server, partition, now)

    def remove(self, server: Server) -> None:
        """List a server no more."""
        if self.servers.pop(server.id, None) is not None:
            server.holder.remove(server)
            self._reindex(server, server.index_keys(), UNLISTED)
            server.partition = None

    def relist(self, server: Server, entry: Endpoint, weight: float, now: int) -> None:
        """Take the facts of a list over."""
        before, partition = server.index_keys(), server.partition
        # At another address it is another process: what keeps to an older list may not go there.
        since = server.listed_since if server.address == entry.address else self.version
        restarted = (server.started, server.address) != (entry.started_at, entry.address)
        server.delisted = False
        if partition is not None:
            same = before == (entry.zone, entry.cell, since) and server.weight == weight
            if same and not restarted:
                return
            server.holder.remove(server)
        if restarted:
            server.started, server.address = entry.started_at, entry.address
            server.forget_history()
        server.zone, server.cell, server.listed_since = entry.zone, entry.cell, since
        server.weight = weight
        if partition is not None:
            self._reindex(server, before, server.index_keys())
            self._enter(server, partition, now)

    def move(self, server: Server, partition: TieredPool[Server], now: int) -> None:
        """Put a listed server into that partition."""
        server.holder.remove(server)
        self._enter(server, partition, now)

    def reweight(self, server: Server, weight: float, now: int) -> None:
        """Draw a listed server by another weight from now on."""
        if server.partition is not None and server.weight != weight:
            server.holder.remove(server)
            server.weight = weight
            self._enter(server, server.partition, now)

    def update_ejection(self, server: Server, now: int) -> None:
        """Have draws follow a server's ejection, which may have begun, ended or been prolonged."""
        if (partition := server.partition) is None:
            return
        ejected = server.ejected_until > now
        if ejected != (server.holder in (partition.near_inactive, partition.far_inactive)):
            self.move(server, partition, now)
        elif ejected:
            self._ejection_ends.push(server.ejected_until, server)

    def readmit(self, now: int) -> None:
        """Have those back whose ejection is over."""
        while self._ejection_ends.next_due <= now:
            server = self._ejection_ends.pop()
            if server.ejected_until <= now:  # else it was prolonged, and has a later entry
                self.update_ejection(server, now)

    def ejected_count(self) -> int:
        """Count the ejected servers."""
        partitions = self.subset, self.reserve
        return sum(p.near_inactive.count + p.far_inactive.count for p in partitions)

    def oldest_version(self) -> float:
        """Return the version since which some server is listed; infinity without servers."""
        return next(iter(self.by_version), math.inf)

    def deduplicating(self, attempt: Attempt, scope: str) -> dict[str, Server]:
        """Return the servers of the zone or cell that drop repeats of what was sent there."""
        zone, cell = self.by_zone.get(attempt.zone, {}), self.by_cell.get(attempt.cell, {})
        return zone if scope == "zone" else cell

    def servers_since(self, version: int) -> list[Server]:
        """Return those listed since that version or longer; not all, if they are many."""
        found: list[Server] = []
        for since, servers in self.by_version.items():
            if since > version or len(found) > RING_STEP:
                break
            found += servers.values()
        return found

    def _enter(self, server: Server, partition: TieredPool[Server], now: int) -> None:
        near = not self.local_zone or server.zone == self.local_zone
        ejected = server.ejected_until > now
        server.partition = partition
        partition.set_for(near, ejected).add(server)
        if ejected:
            self._ejection_ends.push(server.ejected_until, server)

    def _reindex(self, server: Server, before: Keys, after: Keys) -> None:
        self.by_zone.move(server.id, server, before[0], after[0])
        self.by_cell.move(server.id, server, before[1], after[1])
        self.by_version.move(server.id, server, before[2], after[2])
