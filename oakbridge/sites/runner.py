"""Run a node's sites: update them twice a second and apply their decisions to its balancer.

The runner decides nothing itself.  If it fails, the node goes on serving requests by its balancer
alone.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from typing import Any

from oakbridge.control.errors import RequestRejectedError
from oakbridge.node.node import Node
from oakbridge.peers.periodic_update import PeriodicUpdate
from oakbridge.peers.service import MembershipService
from oakbridge.policy.events import LoadSheddingLevel, ZoneWeights
from oakbridge.policy.view import zone_views
from oakbridge.sites import operator_view
from oakbridge.sites.errors import SiteOverrideError
from oakbridge.sites.fleet_load_shedding import OVER_QUOTA
from oakbridge.sites.node_sites import (
    OBSERVATION_WINDOW_US,
    UPDATES_PER_S,
    NodeSites,
    ReceivedReport,
    SitesDecision,
)
from oakbridge.sites.request_rates import LocalObservations, RequestCounts, RequestRates
from oakbridge.sites.site_state import SiteState, SiteTransition

log = logging.getLogger(__name__)

NS_PER_US = 1_000
NS_PER_MS = 1_000_000


class SitesRunner:
    """Updates one node's sites while its context is open."""

    def __init__(self, node: Node, membership: MembershipService, sites: NodeSites) -> None:
        """Prepare; updates start when the context is entered."""
        self._node = node
        self._membership = membership
        self._sites = sites
        self._rates = RequestRates()
        self._applied_decision: SitesDecision | None = None
        interval_s = 1 / UPDATES_PER_S
        self._updates = PeriodicUpdate(self._update, interval_s, "update of sites failed")

    async def __aenter__(self) -> SitesRunner:
        """Report sites to other members, and start the updates."""
        self._membership.site_report = self._sites.report
        self._membership.is_report_urgent = lambda: self._sites.is_report_urgent
        self._membership.direct_recipients = self._direct_recipients
        self._updates.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the reports and updates; the balancer keeps the last decision."""
        self._membership.site_report = None
        self._membership.is_report_urgent = lambda: False
        self._membership.direct_recipients = list
        await self._updates.stop()

    def describe(self) -> dict[str, Any]:
        """Return this node's view of all sites, for ``oakbridge sites``."""
        now_us = self._node.clock.now()
        described = operator_view.describe(self._sites, now_us, list(self._received_reports()))
        return {"name": self._membership.options.name, **described}

    def state_history(self, name: str) -> list[dict[str, Any]]:
        """Return the changes of a site's state, oldest first.  Raises KeyError."""
        return operator_view.state_history(self._sites.sites[name], self._node.clock.now())

    def drain_or_return(self, site: str, drain: bool, operator: str) -> dict[str, Any]:
        """Drain a site if ``drain`` is set, else return it.  Raises RequestRejectedError."""
        try:
            override = self._sites.override(_clock_ms(), site, operator, drained=drain)
        except SiteOverrideError as error:
            raise RequestRejectedError(str(error)) from None
        order = "drained" if drain else "returned"
        log.warning(
            "operator override received: site=%s order=%s operator=%s",
            site,
            order,
            operator or "somebody",
        )
        self.update()
        return {
            "site": site,
            "out": override.drained,
            "stamp": override.stamp_ms,
            "by": override.operator,
        }

    def update(self) -> None:
        """Update the sites from the present observations and reports; apply the decision."""
        view = self._membership.view
        if view is None:
            return
        now_us = self._node.clock.now()
        local = self._local_observations(now_us)
        reports = list(self._received_reports())
        decision = self._sites.update(now_us, _clock_ms(), view, reports, local)
        for transition in decision.transitions:
            _log_transition(transition)
        self._apply(decision)

    async def _update(self) -> None:
        self.update()

    def _apply(self, decision: SitesDecision) -> None:
        previous = self._applied_decision
        weights = decision.zone_weights
        if previous is None or weights != previous.zone_weights or decision.probe_zones:
            self._node.post(ZoneWeights(weights, decision.probe_zones))
        rejected = decision.rejected_fractions
        if previous is None or (rejected, decision.salt) != (
            previous.rejected_fractions,
            previous.salt,
        ):
            by_class = dict(rejected)
            over_quota = by_class.pop(OVER_QUOTA, 0.0)
            self._node.post(LoadSheddingLevel(by_class, over_quota, decision.salt))
        self._applied_decision = decision

    def _direct_recipients(self) -> list[str]:
        return self._sites.direct_recipients(self._membership.member.live_names())

    def _received_reports(self) -> Iterator[ReceivedReport]:
        """Yield each reachable member's last report on sites."""
        member = self._membership.member
        now_us = time.monotonic_ns() // NS_PER_US
        for name in member.live_names():
            last = member.report(name, now_us)
            if last is not None and last.report.site_report is not None:
                site = member.members[name].record.tags.get("site", "")
                yield ReceivedReport(name, site, last.age_us, last.report.site_report)

    def _local_observations(self, now_us: int) -> LocalObservations:
        node, balancer = self._node, self._node.balancer
        counts = RequestCounts(
            now_us,
            served=node.served,
            rejected=node.rejected,
            failed=node.failed,
            shed=balancer.shedding.rejected,
            arrived={name: latency.arrivals for name, latency in balancer.latency.items()},
        )
        return self._rates.update(counts, zone_views(balancer, now_us, OBSERVATION_WINDOW_US))


def _clock_ms() -> int:
    return time.time_ns() // NS_PER_MS


def _log_transition(transition: SiteTransition) -> None:
    is_good = transition.after in (SiteState.HEALTHY, SiteState.WARMING_UP)
    log.log(
        logging.INFO if is_good else logging.WARNING,
        "site state changed: site=%s state=%s previous_state=%s cause=%s",
        transition.site,
        transition.after.value,
        transition.before.value,
        transition.cause,
        extra={
            "at_us": time.time_ns() // NS_PER_US,
            "site": transition.site,
            "was": transition.before.value,
            "state": transition.after.value,
            "cause": transition.cause,
            "by": ", ".join(transition.reporters),
        },
    )
