"""The fault schedule of a run: the steps, their times and hosts, drawn from a plan and a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from oakbridge.lab.fleet import Fleet, Host
from oakbridge.lab.links import Rule
from oakbridge.lab.plan import LINK_FAULTS, FaultTable, Plan

STARVE_STOPPED_US = (400_000, 900_000)  # range of the times for which a starved node is stopped
STARVE_RUNNING_US = (30_000, 120_000)  # range of the times for which it runs in between
RESTART_DELAY_US = 100_000  # from kill to start if the plan gives no duration


class StepKind(Enum):
    """The kind of a step; the value is its name in ``steps.parquet`` and in helper commands."""

    KILL = "kill"
    START = "start"
    STOP = "stop"
    CONTINUE = "continue"
    LINK = "link"
    UNLINK = "unlink"
    RESET = "reset"
    SERVERS_DOWN = "down"
    SERVERS_UP = "up"
    SERVERS_SPEED = "speed"
    BEGIN = "begin"  # only in performed steps: the start of the schedule
    READY = "ready"  # only in performed steps: a restarted node is ready


@dataclass(frozen=True, slots=True)
class Step:
    """One step; its time counts from the schedule's start."""

    at_us: int
    kind: StepKind
    names: tuple[str, ...] = ()
    rule: Rule | None = None
    speed: float = 1.0


@dataclass(frozen=True, slots=True)
class Span:
    """A span of time, counted from the schedule's start."""

    begin_us: int
    end_us: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """All steps in the order of their times."""

    steps: tuple[Step, ...]
    node_outages: dict[str, list[Span]] = field(
        default_factory=dict
    )  # by node; starved nodes are left out
    fault_spans: tuple[Span, ...] = ()


def draw_schedule(plan: Plan, fleet: Fleet, seed: int) -> Schedule:
    """Draw the schedule; it depends only on the plan and the seed."""
    rng = random.Random(f"course {seed}")
    steps: list[Step] = []
    outages: dict[str, list[Span]] = {}
    fault_spans = []
    end_us = plan.lab.lasts
    for number, fault in enumerate(plan.faults):
        until_us = min(end_us, fault.at + fault.lasts) if fault.lasts is not None else end_us
        fault_spans.append(Span(fault.at, until_us))
        if fault.kind in LINK_FAULTS:
            steps += _link_steps(fault, number, fleet, until_us, end_us)
        elif fault.kind.startswith("servers"):
            names = _draw_hosts(rng, fault, fleet.servers)
            steps += _server_steps(fault, names, until_us, end_us)
        else:
            for name in _draw_hosts(rng, fault, fleet.nodes):
                at_us = fault.at + (rng.randrange(fault.spread) if fault.spread else 0)
                steps += _node_steps(rng, fault.kind, name, Span(at_us, until_us), end_us)
                if fault.kind != "starve":
                    outages.setdefault(name, []).append(Span(at_us, until_us))
    steps.sort(key=lambda step: step.at_us)
    return Schedule(tuple(steps), outages, tuple(fault_spans))


def _draw_hosts(rng: random.Random, fault: FaultTable, hosts: tuple[Host, ...]) -> tuple[str, ...]:
    names = [host.name for host in hosts if fault.site in (None, host.site)]
    count = max(1, round(fault.share * len(names))) if names else 0
    return tuple(sorted(rng.sample(names, count)))


def _node_steps(rng: random.Random, kind: str, name: str, fault: Span, end_us: int) -> list[Step]:
    match kind:
        case "starve":
            return _starve_steps(rng, name, fault)
        case "freeze":
            return [
                Step(fault.begin_us, StepKind.STOP, (name,)),
                Step(fault.end_us, StepKind.CONTINUE, (name,)),
            ]
        case "restart":
            is_unlimited = fault.end_us == end_us
            start_us = fault.begin_us + RESTART_DELAY_US if is_unlimited else fault.end_us
            return [
                Step(fault.begin_us, StepKind.KILL, (name,)),
                Step(min(end_us, start_us), StepKind.START, (name,)),
            ]
    kill = Step(fault.begin_us, StepKind.KILL, (name,))
    if fault.end_us < end_us:
        return [kill, Step(fault.end_us, StepKind.START, (name,))]
    return [kill]


def _starve_steps(rng: random.Random, name: str, fault: Span) -> list[Step]:
    """Stop and continue a node in turn, so that it runs for a small fraction of the time."""
    steps: list[Step] = []
    stop_us = fault.begin_us
    while stop_us < fault.end_us:
        continue_us = stop_us + rng.randint(*STARVE_STOPPED_US)
        steps += [
            Step(stop_us, StepKind.STOP, (name,)),
            Step(min(fault.end_us, continue_us), StepKind.CONTINUE, (name,)),
        ]
        stop_us = continue_us + rng.randint(*STARVE_RUNNING_US)
    return steps


def _server_steps(
    fault: FaultTable, names: tuple[str, ...], until_us: int, end_us: int
) -> list[Step]:
    if fault.kind == "servers down":
        begin = Step(fault.at, StepKind.SERVERS_DOWN, names)
        end = Step(until_us, StepKind.SERVERS_UP, names)
    else:
        begin = Step(fault.at, StepKind.SERVERS_SPEED, names, speed=fault.speed)
        end = Step(until_us, StepKind.SERVERS_SPEED, names, speed=1.0)
    return [begin, end] if until_us < end_us else [begin]


def _link_steps(
    fault: FaultTable, number: int, fleet: Fleet, until_us: int, end_us: int
) -> list[Step]:
    rule = _link_rule(fault, number, fleet)
    if fault.kind == "reset":
        return [Step(fault.at, StepKind.RESET, (), rule)]
    link = Step(fault.at, StepKind.LINK, (), rule)
    if until_us < end_us:
        return [link, Step(until_us, StepKind.UNLINK, (), rule)]
    return [link]


def _link_rule(fault: FaultTable, number: int, fleet: Fleet) -> Rule:
    hosts = (*fleet.nodes, *fleet.servers)
    sources = frozenset(host.name for host in hosts if fault.site in (None, host.site))
    targets = sources
    if fault.site is not None:
        targets = frozenset(
            host.name
            for host in hosts
            if host.site != fault.site and fault.other in (None, host.site)
        )
    is_lossy = fault.kind == "lossy"
    return Rule(
        number,
        sources,
        targets,
        both_directions=not fault.one_way,
        is_cut=fault.kind == "cut",
        loss=fault.loss if is_lossy else 0.0,
        duplicated=fault.doubled if is_lossy else 0.0,
        delay_us=fault.delay if fault.kind == "slow links" else 0,
        jitter_us=fault.delay if is_lossy else 0,
    )
