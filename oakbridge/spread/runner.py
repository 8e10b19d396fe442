"""Run subset assignment beside a node and its member.

It updates the assignment once a second and tells the node's balancer what has changed.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import Any

from oakbridge.node.node import Node
from oakbridge.peers.periodic_update import PeriodicUpdate
from oakbridge.peers.service import MembershipService
from oakbridge.policy.events import SubsetAssignment
from oakbridge.policy.view import server_sizes
from oakbridge.spread import operator_view
from oakbridge.spread.request_rate import ReportedRate
from oakbridge.spread.subset_assigner import Replica, SubsetAssigner, ZoneAndWeight

log = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 1.0
THREAD_ABOVE_SERVERS = 500  # fewer are divided in less than a millisecond or two
SERVERS_PER_TURN = 1000  # that are read in one turn of the event loop
NO_LIST = -1


class SubsetRunner:
    """One node's subset assignment, while the context lasts."""

    def __init__(self, node: Node, membership: MembershipService, rings: int) -> None:
        """Begin nothing yet."""
        self._node = node
        self._membership = membership
        self._assigner = SubsetAssigner(
            membership.options.name, node.balancer.members.local_zone, rings
        )
        self._rate = ReportedRate()
        self._list_version = NO_LIST
        self._servers: dict[str, ZoneAndWeight] = {}
        self._updates = PeriodicUpdate(
            self.update, UPDATE_INTERVAL_S, "a look at how servers are divided failed"
        )

    async def __aenter__(self) -> SubsetRunner:
        """Report the request rate to other members, and begin to update."""
        self._membership.requests_per_10s = self.requests_per_10s
        self._updates.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End; the node's balancer keeps the subset that it has."""
        self._membership.requests_per_10s = None
        await self._updates.stop()

    def describe(self) -> dict[str, Any]:
        """Return all that operators see of the division of servers."""
        return operator_view.describe(self._assigner)

    def requests_per_10s(self) -> int:
        """Return what this node reports of its requests."""
        node = self._node
        return self._rate.update(node.clock.now(), node.served + node.rejected + node.failed)

    async def update(self) -> None:
        """Take in what is known now, and apply what it changes."""
        view = self._membership.view
        if view is None or self._membership.member.replaced_by is not None:
            return
        servers = await self._listed_servers()
        known = (self._node.clock.now(), view, self._replicas(), servers)
        if len(servers) > THREAD_ABOVE_SERVERS:
            weights = await asyncio.to_thread(self._assigner.update, *known)
        else:
            weights = self._assigner.update(*known)
        if weights is not None:
            count = len(weights) or len(servers)
            log.info("servers divided: %d of %d for this node", count, len(servers))
            self._node.post(SubsetAssignment(weights))

    def _replicas(self) -> Mapping[str, Replica]:
        """Return the reachable members of this tier, this one among them."""
        member, options = self._membership.member, self._membership.options
        own = member.report(options.name, self._node.clock.now())
        own_requests = own.report.requests_per_10s if own is not None else 0
        replicas = {options.name: Replica(options.tags.get("site", ""), own_requests)}
        for name in member.live_names():
            known = member.members[name]
            tags = known.record.tags
            if tags.get("tier", "") == options.tags.get("tier", ""):
                requests = known.report.requests_per_10s if known.report is not None else 0
                replicas[name] = Replica(tags.get("site", ""), requests)
        return replicas

    async def _listed_servers(self) -> dict[str, ZoneAndWeight]:
        """Return the listed servers; read another list in short turns."""
        balancer = self._node.balancer
        if balancer.members.version == self._list_version or balancer.endpoints.is_partial:
            return self._servers
        version, names = balancer.members.version, list(balancer.servers)
        servers: dict[str, ZoneAndWeight] = {}
        for first in range(0, len(names), SERVERS_PER_TURN):
            servers |= server_sizes(balancer, names[first : first + SERVERS_PER_TURN])
            await asyncio.sleep(0)
        self._list_version = version
        self._servers = servers
        return servers
