"""One node's part in the plan for lost sites: what it sees and hears in, parts of zones and refusals out.  Pure.

It refuses nothing by itself and closes nothing for good: whatever it says is a part of the usual, said anew each look;
with no site in reach but lost ones all are used again.  A node that is alone, or in the smaller part of a fleet that is
cut in two, doubts itself first: it goes on with its own site's servers and pours its load over no other one.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from oakbridge.peers.messages import MAX_SITES, SiteObservation, SiteOverride, SiteReport, SiteVerdict
from oakbridge.peers.view_state import (
    SITE_VERDICT_LARGER_PART,
    SITE_VERDICT_SMALLER_PART,
    ClusterView,
    Reaction,
    ViewState,
)
from oakbridge.policy.view import ZoneView
from oakbridge.sites.level import Level, first, order, pressure, refused
from oakbridge.sites.machine import CUT_OFF, DOUBTED, HELD_OUT, WELL, Change, Site
from oakbridge.sites.pace import STEP
from oakbridge.sites.scheme import Plan
from oakbridge.sites.words import FRESH, Evidence, Voice, evidence

LOOKS = 5.0  # calls a second that look at a lost site, of all nodes together
PLAN_LEAST = 0.05  # a zone that is there is never given up for a plan's sake
PRESSED = 0.05  # of the calls: a drain waits
WINDOW = 4_000_000  # microseconds that a meeting with a server counts for
RATE = 2_000_000  # microseconds over which calls and refusals are counted
ROTATE_MS = 60_000  # the same callers are refused for so long
MAX_SKEW = 3_600_000  # milliseconds that an operator's word may be ahead of this node's clock


@dataclass(frozen=True, slots=True)
class Options:
    """What can be set.  Times in microseconds."""

    warm_up: int = 30_000_000  # that a server may need to be warm
    step: int = STEP  # of a return, at least


@dataclass(frozen=True, slots=True)
class Heard:
    """What another member said last of sites, and how old it is."""

    name: str
    site: str
    age: int
    about: SiteReport


@dataclass(frozen=True, slots=True)
class Own:
    """What this node sees itself."""

    zones: Sequence[ZoneView]
    calls: float  # a second, but for those turned away by the level
    pressure: float  # part of them that was refused for want of room
    mix: Mapping[str, float]  # parts of the calls by class, "" for those beyond tenants' shares


@dataclass(frozen=True, slots=True)
class Counts:
    """What a node and its module have counted since their start."""

    at: int  # microseconds
    served: int
    refused: int
    failed: int
    turned: int  # of the refused, those by the fleet's level
    came: dict[str, int]  # by class


class Rates:
    """A node's calls a second, what became of them and their mix, over the last seconds."""

    def __init__(self) -> None:
        self._counts = deque[Counts]()

    def now(self, counts: Counts, found: Sequence[ZoneView]) -> Own:
        """What the node sees itself, with these counts at this moment."""
        self._counts.append(counts)
        while len(self._counts) > 2 and self._counts[1].at <= counts.at - RATE:
            self._counts.popleft()
        old = self._counts[0]
        seconds = max(0.1, (counts.at - old.at) / 1e6)
        turned, refused = counts.turned - old.turned, counts.refused - old.refused
        let_in = counts.served - old.served + counts.failed - old.failed + max(0, refused - turned)
        pressed = max(0, refused - turned) / let_in if let_in else 0.0
        came = {name: many - old.came.get(name, 0) for name, many in counts.came.items()}
        mix = {name: many / max(1, sum(came.values())) for name, many in came.items()}
        return Own(found, let_in / seconds, pressed, mix)


@dataclass(frozen=True, slots=True)
class Decision:
    """What holds from now on."""

    parts: dict[str, float]  # of zones that get less than all
    look: tuple[str, ...]
    away: dict[str, float]  # of classes; "" for what exceeds tenants' shares
    salt: int  # which callers of a class; others after a while
    changes: tuple[Change, ...] = field(default=())


class UnknownSite(ValueError):
    """There is no such site; the text names those that there are."""


class Sites:
    """All sites, as one node holds them."""

    def __init__(
        self, me: str, home: str, classes: Mapping[str, float], over_share: bool, seed: int,
        options: Options | None = None, plan: Plan | None = None,
    ) -> None:  # fmt: skip
        """``classes``: their worth; ``over_share``: whether there are tenants with shares."""
        self.me, self.home, self.options, self.plan = me, home, options or Options(), plan
        self.sites: dict[str, Site] = {}
        self.level = Level(order(classes, over_share))
        self.held: dict[str, SiteOverride] = {}
        self.found: dict[str, Evidence] = {}
        self.pressure = 0.0
        self.decision = Decision({}, (), {}, 0)
        self._random = random.Random(seed)
        self._own: Own = Own((), 0.0, 0.0, {})
        self._gone: frozenset[str] = frozenset()
        self._room = 0.0  # listed servers, by the parts of their sites

    # ---- operators

    def operate(self, clock_ms: int, site: str, out: bool, by: str) -> SiteOverride:
        """An operator's word: drain a site, or return it; the same again changes nothing.  Raises UnknownSite."""
        if site not in self.sites:
            names = ", ".join(sorted(self.sites)) or "none yet"
            raise UnknownSite(f"site: expected one of {names}, got {site!r:.60}")
        old = self.held.get(site)
        if old is not None and old.drained == out:
            return old
        if old is None and not out:
            raise UnknownSite(f"site: {site!r:.60} is not drained by anybody")
        others = [s for s in self.sites.values() if s.name != site and s.part() > 0 and s.state != HELD_OUT]
        if out and not others:
            raise UnknownSite(f"site: {site!r:.60} is the last one that carries anything")
        stamp = max(clock_ms, old.stamp_ms + 1 if old is not None else 0)
        self.held[site] = SiteOverride(site, stamp, out, by[:48])
        return self.held[site]

    def _hear_operators(self, clock_ms: int, words: Iterable[SiteOverride]) -> None:
        """The greater stamp counts; one that is far ahead of this clock is not believed."""
        for word in words:
            old = self.held.get(word.site)
            known = word.site in self.held or word.site in self.sites
            if (
                known
                and word.stamp_ms <= clock_ms + MAX_SKEW
                and (old is None or word.precedence > old.precedence)
            ):
                self.held[word.site] = word

    # ---- what is told to others

    @property
    def urgent(self) -> bool:
        """Whether others should hear of this node's words soon."""
        return self.level.now > 0 or any(s.state not in (WELL, HELD_OUT) for s in self.sites.values())

    def tell_to(self, there: Sequence[str]) -> list[str]:
        """Members that should hear of them directly: whoever sets the level from all, and all from it."""
        if not self.urgent or not there:
            return []
        leader = first([self.me, *there])
        return list(there) if leader == self.me else [leader]

    def say(self) -> SiteReport:
        """This node's words, for its next fact."""
        gone = {
            name: SiteVerdict.CUT_OFF if s.state == CUT_OFF else SiteVerdict.LOST
            for name, s in self.sites.items()
            if s.gone
        }
        seen = sorted(self._own.zones, key=lambda z: (z.zone not in gone, -(z.mute + z.dead)))
        words = tuple(
            SiteObservation(z.zone[:48], z.good, z.mute, z.dead, gone.get(z.zone, SiteVerdict.NONE))
            for z in seen
            if z.good + z.mute + z.dead or z.zone in gone
        )
        held = tuple(sorted(self.held.values(), key=lambda h: -h.stamp_ms)[:MAX_SITES])
        return SiteReport(
            words[:MAX_SITES], min(1_000_000, round(self._own.calls)), round(1000 * self._own.pressure),
            round(1000 * self.level.now), self.level.by, held, self.plan.version if self.plan else 0,
        )  # fmt: skip

    # ---- a look

    def look(self, now: int, clock_ms: int, view: ClusterView, heard: Sequence[Heard], own: Own) -> Decision:
        """Go on by what is known; to be called twice a second or so.

        ``heard``: of members in reach; ``clock_ms``: the clock by which operators' words are ordered.
        """
        self._own = own
        for one in heard:
            self._hear_operators(clock_ms, one.about.overrides)
        for zone in own.zones:
            if zone.zone and zone.zone not in self.sites:
                site = Site(zone.zone, zone.zone == self.home, self.options.warm_up, self.options.step)
                self.sites[zone.zone] = site
        mine = tuple(SiteObservation(z.zone, z.good, z.mute, z.dead) for z in own.zones)
        voices = [Voice(h.name, h.site, h.age, h.about.observations) for h in heard]
        voices.append(Voice(self.me, self.home, 0, mine))
        # Old words are left out: a level that goes by them goes on rising long after it was enough.
        rows = ((h.about.overload_per_mille / 1000, h.about.calls_per_s) for h in heard if h.age <= FRESH)
        self.pressure = pressure([(own.pressure, own.calls), *rows])
        self._levels(now, heard)
        changes = self._states(now, view, voices)
        parts = self._parts(view)
        away = refused(self.level.rows, self.level.now)
        salt = clock_ms // ROTATE_MS
        self.decision = Decision(parts, self._looks(parts, len(heard) + 1), away, salt, changes)
        return self.decision

    def _states(self, now: int, view: ClusterView, voices: Sequence[Voice]) -> tuple[Change, ...]:
        doubts_itself = self._alone(view)
        changes = []
        listed = {z.zone: z.listed for z in self._own.zones}
        for name, site in self.sites.items():
            found = self.found[name] = evidence(
                name,
                self.home,
                voices,
                name in view.unreachable_sites,
                listed.get(name, 0),
                site.state in (WELL, DOUBTED),
            )
            if doubts_itself and name != self.home:
                continue  # what it holds of others stays as it was: it may be this node's own fault
            troubled = any(s.gone or s.state == "doubted" for s in self.sites.values() if s is not site)
            held = self.held.get(name)
            before = site.state
            out = held is not None and held.drained
            site.hear(now, found, out, troubled, self.pressure > PRESSED)
            if site.state != before:
                changes.append(site.history[-1])
        gone = frozenset(n for n, s in self.sites.items() if s.gone)
        if gone > self._gone and self.plan is not None and (planned := self.plan.scenario(gone)) is not None:
            self.level.begin(self._planned_share(planned.refused), self._mix())
        self._gone = gone
        return tuple(changes)

    def _alone(self, view: ClusterView) -> bool:
        """Whether this node's verdict on other sites counts for nothing."""
        verdict = SITE_VERDICT_LARGER_PART if view.is_larger_part else SITE_VERDICT_SMALLER_PART
        cut_off = view.state in (ViewState.PARTITIONED, ViewState.ISOLATED)
        return cut_off and verdict.reaction(view.state) == Reaction.GIVE_UP

    def _parts(self, view: ClusterView) -> dict[str, float]:
        own = self.sites.get(self.home)
        if self._alone(view) and own is not None and own.part() > 0 and view.unreachable:
            return {name: 0.0 for name in self.sites if name != self.home}
        parts = {name: site.part() for name, site in self.sites.items()}
        if not any(parts.values()):
            return {}  # better a lost site than none
        planned = self.plan.scenario(self._gone) if self.plan is not None and self._gone else None
        shares = planned.shares.get(self.home, {}) if planned is not None and self.plan is not None else {}
        weights = {
            name: shares.get(name, 0.0) / self.plan.sites[name]
            for name in parts
            if self.plan is not None and self.plan.sites.get(name)
        }
        most = max((w for name, w in weights.items() if parts[name] > 0), default=0.0)
        if most > 0:
            for name, weight in weights.items():
                parts[name] *= min(1.0, max(PLAN_LEAST, weight / most))
        return {name: part for name, part in parts.items() if part < 1}

    def _looks(self, parts: Mapping[str, float], nodes: int) -> tuple[str, ...]:
        """Zones at which this node has one call look now: of all nodes together so many a second."""
        chance = LOOKS / 2 / nodes
        return tuple(
            name for name, part in sorted(parts.items())
            if part <= 0 and self.sites[name].state != HELD_OUT and self._random.random() < chance
        )  # fmt: skip

    def _mix(self) -> list[float]:
        parts = [max(0.001, self._own.mix.get(row.name, 0.0)) for row in self.level.rows]
        return [p / sum(parts) for p in parts]

    def _planned_share(self, planned: Mapping[str, float]) -> float:
        mix = self._mix()
        return sum(part * planned.get(row.name, 0.0) for row, part in zip(self.level.rows, mix, strict=True))

    def _levels(self, now: int, heard: Sequence[Heard]) -> None:
        leader = first([self.me, *(h.name for h in heard)])
        before = self._room
        self._room = sum(
            z.listed * self.sites[z.zone].part() for z in self._own.zones if z.zone in self.sites
        )
        if leader != self.me:
            told = next(h.about for h in heard if h.name == leader)
            return self.level.follow(
                now, leader, told.shedding_per_mille / 1000 if told.shedding_leader == leader else None
            )
        if 0 < before < self._room and self.level.now > 0:
            self.level.opened(self._room / before, self._mix())
        self.level.set(now, self.me, self.pressure, self._mix())

    # ---- what operators see

    def describe(self, now: int, heard: Sequence[Heard] = ()) -> dict[str, Any]:
        """All of it, for ``oakbridge sites``."""
        rows = []
        for name, site in sorted(self.sites.items()):
            found = self.found.get(name, Evidence())
            held = self.held.get(name)
            rows.append({
                "site": name, "own": site.own, "state": site.state, "since_s": round((now - site.since) / 1e6, 1),
                "part": self.decision.parts.get(name, 1.0), "good": found.good, "mute": found.mute, "dead": found.dead,
                "by": list(found.by), "flaps": site.pace.failures,
                "again_in_s": round(max(0, site.pace.again_at - now) / 1e6, 1) if site.gone else 0.0,
                "held_by": held.operator if held is not None and held.drained else "",
            })  # fmt: skip
        versions = {h.name: h.about.plan_version for h in heard}
        mine = self.plan.version if self.plan else 0
        return {
            "home": self.home,
            "sites": rows,
            "level": round(self.level.now, 3),
            "level_by": self.level.by,
            "refused": {name or "beyond shares": round(p, 3) for name, p in self.decision.away.items()},
            "pressure": round(self.pressure, 4),
            "plan": mine,
            "other_plans": {name: v for name, v in sorted(versions.items()) if v != mine},
        }

    def why(self, name: str, now: int) -> list[dict[str, Any]]:
        """How one site came into its state, oldest first.  Raises KeyError."""
        return [
            {
                "ago_s": round((now - c.at) / 1e6, 1),
                "before": c.before,
                "after": c.after,
                "cause": c.cause,
                "by": list(c.by),
            }
            for c in self.sites[name].history
        ]
