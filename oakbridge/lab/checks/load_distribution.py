"""The figures of load distribution, from the history of a run."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from oakbridge.lab import load_distribution
from oakbridge.lab.checks.ground_truth import GroundTruth
from oakbridge.lab.history import History
from oakbridge.lab.load_distribution import Visits
from oakbridge.lab.schedule import Span, StepKind

# Steps that many nodes see at once.
COMMON_STEPS = frozenset(
    {
        StepKind.SERVERS_DOWN,
        StepKind.SERVERS_UP,
        StepKind.SERVERS_SPEED,
        StepKind.KILL,
        StepKind.START,
        StepKind.LINK,
        StepKind.UNLINK,
        StepKind.RESET,
        StepKind.CONTINUE,
    }
)


def build_visits(history: History) -> Visits:
    """Return all visits; a server that is down, slow or warming up counts as unavailable."""
    begin_us, duration_us = history.begin_us, history.duration_us
    rows = [
        (row["server"], row["came"] - begin_us, row["ended"] - begin_us)
        for row in history.executions
        if row["ended"] > begin_us and row["came"] < begin_us + duration_us
    ]
    sizes = GroundTruth(history).sizes
    return Visits(
        rows,
        [size / sum(sizes) for size in sizes],
        history.plan.servers.workers,
        duration_us,
        _unavailable_spans(history),
    )


def _unavailable_spans(history: History) -> dict[int, list[Span]]:
    spans: dict[int, list[Span]] = defaultdict(list)
    numbers = {server.name: server.number for server in history.fleet.servers}
    for step in history.schedule.steps:
        for name in step.names:
            if name not in numbers:
                continue
            found = spans[numbers[name]]
            if _makes_unavailable(step.kind, step.speed):
                found.append(Span(step.at_us, history.duration_us))
            elif step.kind in (StepKind.SERVERS_UP, StepKind.SERVERS_SPEED) and found:
                is_cold = step.kind is StepKind.SERVERS_UP
                warm_up_us = history.plan.servers.cold_for if is_cold else 0
                found[-1] = Span(found[-1].begin_us, step.at_us + warm_up_us)
    return dict(spans)


def _makes_unavailable(kind: StepKind, speed: float) -> bool:
    return kind is StepKind.SERVERS_DOWN or (kind is StepKind.SERVERS_SPEED and speed != 1.0)


def common_events(history: History) -> list[int]:
    """Return the times of steps that many nodes see at once."""
    return sorted({s.at_us for s in history.schedule.steps if s.kind in COMMON_STEPS})


def _of_visits(figure: Callable[[Visits], float | None]) -> Callable[[History], float | None]:
    return lambda history: figure(build_visits(history))


def _herd(history: History) -> float | None:
    return load_distribution.herd_peak(build_visits(history), common_events(history))


def _alike(history: History) -> float | None:
    return load_distribution.choice_similarity(build_visits(history), common_events(history))


FIGURES: dict[str, Callable[[History], float | None]] = {
    "over chance": _of_visits(load_distribution.load_ratio_over_chance),
    "variation": _of_visits(load_distribution.load_variation),
    "idle while others wait": _of_visits(load_distribution.idle_while_waiting),
    "idle beyond chance": _of_visits(load_distribution.idle_beyond_chance),
    "herd": _herd,
    "alike": _alike,
}
