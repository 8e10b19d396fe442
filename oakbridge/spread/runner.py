"""Run a node's subset assignment: update it once a second and pass changes to its balancer."""

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
MAX_INLINE_SERVERS = 500  # dividing fewer takes less than 1 to 2 ms; more are divided in a thread
SERVERS_PER_TURN = 1000  # servers read in one turn of the event loop
NO_LIST_VERSION = -1


class SubsetRunner:
    """Updates one node's subset assignment while its context is open."""

    def __init__(self, node: Node, membership: MembershipService, rings: int) -> None:
        """Prepare; updates start when the context is entered.  ``rings``: number of rings."""
        self._node = node
        self._membership = membership
        self._assigner = SubsetAssigner(
            membership.options.name, node.balancer.members.local_zone, rings
        )
        self._rate = ReportedRate()
        self._list_version = NO_LIST_VERSION
        self._servers: dict[str, ZoneAndWeight] = {}
        self._updates = PeriodicUpdate(
            self.update, UPDATE_INTERVAL_S, "update of the subset assignment failed"
        )

    async def __aenter__(self) -> SubsetRunner:
        """Report the request rate to other members, and start the updates."""
        self._membership.requests_per_10s = self.requests_per_10s
        self._updates.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the reports and updates; the balancer keeps its last subset."""
        self._membership.requests_per_10s = None
        await self._updates.stop()

    def describe(self) -> dict[str, Any]:
        """Return this node's view of the assignment, for ``oakbridge spread``."""
        return operator_view.describe(self._assigner)

    def requests_per_10s(self) -> int:
        """Return the requests in 10 s that this node reports."""
        node = self._node
        return self._rate.update(node.clock.now(), node.served + node.rejected + node.failed)

    async def update(self) -> None:
        """Update the assignment from the present members and servers; apply a change."""
        view = self._membership.view
        if view is None or self._membership.member.replaced_by is not None:
            return
        servers = await self._listed_servers()
        arguments = (self._node.clock.now(), view, self._replicas(), servers)
        if len(servers) > MAX_INLINE_SERVERS:
            weights = await asyncio.to_thread(self._assigner.update, *arguments)
        else:
            weights = self._assigner.update(*arguments)
        if weights is not None:
            count = len(weights) or len(servers)
            log.info("servers divided: %d of %d for this node", count, len(servers))
            self._node.post(SubsetAssignment(weights))

    def _replicas(self) -> Mapping[str, Replica]:
        """Return the reachable replicas of this node's tier, including itself."""
        member, options = self._membership.member, self._membership.options
        own = member.report(options.name, self._node.clock.now())
        own_requests = own.report.requests_per_10s if own is not None else 0
        replicas = {options.name: Replica(options.tags.get("site", ""), own_requests)}
        for name in member.live_names():
            other = member.members[name]
            tags = other.record.tags
            if tags.get("tier", "") == options.tags.get("tier", ""):
                requests = other.report.requests_per_10s if other.report is not None else 0
                replicas[name] = Replica(tags.get("site", ""), requests)
        return replicas

    async def _listed_servers(self) -> dict[str, ZoneAndWeight]:
        """Return the listed servers; read a new list in several turns of the event loop."""
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
