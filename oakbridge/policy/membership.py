"""The listed servers, indexed so that the cost of a decision does not grow with their number."""

import math

from oakbridge.policy.events import Endpoint
from oakbridge.policy.group_index import GroupIndex
from oakbridge.policy.records import Attempt, Server
from oakbridge.policy.timers import DueQueue
from oakbridge.policy.weighted_pool import SCAN_LENGTH, TieredPool

IndexKeys = tuple[str | None, int | None, int | None]  # zone, cell, version
NO_KEYS: IndexKeys = None, None, None


class Membership:
    """The listed servers: indexes by zone, cell and version, and the subset and the reserve.

    The ejected servers of the subset and the reserve are inactive in their pools.
    """

    def __init__(self, local_zone: str) -> None:
        """``local_zone``: the zone whose servers are near; empty, if crossing is free: all are."""
        self.local_zone = local_zone
        self.version = 0  # number of endpoint lists applied so far
        self.servers: dict[str, Server] = {}
        self.subset = TieredPool[Server]()
        self.reserve = TieredPool[Server]()
        self.by_zone = GroupIndex()
        self.by_cell = GroupIndex()
        self.by_version = GroupIndex()  # by ``listed_since``, oldest first
        self._ejections = DueQueue[Server]()

    def add(self, server: Server, partition: TieredPool[Server], now: int) -> None:
        """Add a server to the list, in the given partition."""
        self.servers[server.id] = server
        self._reindex(server, NO_KEYS, server.index_keys())
        self._place(server, partition, now)

    def remove(self, server: Server) -> None:
        """Remove a server from the list, if it is listed."""
        if self.servers.pop(server.id, None) is not None:
            server.pool.remove(server)
            self._reindex(server, server.index_keys(), NO_KEYS)
            server.partition = None

    def update_entry(self, server: Server, entry: Endpoint, weight: float, now: int) -> None:
        """Update a server from its entry in the endpoint list."""
        old_keys, partition = server.index_keys(), server.partition
        # A new address is a new process, which retries pinned to an older list may not use.
        since = server.listed_since if server.address == entry.address else self.version
        has_restarted = (server.started_at, server.address) != (entry.started_at, entry.address)
        server.delisted = False
        if partition is not None:
            is_unchanged = old_keys == (entry.zone, entry.cell, since) and server.weight == weight
            if is_unchanged and not has_restarted:
                return
            server.pool.remove(server)
        if has_restarted:
            server.started_at, server.address = entry.started_at, entry.address
            server.forget_history()
        server.zone, server.cell, server.listed_since = entry.zone, entry.cell, since
        server.weight = weight
        if partition is not None:
            self._reindex(server, old_keys, server.index_keys())
            self._place(server, partition, now)

    def move(self, server: Server, partition: TieredPool[Server], now: int) -> None:
        """Move a listed server to the given partition."""
        server.pool.remove(server)
        self._place(server, partition, now)

    def set_weight(self, server: Server, weight: float, now: int) -> None:
        """Change the weight of a listed server; does nothing for others."""
        if server.partition is not None and server.weight != weight:
            server.pool.remove(server)
            server.weight = weight
            self._place(server, server.partition, now)

    def update_ejection(self, server: Server, now: int) -> None:
        """Update the pools after a server's ejection has started, ended or been extended."""
        if (partition := server.partition) is None:
            return
        is_ejected = server.ejected_until > now
        if is_ejected != (server.pool in (partition.near_inactive, partition.far_inactive)):
            self.move(server, partition, now)
        elif is_ejected:
            self._ejections.push(server.ejected_until, server)

    def end_ejections(self, now: int) -> None:
        """Return the servers whose ejection has ended to the active pools."""
        while self._ejections.next_due <= now:
            server = self._ejections.pop()
            if server.ejected_until <= now:  # otherwise it was extended, and has a later entry
                self.update_ejection(server, now)

    def ejected_count(self) -> int:
        """Return the number of ejected servers in the list."""
        partitions = self.subset, self.reserve
        return sum(
            partition.near_inactive.count + partition.far_inactive.count for partition in partitions
        )

    def oldest_version(self) -> float:
        """Return the lowest ``listed_since`` of all servers; infinity without servers."""
        return next(iter(self.by_version), math.inf)

    def deduplication_group(self, attempt: Attempt, scope: str) -> dict[str, Server]:
        """Return the servers that drop duplicates of an attempt: those of its zone or cell."""
        zone, cell = self.by_zone.get(attempt.zone, {}), self.by_cell.get(attempt.cell, {})
        return zone if scope == "zone" else cell

    def servers_since(self, version: int) -> list[Server]:
        """Return the servers listed since that version or earlier; if they are many, only some."""
        found: list[Server] = []
        for since, servers in self.by_version.items():
            if since > version or len(found) > SCAN_LENGTH:
                break
            found += servers.values()
        return found

    def _place(self, server: Server, partition: TieredPool[Server], now: int) -> None:
        is_near = not self.local_zone or server.zone == self.local_zone
        is_ejected = server.ejected_until > now
        server.partition = partition
        partition.pool_for(is_near, is_ejected).add(server)
        if is_ejected:
            self._ejections.push(server.ejected_until, server)

    def _reindex(self, server: Server, old_keys: IndexKeys, new_keys: IndexKeys) -> None:
        self.by_zone.move(server.id, server, old_keys[0], new_keys[0])
        self.by_cell.move(server.id, server, old_keys[1], new_keys[1])
        self.by_version.move(server.id, server, old_keys[2], new_keys[2])
