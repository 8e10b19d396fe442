"""What happens when, and to whom: drawn once from the plan and the seed.  Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from oakbridge.lab.links import Rule
from oakbridge.lab.plan import ON_LINKS, FaultTable, Plan

STARVE_STOPPED = (400_000, 900_000)  # microseconds off the processor at a time
STARVE_RUNS = (30_000, 120_000)  # and on it


@dataclass(frozen=True, slots=True)
class Host:
    """A node or a stand-in server."""

    name: str
    site: str
    number: int


@dataclass(frozen=True, slots=True)
class Fleet:
    """Who there is."""

    nodes: tuple[Host, ...]
    servers: tuple[Host, ...]

    def site(self, name: str) -> str:
        """Whose site.  Raises KeyError."""
        return {h.name: h.site for h in (*self.nodes, *self.servers)}[name]


def fleet_of(plan: Plan) -> Fleet:
    """Names and numbers; sites take turns, so that no site has all the low numbers."""

    def hosts(kind: str, letter: str) -> tuple[Host, ...]:
        turns = [
            (i / max(1, getattr(s, kind)), order, s.name)
            for order, s in enumerate(plan.sites)
            for i in range(getattr(s, kind))
        ]
        return tuple(Host(f"{letter}{n:03d}", site, n) for n, (_, _, site) in enumerate(sorted(turns)))

    return Fleet(hosts("nodes", "n"), hosts("servers", "s"))


@dataclass(frozen=True, slots=True)
class Step:
    """One thing at one time: microseconds from the course's begin."""

    at: int
    do: str  # kill, start, stop, continue, link, unlink, reset, down, up, speed
    names: tuple[str, ...] = ()
    rule: Rule | None = None
    speed: float = 1.0


@dataclass(frozen=True, slots=True)
class Course:
    """All of it, in order."""

    steps: tuple[Step, ...]
    failed: dict[str, list[tuple[int, int]]] = field(
        default_factory=dict
    )  # a node was not there, from when until when
    troubles: tuple[tuple[int, int], ...] = ()  # each fault, from when until when


def course_of(plan: Plan, fleet: Fleet, seed: int) -> Course:
    """Draw it."""
    rng = random.Random(f"course {seed}")
    steps: list[Step] = []
    failed: dict[str, list[tuple[int, int]]] = {}
    troubles = []
    end = plan.lab.lasts
    for number, fault in enumerate(plan.faults):
        until = min(end, fault.at + fault.lasts) if fault.lasts is not None else end
        troubles.append((fault.at, until))
        if fault.kind in ON_LINKS:
            steps += _links(fault, number, fleet, until, end)
        elif fault.kind.startswith("servers"):
            names = _drawn(rng, fault, fleet.servers)
            steps += _servers(fault, names, until, end)
        else:
            for name in _drawn(rng, fault, fleet.nodes):
                at = fault.at + (rng.randrange(fault.spread) if fault.spread else 0)
                back = until if fault.lasts is not None else end
                steps += _node(rng, fault.kind, name, at, back, end)
                if fault.kind != "starve":
                    failed.setdefault(name, []).append((at, back))
    steps.sort(key=lambda s: s.at)
    return Course(tuple(steps), failed, tuple(troubles))


def _drawn(rng: random.Random, fault: FaultTable, hosts: tuple[Host, ...]) -> tuple[str, ...]:
    names = [h.name for h in hosts if fault.site in (None, h.site)]
    return tuple(sorted(rng.sample(names, max(1, round(fault.share * len(names))) if names else 0)))


def _node(rng: random.Random, kind: str, name: str, at: int, back: int, end: int) -> list[Step]:
    if kind == "starve":
        steps, now = [], at
        while now < back:
            pause = rng.randint(*STARVE_STOPPED)
            steps += [Step(now, "stop", (name,)), Step(min(back, now + pause), "continue", (name,))]
            now += pause + rng.randint(*STARVE_RUNS)
        return steps
    if kind == "freeze":
        return [Step(at, "stop", (name,)), Step(back, "continue", (name,))]
    if kind == "restart":
        return [
            Step(at, "kill", (name,)),
            Step(min(end, at + 100_000 if back == end else back), "start", (name,)),
        ]
    steps = [Step(at, "kill", (name,))]
    return [*steps, Step(back, "start", (name,))] if back < end else steps


def _servers(fault: FaultTable, names: tuple[str, ...], until: int, end: int) -> list[Step]:
    if fault.kind == "servers down":
        back = [Step(until, "up", names)] if until < end else []
        return [Step(fault.at, "down", names), *back]
    back = [Step(until, "speed", names, speed=1.0)] if until < end else []
    return [Step(fault.at, "speed", names, speed=fault.speed), *back]


def _links(fault: FaultTable, number: int, fleet: Fleet, until: int, end: int) -> list[Step]:
    hosts = (*fleet.nodes, *fleet.servers)
    ours = frozenset(h.name for h in hosts if fault.site in (None, h.site))
    if fault.site is None:
        others = ours
    else:
        others = frozenset(h.name for h in hosts if h.site != fault.site and fault.other in (None, h.site))
    if fault.kind == "reset":
        return [Step(fault.at, "reset", (), Rule(number, ours, others, both=not fault.one_way))]
    rule = Rule(
        number, ours, others, both=not fault.one_way, cut=fault.kind == "cut",
        loss=fault.loss if fault.kind == "lossy" else 0.0, doubled=fault.doubled if fault.kind == "lossy" else 0.0,
        delay=fault.delay if fault.kind == "slow links" else 0, jitter=fault.delay if fault.kind == "lossy" else 0,
    )  # fmt: skip
    back = [Step(until, "unlink", (), rule)] if until < end else []
    return [Step(fault.at, "link", (), rule), *back]
