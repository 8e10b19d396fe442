"""All sites as one node holds them: from observations and reports to a decision.  No I/O.

Each update takes the node's observations and the other members' reports, and returns zone weights
and rejected fractions.  The node's balancer applies them until the next update: this module rejects
no request itself and closes no zone for good.  If every site is lost, all are used again.  A node
that is isolated, or in the smaller part of a partitioned fleet, may itself be the faulty one: it
does not judge other sites, and while it can use its own site's servers it sends other sites no
requests.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from oakbridge.peers.messages import (
    MAX_SITES,
    MAX_TEXT_LENGTH,
    SiteObservation,
    SiteOverride,
    SiteReport,
    SiteVerdict,
)
from oakbridge.peers.view_state import (
    SITE_VERDICT_LARGER_PARTITION,
    SITE_VERDICT_SMALLER_PARTITION,
    ClusterView,
    Reaction,
    ViewState,
)
from oakbridge.policy.view import ZoneView
from oakbridge.sites.errors import LastSiteError, UnknownSiteError
from oakbridge.sites.evidence import MAX_AGE_US, Evidence, MemberObservations, pool_evidence
from oakbridge.sites.fleet_load_shedding import (
    FleetLoadShedding,
    elect_leader,
    fleet_overload,
    rank_classes,
)
from oakbridge.sites.operator_overrides import OperatorOverrides
from oakbridge.sites.plan_file import SitePlan
from oakbridge.sites.recovery_ramp import MIN_STEP_US
from oakbridge.sites.request_rates import LocalObservations
from oakbridge.sites.site_state import SiteState, SiteStateMachine, SiteTransition
from oakbridge.sites.zone_weights import planned_weights

PROBES_PER_S = 5.0  # probes of a lost site, sent by all nodes together
UPDATES_PER_S = 2
MAX_DRAIN_OVERLOAD = 0.05  # drains pause while the fleet's overload is higher
OBSERVATION_WINDOW_US = 4_000_000  # how long an attempt's result counts as an observation
SALT_PERIOD_MS = 60_000  # how long the same clients of a class are rejected
MAX_REPORTED_REQUESTS_PER_S = 1_000_000
MIN_RANK_FRACTION = 0.001  # a rank with a smaller fraction of all requests counts as this
PER_MILLE = 1000


@dataclass(frozen=True, slots=True)
class SitesOptions:
    """Options of a node's sites."""

    warm_up_us: int = 30_000_000  # how long a server takes to be warm
    min_step_us: int = MIN_STEP_US  # least duration of a step of a recovery or drain ramp


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """Another member's last report, and its age."""

    name: str
    site: str  # the member's own site
    age_us: int
    report: SiteReport

    @property
    def is_fresh(self) -> bool:
        """Whether the report is recent enough to be used."""
        return self.age_us <= MAX_AGE_US

    @property
    def observations(self) -> MemberObservations:
        """The member's observations of sites."""
        return MemberObservations(self.name, self.site, self.age_us, self.report.observations)

    @property
    def leader_level(self) -> float | None:
        """The load-shedding level if the member set it as the leader, else None."""
        if self.report.shedding_leader != self.name:
            return None
        return self.report.shedding_per_mille / PER_MILLE


@dataclass(frozen=True, slots=True)
class SitesDecision:
    """The decision that a node applies until the next update."""

    zone_weights: dict[str, float]  # only zones with a weight below 1
    probe_zones: tuple[str, ...]  # closed zones that get a probe now
    rejected_fractions: dict[str, float]  # by class, "" for requests beyond tenants' quotas
    salt: int  # selects which clients of a class are rejected
    transitions: tuple[SiteTransition, ...] = ()


class NodeSites:
    """The states of all sites, the load-shedding level and operators' overrides at one node."""

    def __init__(
        self,
        name: str,
        home: str,
        priority_weights: Mapping[str, float],
        seed: int,
        *,
        has_quotas: bool = False,
        options: SitesOptions | None = None,
        plan: SitePlan | None = None,
    ) -> None:
        """Begin without sites; they are added as local observations name them.

        ``home``: the node's own site; ``priority_weights``: by class.
        """
        self.name = name
        self.home = home
        self.options = options or SitesOptions()
        self.plan = plan
        self.sites: dict[str, SiteStateMachine] = {}
        self.shedding = FleetLoadShedding(rank_classes(priority_weights, has_quotas=has_quotas))
        self.overrides = OperatorOverrides()
        self.evidence: dict[str, Evidence] = {}
        self.overload = 0.0  # of the fleet, a fraction of the admitted requests
        self.decision = SitesDecision({}, (), {}, 0)
        self._random = random.Random(seed)
        self._local = LocalObservations((), 0.0, 0.0, {})
        self._lost: frozenset[str] = frozenset()
        self._usable_servers = 0.0  # listed servers, weighted by their sites' fractions

    @property
    def plan_version(self) -> int:
        """The plan's version; 0 without a plan."""
        return self.plan.version if self.plan is not None else 0

    @property
    def is_report_urgent(self) -> bool:
        """Whether other members need this node's reports sooner than usual."""
        settled = (SiteState.HEALTHY, SiteState.DRAINING)
        return self.shedding.level > 0 or any(
            site.state not in settled for site in self.sites.values()
        )

    # ---- operators

    def override(self, clock_ms: int, site: str, operator: str, *, drained: bool) -> SiteOverride:
        """Drain a site, or return it to service; a repeated override changes nothing.

        ``clock_ms``: wall clock, by which overrides are ordered; ``operator``: who gave the
        command.  Raises SiteOverrideError.
        """
        if site not in self.sites:
            raise UnknownSiteError(site, self.sites)
        previous = self.overrides.by_site.get(site)
        if previous is not None and previous.drained == drained:
            return previous
        if drained and not self._has_other_site_in_service(site):
            raise LastSiteError(site)
        return self.overrides.set_override(clock_ms, site, operator, drained=drained)

    def _has_other_site_in_service(self, drained: str) -> bool:
        others = (site for name, site in self.sites.items() if name != drained)
        return any(site.fraction() > 0 and site.state != SiteState.DRAINING for site in others)

    # ---- reports to other members

    def direct_recipients(self, reachable: Sequence[str]) -> list[str]:
        """Return the members to which this node sends urgent reports directly.

        The leader sends them to all reachable members, every other member to the leader.
        """
        if not self.is_report_urgent or not reachable:
            return []
        leader = elect_leader([self.name, *reachable])
        return list(reachable) if leader == self.name else [leader]

    def report(self) -> SiteReport:
        """Return this node's report; its observations are of lost sites first, then by failures."""
        verdicts = {name: _verdict(site) for name, site in self.sites.items() if site.is_lost}
        zones = sorted(
            self._local.zones,
            key=lambda zone: (zone.zone not in verdicts, -(zone.timed_out + zone.failed)),
        )
        observations = tuple(
            _observation(zone, verdicts.get(zone.zone, SiteVerdict.NONE))
            for zone in zones
            if zone.responding + zone.timed_out + zone.failed or zone.zone in verdicts
        )
        return SiteReport(
            observations[:MAX_SITES],
            calls_per_s=min(MAX_REPORTED_REQUESTS_PER_S, round(self._local.admitted_per_s)),
            overload_per_mille=round(PER_MILLE * self._local.overload),
            shedding_per_mille=round(PER_MILLE * self.shedding.level),
            shedding_leader=self.shedding.leader,
            overrides=self.overrides.to_report(),
            plan_version=self.plan_version,
        )

    # ---- updates

    def update(
        self,
        now_us: int,
        clock_ms: int,
        view: ClusterView,
        reports: Sequence[ReceivedReport],
        local: LocalObservations,
    ) -> SitesDecision:
        """Update all sites and return the decision; call it ``UPDATES_PER_S`` times a second.

        ``now_us``: monotonic; ``clock_ms``: wall clock, by which overrides are ordered;
        ``reports``: of all reachable members; ``local``: this node's observations.
        """
        self._local = local
        for received in reports:
            self.overrides.merge(clock_ms, received.report.overrides, self.sites)
        for zone in local.zones:
            self._add_site(zone.zone)
        self.overload = self._fleet_overload(reports)
        self._update_shedding(now_us, reports)
        transitions = self._update_states(now_us, view, reports)
        weights = self._zone_weights(view)
        self.decision = SitesDecision(
            weights,
            self._choose_probe_zones(weights, len(reports) + 1),
            self.shedding.rejected_fractions,
            clock_ms // SALT_PERIOD_MS,
            transitions,
        )
        return self.decision

    def _add_site(self, name: str) -> None:
        if name and name not in self.sites:
            options = self.options
            self.sites[name] = SiteStateMachine(
                name, name == self.home, options.warm_up_us, options.min_step_us
            )

    def _fleet_overload(self, reports: Sequence[ReceivedReport]) -> float:
        """Return the overload of all members with fresh reports.

        With old reports the level would go on rising long after it is high enough.
        """
        fresh = [received.report for received in reports if received.is_fresh]
        others = ((report.overload_per_mille / PER_MILLE, report.calls_per_s) for report in fresh)
        return fleet_overload([(self._local.overload, self._local.admitted_per_s), *others])

    def _update_shedding(self, now_us: int, reports: Sequence[ReceivedReport]) -> None:
        previous_usable = self._usable_servers
        self._usable_servers = sum(
            zone.listed * self.sites[zone.zone].fraction()
            for zone in self._local.zones
            if zone.zone in self.sites
        )
        leader = elect_leader([self.name, *(received.name for received in reports)])
        if leader != self.name:
            received = next(received for received in reports if received.name == leader)
            self.shedding.follow(now_us, leader, received.leader_level)
            return
        if 0 < previous_usable < self._usable_servers and self.shedding.level > 0:
            self.shedding.scale_admitted(
                self._usable_servers / previous_usable, self._rank_fractions()
            )
        self.shedding.adjust(now_us, self.name, self.overload, self._rank_fractions())

    def _update_states(
        self, now_us: int, view: ClusterView, reports: Sequence[ReceivedReport]
    ) -> tuple[SiteTransition, ...]:
        members = [received.observations for received in reports]
        own_observations = tuple(
            SiteObservation(each.zone, each.responding, each.timed_out, each.failed)
            for each in self._local.zones
        )
        members.append(MemberObservations(self.name, self.home, 0, own_observations))
        listed = {zone.zone: zone.listed for zone in self._local.zones}
        transitions = []
        for name, site in self.sites.items():
            self.evidence[name] = pool_evidence(
                name,
                self.home,
                members,
                is_unreachable=name in view.unreachable_sites,
                listed_servers=listed.get(name, 0),
                with_verdicts=site.state in (SiteState.HEALTHY, SiteState.SUSPECT),
            )
            if name != self.home and _must_not_judge_other_sites(view):
                continue  # this node may be the faulty one: other sites keep their states
            previous_state = site.state
            self._update_state(now_us, site)
            if site.state != previous_state:
                transitions.append(site.history[-1])
        self._apply_planned_shedding()
        return tuple(transitions)

    def _update_state(self, now_us: int, site: SiteStateMachine) -> None:
        site.update(
            now_us,
            self.evidence[site.name],
            drained=self.overrides.is_drained(site.name),
            other_site_faulty=any(
                other.is_faulty for other in self.sites.values() if other is not site
            ),
            is_overloaded=self.overload > MAX_DRAIN_OVERLOAD,
        )

    def _apply_planned_shedding(self) -> None:
        """Raise the load-shedding level to the plan's once another site is lost."""
        lost = frozenset(name for name, site in self.sites.items() if site.is_lost)
        scenario = self.plan.scenario(lost) if self.plan is not None and lost > self._lost else None
        if scenario is not None:
            rank_fractions = self._rank_fractions()
            planned = scenario.rejected_fractions
            rejected_fraction = sum(
                fraction * planned.get(rank.class_name, 0.0)
                for rank, fraction in zip(self.shedding.ranks, rank_fractions, strict=True)
            )
            self.shedding.raise_to_reject(rejected_fraction, rank_fractions)
        self._lost = lost

    def _rank_fractions(self) -> list[float]:
        """Return the fraction of all requests that each load-shedding rank has, in their order."""
        class_fractions = self._local.class_fractions
        names = [rank.class_name for rank in self.shedding.ranks]
        fractions = [max(MIN_RANK_FRACTION, class_fractions.get(name, 0.0)) for name in names]
        return [fraction / sum(fractions) for fraction in fractions]

    def _zone_weights(self, view: ClusterView) -> dict[str, float]:
        home = self.sites.get(self.home)
        if (
            _must_not_judge_other_sites(view)
            and home is not None
            and home.fraction() > 0
            and view.unreachable
        ):
            return dict.fromkeys((name for name in self.sites if name != self.home), 0.0)
        weights = {name: site.fraction() for name, site in self.sites.items()}
        if not any(weights.values()):
            return {}  # with every site lost, all are used
        if self.plan is not None and self._lost:
            weights = planned_weights(self.plan, self.home, self._lost, weights)
        return {name: weight for name, weight in weights.items() if weight < 1}

    def _choose_probe_zones(self, weights: Mapping[str, float], nodes: int) -> tuple[str, ...]:
        """Choose the closed zones to which this node sends one request as a probe now.

        ``nodes``: all nodes that probe; each probes at random, so that all nodes together send
        ``PROBES_PER_S`` to a zone.
        """
        probability = PROBES_PER_S / UPDATES_PER_S / nodes
        return tuple(
            name
            for name, weight in sorted(weights.items())
            if weight <= 0
            and self.sites[name].state != SiteState.DRAINING
            and self._random.random() < probability
        )


def _must_not_judge_other_sites(view: ClusterView) -> bool:
    """Return whether a node with this view may itself be the faulty one."""
    if view.state not in (ViewState.PARTITIONED, ViewState.ISOLATED):
        return False
    view_use = (
        SITE_VERDICT_LARGER_PARTITION
        if view.is_larger_partition
        else SITE_VERDICT_SMALLER_PARTITION
    )
    return view_use.reaction(view.state) == Reaction.DISCARD


def _verdict(site: SiteStateMachine) -> SiteVerdict:
    return SiteVerdict.CUT_OFF if site.state == SiteState.CUT_OFF else SiteVerdict.LOST


def _observation(zone: ZoneView, verdict: SiteVerdict) -> SiteObservation:
    return SiteObservation(
        zone.zone[:MAX_TEXT_LENGTH], zone.responding, zone.timed_out, zone.failed, verdict
    )
