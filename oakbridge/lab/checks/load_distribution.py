"""The figures of load distribution, computed from the history of a run."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from oakbridge.lab import load_distribution
from oakbridge.lab.checks.ground_truth import GroundTruth
from oakbridge.lab.history import History
from oakbridge.lab.load_distribution import Visits
from oakbridge.lab.schedule import Span, StepKind

# Steps that affect many nodes at the same time.
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
    """Return all visits to servers; one that is down, slow or warming up counts as unavailable."""
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
            server_spans = spans[numbers[name]]
            if _makes_unavailable(step.kind, step.speed):
                server_spans.append(Span(step.at_us, history.duration_us))
            elif step.kind in (StepKind.SERVERS_UP, StepKind.SERVERS_SPEED) and server_spans:
                is_cold = step.kind is StepKind.SERVERS_UP
                warm_up_us = history.plan.servers.cold_for if is_cold else 0
                server_spans[-1] = Span(server_spans[-1].begin_us, step.at_us + warm_up_us)
    return dict(spans)


def _makes_unavailable(kind: StepKind, speed: float) -> bool:
    return kind is StepKind.SERVERS_DOWN or (kind is StepKind.SERVERS_SPEED and speed != 1.0)


def common_events(history: History) -> list[int]:
    """Return the times of the steps that affect many nodes at the same time."""
    return sorted({step.at_us for step in history.schedule.steps if step.kind in COMMON_STEPS})


def _of_visits(figure: Callable[[Visits], float | None]) -> Callable[[History], float | None]:
    return lambda history: figure(build_visits(history))


def _herd_peak(history: History) -> float | None:
    return load_distribution.herd_peak(build_visits(history), common_events(history))


def _choice_similarity(history: History) -> float | None:
    return load_distribution.choice_similarity(build_visits(history), common_events(history))


FIGURES: dict[str, Callable[[History], float | None]] = {
    "over chance": _of_visits(load_distribution.load_ratio_over_chance),
    "variation": _of_visits(load_distribution.load_variation),
    "idle while others wait": _of_visits(load_distribution.idle_while_waiting),
    "idle beyond chance": _of_visits(load_distribution.idle_beyond_chance),
    "herd": _herd_peak,
    "alike": _choice_similarity,
}
