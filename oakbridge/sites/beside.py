"""What ties the plan for lost sites to a node and its member: looks twice a second, and carries out what comes of it.

It decides nothing.  The node serves on, by its own module alone, whatever becomes of this.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

from oakbridge.control.errors import RequestRejectedError
from oakbridge.node.node import Node
from oakbridge.peers.service import MembershipService
from oakbridge.policy.events import LoadSheddingLevel, ZoneWeights
from oakbridge.policy.view import zones
from oakbridge.sites.core import WINDOW, Counts, Decision, Heard, Rates, Sites, UnknownSite

log = logging.getLogger(__name__)

LOOK_S = 0.5


class SitesBeside:
    """One node's sites."""

    def __init__(self, node: Node, peers: MembershipService, sites: Sites) -> None:
        self.node, self.peers, self.sites = node, peers, sites
        self._rates = Rates()
        self._said: Decision | None = None
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> SitesBeside:
        """Begin."""
        self.peers.site_report = self.sites.say
        self.peers.is_urgent = lambda: self.sites.urgent
        self.peers.direct_recipients = lambda: self.sites.tell_to(self.peers.member.live_names())
        self._task = asyncio.get_running_loop().create_task(self._looking())
        return self

    async def __aexit__(self, *_: object) -> None:
        """End; zones are used again as without it."""
        self.peers.site_report = None
        self.peers.is_urgent = lambda: False
        self.peers.direct_recipients = list
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task

    async def _looking(self) -> None:
        while True:
            try:
                self.look()
            except Exception:  # contained: callers are served whatever becomes of this
                log.exception("a look at the sites failed")
            await asyncio.sleep(LOOK_S)

    def heard(self) -> Iterator[Heard]:
        """What each member in reach said last of sites."""
        member, now = self.peers.member, time.monotonic_ns() // 1000
        for name in member.live_names():
            told = member.report(name, now)
            if told is not None and told.report.site_report is not None:
                site = member.members[name].record.tags.get("site", "")
                yield Heard(name, site, told.age_us, told.report.site_report)

    def look(self) -> None:
        """One look: what is known in, what holds out."""
        if self.peers.view is None:
            return
        node, now = self.node, self.node.clock.now()
        module = node.balancer
        came = {name: seen.arrivals for name, seen in module.latency.items()}
        counts = Counts(now, node.served, node.rejected, node.failed, module.shedding.rejected, came)
        own = self._rates.now(counts, zones(module, now, WINDOW))
        decision = self.sites.look(now, time.time_ns() // 1_000_000, self.peers.view, list(self.heard()), own)
        for change in decision.changes:
            log.log(
                logging.INFO if change.after in ("well", "warming") else logging.WARNING,
                "site %s is %s (was %s): %s", change.site, change.after, change.before, change.cause,
                extra={"at_us": time.time_ns() // 1000, "site": change.site, "was": change.before,
                       "state": change.after, "cause": change.cause, "by": ", ".join(change.by)},
            )  # fmt: skip
        before = self._said
        if before is None or decision.parts != before.parts or decision.look:
            node.post(ZoneWeights(decision.parts, decision.look))
        if before is None or (decision.away, decision.salt) != (before.away, before.salt):
            away = dict(decision.away)
            node.post(LoadSheddingLevel(away, away.pop("", 0.0), decision.salt))
        self._said = decision

    # ---- what operators ask

    def describe(self) -> dict[str, Any]:
        """All of it."""
        return {
            "name": self.peers.options.name,
            **self.sites.describe(self.node.clock.now(), list(self.heard())),
        }

    def why(self, name: str) -> list[dict[str, Any]]:
        """How one site came into its state.  Raises KeyError."""
        return self.sites.why(name, self.node.clock.now())

    def operate(self, name: str, out: bool, by: str) -> dict[str, Any]:
        """Drain a site, or return it.  Raises RequestRejectedError."""
        try:
            held = self.sites.operate(time.time_ns() // 1_000_000, name, out, by)
        except UnknownSite as e:
            raise RequestRejectedError(str(e)) from None
        log.warning(
            "operators: site %s is to be %s, by %s", name, "drained" if out else "returned", by or "somebody"
        )
        self.look()
        return {"site": name, "out": held.drained, "stamp": held.stamp_ms, "by": held.operator}
