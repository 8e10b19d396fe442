"""One node's part in the plan for lost sites.  Pure.

Observations and reports come in, zone weights and rejections go out.  It rejects nothing by itself
and closes nothing for good: whatever it decides is a fraction of the usual, decided anew at each
update; with no site reachable but lost ones all are used again.  A node that is isolated, or in the
smaller part of a partitioned fleet, doubts itself first: it goes on with its own site's servers and
pours its load over no other one.
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

PROBES_PER_S = 5.0  # health checks of a lost site, by all nodes together
UPDATES_PER_S = 2
DRAIN_PAUSES_ABOVE = 0.05  # overload
OBSERVATION_WINDOW_US = 4_000_000  # that a call of a server counts for
SALT_PERIOD_MS = 60_000  # for which the same clients are rejected
MAX_REPORTED_CALLS_PER_S = 1_000_000
MIN_MIX_FRACTION = 0.001
PER_MILLE = 1000


@dataclass(frozen=True, slots=True)
class SitesOptions:
    """What can be set."""

    warm_up_us: int = 30_000_000  # that a server may need
    min_step_us: int = MIN_STEP_US  # of a recovery or a drain


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """What another member reported last, and how old it is."""

    name: str
    site: str  # that the member is in
    age_us: int
    report: SiteReport

    @property
    def is_fresh(self) -> bool:
        """Whether it says anything of the present."""
        return self.age_us <= MAX_AGE_US

    @property
    def observations(self) -> MemberObservations:
        """What it tells of sites."""
        return MemberObservations(self.name, self.site, self.age_us, self.report.observations)

    @property
    def led_level(self) -> float | None:
        """The load-shedding level, if the member set it itself."""
        if self.report.shedding_leader != self.name:
            return None
        return self.report.shedding_per_mille / PER_MILLE


@dataclass(frozen=True, slots=True)
class SitesDecision:
    """What holds from now on."""

    zone_weights: dict[str, float]  # of zones that get less than all
    probe_zones: tuple[str, ...]
    rejected_fractions: dict[str, float]  # by class, "" for what exceeds tenants' quotas
    salt: int  # chooses which clients of a class are rejected
    transitions: tuple[SiteTransition, ...] = ()


class NodeSites:
    """All sites, as one node holds them."""

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
        """Begin without any site.

        ``home``: the node's own site; ``priority_weights``: of each class.
        """
        self.name = name
        self.home = home
        self.options = options or SitesOptions()
        self.plan = plan
        self.sites: dict[str, SiteStateMachine] = {}
        self.shedding = FleetLoadShedding(rank_classes(priority_weights, has_quotas=has_quotas))
        self.overrides = OperatorOverrides()
        self.evidence: dict[str, Evidence] = {}
        self.overload = 0.0  # of the fleet
        self.decision = SitesDecision({}, (), {}, 0)
        self._random = random.Random(seed)
        self._local = LocalObservations((), 0.0, 0.0, {})
        self._lost: frozenset[str] = frozenset()
        self._usable_servers = 0.0  # listed ones, by the fractions of their sites

    @property
    def plan_version(self) -> int:
        """The plan's version, 0 without one."""
        return self.plan.version if self.plan is not None else 0

    @property
    def is_report_urgent(self) -> bool:
        """Whether other members should soon hear this node's report."""
        settled = (SiteState.HEALTHY, SiteState.DRAINING)
        return self.shedding.level > 0 or any(s.state not in settled for s in self.sites.values())

    # ---- operators

    def override(self, clock_ms: int, site: str, operator: str, *, drained: bool) -> SiteOverride:
        """Drain a site, or return it; the same again changes nothing.  Raises SiteOverrideError."""
        if site not in self.sites:
            raise UnknownSiteError(site, self.sites)
        before = self.overrides.by_site.get(site)
        if before is not None and before.drained == drained:
            return before
        if drained and not self._carries_without(site):
            raise LastSiteError(site)
        return self.overrides.order(clock_ms, site, operator, drained=drained)

    def _carries_without(self, drained: str) -> bool:
        others = (site for name, site in self.sites.items() if name != drained)
        return any(site.fraction() > 0 and site.state != SiteState.DRAINING for site in others)

    # ---- what other members are told

    def direct_recipients(self, reachable: Sequence[str]) -> list[str]:
        """Return who gets reports directly: the leader from all, and all from the leader."""
        if not self.is_report_urgent or not reachable:
            return []
        leader = elect_leader([self.name, *reachable])
        return list(reachable) if leader == self.name else [leader]

    def report(self) -> SiteReport:
        """Return this node's report, lost sites first, then those with most failures."""
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
            calls_per_s=min(MAX_REPORTED_CALLS_PER_S, round(self._local.calls_per_s)),
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
        """Take in what is known and return what holds from now on; to be called twice a second.

        ``reports``: of reachable members; ``clock_ms``: the clock by which overrides are ordered.
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
        """Leave out old reports: a level that goes by them rises long after it was enough."""
        fresh = [received.report for received in reports if received.is_fresh]
        others = ((report.overload_per_mille / PER_MILLE, report.calls_per_s) for report in fresh)
        return fleet_overload([(self._local.overload, self._local.calls_per_s), *others])

    def _update_shedding(self, now_us: int, reports: Sequence[ReceivedReport]) -> None:
        before = self._usable_servers
        self._usable_servers = sum(
            zone.listed * self.sites[zone.zone].fraction()
            for zone in self._local.zones
            if zone.zone in self.sites
        )
        leader = elect_leader([self.name, *(received.name for received in reports)])
        if leader != self.name:
            received = next(received for received in reports if received.name == leader)
            self.shedding.follow(now_us, leader, received.led_level)
            return
        if 0 < before < self._usable_servers and self.shedding.level > 0:
            self.shedding.capacity_grew(self._usable_servers / before, self._mix())
        self.shedding.adjust(now_us, self.name, self.overload, self._mix())

    def _update_states(
        self, now_us: int, view: ClusterView, reports: Sequence[ReceivedReport]
    ) -> tuple[SiteTransition, ...]:
        members = [received.observations for received in reports]
        own = tuple(
            SiteObservation(z.zone, z.responding, z.timed_out, z.failed) for z in self._local.zones
        )
        members.append(MemberObservations(self.name, self.home, 0, own))
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
            if name != self.home and _doubts_itself(view):
                continue  # what it holds of other sites stays: it may be this node's own fault
            before = site.state
            self._update_state(now_us, site)
            if site.state != before:
                transitions.append(site.history[-1])
        self._note_losses()
        return tuple(transitions)

    def _update_state(self, now_us: int, site: SiteStateMachine) -> None:
        site.update(
            now_us,
            self.evidence[site.name],
            drained=self.overrides.is_drained(site.name),
            other_site_faulty=any(s.is_faulty for s in self.sites.values() if s is not site),
            is_overloaded=self.overload > DRAIN_PAUSES_ABOVE,
        )

    def _note_losses(self) -> None:
        """Begin load shedding where the plan expects it as soon as one more site is lost."""
        lost = frozenset(name for name, site in self.sites.items() if site.is_lost)
        scenario = self.plan.scenario(lost) if self.plan is not None and lost > self._lost else None
        if scenario is not None:
            mix = self._mix()
            planned = scenario.rejected_fractions
            rejected = sum(
                part * planned.get(rank.class_name, 0.0)
                for rank, part in zip(self.shedding.ranks, mix, strict=True)
            )
            self.shedding.raise_to(rejected, mix)
        self._lost = lost

    def _mix(self) -> list[float]:
        """Return the fraction of the requests that each rank of load shedding has."""
        mix = self._local.class_mix
        names = [rank.class_name for rank in self.shedding.ranks]
        fractions = [max(MIN_MIX_FRACTION, mix.get(name, 0.0)) for name in names]
        return [fraction / sum(fractions) for fraction in fractions]

    def _zone_weights(self, view: ClusterView) -> dict[str, float]:
        home = self.sites.get(self.home)
        if _doubts_itself(view) and home is not None and home.fraction() > 0 and view.unreachable:
            return dict.fromkeys((name for name in self.sites if name != self.home), 0.0)
        weights = {name: site.fraction() for name, site in self.sites.items()}
        if not any(weights.values()):
            return {}  # better a lost site than none
        if self.plan is not None and self._lost:
            weights = planned_weights(self.plan, self.home, self._lost, weights)
        return {name: weight for name, weight in weights.items() if weight < 1}

    def _choose_probe_zones(self, weights: Mapping[str, float], nodes: int) -> tuple[str, ...]:
        """Choose the zones at which this node has one request be a health check now."""
        probability = PROBES_PER_S / UPDATES_PER_S / nodes
        return tuple(
            name
            for name, weight in sorted(weights.items())
            if weight <= 0
            and self.sites[name].state != SiteState.DRAINING
            and self._random.random() < probability
        )


def _doubts_itself(view: ClusterView) -> bool:
    """Return whether a node with this view does not judge other sites."""
    if view.state not in (ViewState.PARTITIONED, ViewState.ISOLATED):
        return False
    use = (
        SITE_VERDICT_LARGER_PARTITION
        if view.is_larger_partition
        else SITE_VERDICT_SMALLER_PARTITION
    )
    return use.reaction(view.state) == Reaction.DISCARD


def _verdict(site: SiteStateMachine) -> SiteVerdict:
    return SiteVerdict.CUT_OFF if site.state == SiteState.CUT_OFF else SiteVerdict.LOST


def _observation(zone: ZoneView, verdict: SiteVerdict) -> SiteObservation:
    return SiteObservation(
        zone.zone[:MAX_TEXT_LENGTH], zone.responding, zone.timed_out, zone.failed, verdict
    )
