"""What ties the division of servers to a node and its member: a look a second, and the module told what comes of it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from contextlib import suppress
from typing import Any

from oakbridge.node.node import Node
from oakbridge.peers.service import MembershipService
from oakbridge.policy.events import SubsetAssignment
from oakbridge.policy.view import listed
from oakbridge.spread.core import Copy, Rate, Spread

log = logging.getLogger(__name__)

LOOK_S = 1.0
IN_A_THREAD = 500  # servers; fewer are divided in less than a millisecond or two
AT_ONCE = 1000  # servers that are read in one turn of the loop


class SpreadBeside:
    """One node's part."""

    def __init__(self, node: Node, peers: MembershipService, rings: int) -> None:
        self.node, self.peers = node, peers
        self.spread = Spread(peers.options.name, node.balancer.members.local_zone, rings)
        self._rate = Rate()
        self._version, self._servers = -1, dict[str, tuple[str, float]]()  # of the list, and who is on it
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> SpreadBeside:
        """Begin."""
        self.peers.request_rate = self.weight
        self._task = asyncio.get_running_loop().create_task(self._looking())
        return self

    async def __aexit__(self, *_: object) -> None:
        """End; servers are drawn again as without it."""
        self.peers.request_rate = None
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task

    def weight(self) -> int:
        """What this node tells of its requests."""
        node = self.node
        return self._rate.note(node.clock.now(), node.served + node.rejected + node.failed)

    async def _looking(self) -> None:
        while True:
            try:
                await self.look()
            except Exception:  # contained: callers are served whatever becomes of this
                log.exception("a look at how servers are divided failed")
            await asyncio.sleep(LOOK_S)

    def copies(self) -> Mapping[str, Copy]:
        """Members of this tier in reach, this one among them."""
        member, now = self.peers.member, self.node.clock.now()
        tier = self.peers.options.tags.get("tier", "")
        site = self.peers.options.tags.get("site", "")
        found = {}
        mine = member.report(self.peers.options.name, now)
        found[self.peers.options.name] = Copy(site, mine.report.requests_per_10s if mine is not None else 0)
        for name in member.live_names():
            tags = member.members[name].record.tags
            if tags.get("tier", "") == tier:
                told = member.members[name].report
                found[name] = Copy(tags.get("site", ""), told.requests_per_10s if told is not None else 0)
        return found

    async def _listed(self) -> dict[str, tuple[str, float]]:
        """The servers of the list that holds now, read anew only where it is another one, in short turns."""
        module = self.node.balancer
        if module.members.version != self._version and not module.endpoints.in_pieces:
            version, names = module.members.version, list(module.servers)
            found = dict[str, tuple[str, float]]()
            for first in range(0, len(names), AT_ONCE):
                found |= listed(module, names[first : first + AT_ONCE])
                await asyncio.sleep(0)
            self._version, self._servers = version, found
        return self._servers

    async def look(self) -> None:
        """One look."""
        if self.peers.view is None or self.peers.member.replaced_by is not None:
            return
        servers = await self._listed()
        given = (self.node.clock.now(), self.peers.view, self.copies(), servers)
        if len(servers) > IN_A_THREAD:
            found = await asyncio.to_thread(self.spread.look, *given)
        else:
            found = self.spread.look(*given)
        if found is not None:
            log.info("servers divided: %d of %d for this node", len(found) or len(servers), len(servers))
            self.node.post(SubsetAssignment(found))

    # ---- what operators ask

    def describe(self) -> dict[str, Any]:
        """All of it."""
        return self.spread.describe()
