"""The figures of even load, from the history of a run."""

from __future__ import annotations

from collections.abc import Callable

from oakbridge.lab import even
from oakbridge.lab.history import History
from oakbridge.lab.schedule import StepKind
from oakbridge.lab.site_checks import Truth

COMMON = (
    StepKind.SERVERS_DOWN,
    StepKind.SERVERS_UP,
    StepKind.SERVERS_SPEED,
    StepKind.KILL,
    StepKind.START,
    StepKind.LINK,
    StepKind.UNLINK,
    StepKind.RESET,
    StepKind.CONTINUE,
)  # events that many see


def visits(history: History) -> even.Visits:
    """What came to the servers; one that is down, slow or still cold is not there."""
    truth, servers = Truth(history), history.fleet.servers
    whole = sum(truth.sizes)
    rows = [
        (row["server"], row["came"] - history.begin_us, row["ended"] - history.begin_us)
        for row in history.executions
        if row["ended"] > history.begin_us and row["came"] < history.begin_us + history.duration_us
    ]
    absent: dict[int, list[tuple[int, int]]] = {}
    cold = history.plan.servers.cold_for
    number = {server.name: server.number for server in servers}
    for step in history.schedule.steps:
        for name in step.names:
            if name not in number:
                continue
            spans = absent.setdefault(number[name], [])
            if step.kind is StepKind.SERVERS_DOWN or (
                step.kind is StepKind.SERVERS_SPEED and step.speed != 1.0
            ):
                spans.append((step.at_us, history.duration_us))
            elif step.kind in (StepKind.SERVERS_UP, StepKind.SERVERS_SPEED) and spans:
                spans[-1] = (spans[-1][0], step.at_us + (cold if step.kind is StepKind.SERVERS_UP else 0))
    return even.Visits(
        rows,
        [size / whole for size in truth.sizes],
        history.plan.servers.workers,
        history.duration_us,
        absent,
    )


def events(history: History) -> list[int]:
    """When something happened that many nodes see at once."""
    return sorted({step.at_us for step in history.schedule.steps if step.kind in COMMON})


def _of(figure: Callable[[even.Visits], float | None]) -> Callable[[History], float | None]:
    return lambda history: figure(visits(history))


FIGURES: dict[str, Callable[[History], float | None]] = {
    "over chance": _of(even.over_chance),
    "variation": _of(even.variation),
    "idle while others wait": _of(even.idle_while_waiting),
    "idle beyond chance": _of(even.idle_beyond_chance),
    "herd": lambda history: even.herd(visits(history), events(history)),
    "alike": lambda history: even.alike(visits(history), events(history)),
}
