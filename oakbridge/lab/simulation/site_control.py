"""Site plans in a simulated fleet: each replica runs NodeSites on the other replicas' reports."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import partial

from oakbridge.lab.simulation.clients import Outcome, SimulatedClients
from oakbridge.lab.simulation.event_queue import SECOND_US, EventQueue
from oakbridge.peers.messages import SiteReport
from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import Event, LoadSheddingLevel, ZoneWeights
from oakbridge.policy.settings import RequestClass
from oakbridge.policy.view import zone_views
from oakbridge.sites.node_sites import OBSERVATION_WINDOW_US, NodeSites, ReceivedReport
from oakbridge.sites.request_rates import RequestCounts, RequestRates

REPORT_INTERVAL_US = 2 * SECOND_US  # halved while a report is urgent
UPDATE_INTERVAL_US = SECOND_US // 2
REPORT_DELAY_US = SECOND_US // 2  # delivery time between replicas


class SiteControl:
    """Updates each replica's site plan twice a second, from reports that are up to 2.5 s old."""

    def __init__(
        self,
        events: EventQueue,
        balancers: Sequence[Balancer],
        homes: Sequence[str],
        classes: Sequence[RequestClass],
        seed: int,
        clients: SimulatedClients,
        deliver: Callable[[int, Event], None],
    ) -> None:
        """``homes``: the site of each replica."""
        self._events = events
        self._balancers = balancers
        self._homes = homes
        self._clients = clients
        self._deliver = deliver
        weights = {request_class.name: request_class.priority_weight for request_class in classes}
        self._plans = [
            NodeSites(f"n{replica}", home, weights, seed * 1000 + replica)
            for replica, home in enumerate(homes)
        ]
        self._rates = [RequestRates() for _ in homes]
        # The latest report of each replica, with the time of sending.
        self._reports: dict[int, tuple[int, SiteReport]] = {}

    def start(self, rng: random.Random) -> None:
        """Schedule each replica's first update at a random time within the interval."""
        for replica in range(len(self._plans)):
            self._events.schedule(rng.randrange(UPDATE_INTERVAL_US), partial(self._update, replica))

    def _update(self, replica: int) -> None:
        plan, now = self._plans[replica], self._events.now
        own_rates = self._rates[replica].update(
            self._request_counts(replica),
            zone_views(self._balancers[replica], now, OBSERVATION_WINDOW_US),
        )
        complete_view = ClusterView(ViewState.COMPLETE, known=len(self._balancers), unreachable=0)
        decision = plan.update(
            now, now // 1000, complete_view, self._received_reports(replica), own_rates
        )
        if self._is_report_due(replica, is_urgent=plan.is_report_urgent):
            self._reports[replica] = now, plan.report()
        self._deliver(replica, ZoneWeights(decision.zone_weights, decision.probe_zones))
        self._deliver(
            replica, LoadSheddingLevel(dict(decision.rejected_fractions), 0.0, decision.salt)
        )
        self._events.schedule(now + UPDATE_INTERVAL_US, lambda: self._update(replica))

    def _received_reports(self, replica: int) -> list[ReceivedReport]:
        now = self._events.now
        return [
            ReceivedReport(f"n{other}", self._homes[other], now - sent_us + REPORT_DELAY_US, report)
            for other, (sent_us, report) in self._reports.items()
            if other != replica
        ]

    def _request_counts(self, replica: int) -> RequestCounts:
        balancer = self._balancers[replica]
        arrivals = {name: latency.arrivals for name, latency in balancer.latency.items()}
        served, rejected, failed = (
            self._clients.by_replica[replica, outcome]
            for outcome in (Outcome.SERVED, Outcome.REJECTED, Outcome.FAILED)
        )
        shed = balancer.shedding.rejected
        return RequestCounts(self._events.now, served, rejected, failed, shed, arrivals)

    def _is_report_due(self, replica: int, *, is_urgent: bool) -> bool:
        if replica not in self._reports:
            return True
        sent_us, _ = self._reports[replica]
        return self._events.now - sent_us >= REPORT_INTERVAL_US // (2 if is_urgent else 1)
