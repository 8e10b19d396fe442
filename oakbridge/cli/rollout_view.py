"""A rollout as people look at it: a line for each wave, then one for each instance that is not in order."""

from __future__ import annotations

import time
from collections import Counter

from rich import box
from rich.console import Group
from rich.progress_bar import ProgressBar
from rich.table import Table
from rich.text import Text

from oakbridge.rollout.coordinator import Coordinator
from oakbridge.rollout.machine import FINAL_OUTCOMES, InstanceOutcome, InstanceStatus

STYLE = {
    InstanceOutcome.APPLIED: "green",
    InstanceOutcome.UNKNOWN: "yellow",
    InstanceOutcome.NOT_APPLIED: "red",
    InstanceOutcome.ROLLED_BACK: "red",
}
SMALL = 12  # rollouts of so many instances have a line for each of them


def why(row: InstanceStatus) -> str:
    """What is known of one instance's fate."""
    if row.outcome is not InstanceOutcome.UNKNOWN:
        return row.reason
    last = (
        time.strftime("%H:%M:%S", time.localtime(row.last_response_unix_s))
        if row.last_response_unix_s
        else "never"
    )
    return f"{row.reason}; last heard {last}"


def _waves(coordinator: Coordinator) -> Table:
    """A line for each wave: how far it is, and what became of its instances."""
    machine = coordinator.machine
    report = machine.statuses()
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for column in ("wave", "", "done", "instances"):
        table.add_column(column, no_wrap=column != "instances")
    for number, wave in enumerate(machine.record.waves, 1):
        fates = Counter(report[t.name].outcome for t in wave)
        over = sum(n for fate, n in fates.items() if fate in FINAL_OUTCOMES)
        told = Text(", ").join(
            Text(f"{n} {fate.value}", style=STYLE.get(fate, "")) for fate, n in fates.most_common()
        )
        here = ">" if number == machine.record.wave_index + 1 else " "
        bar = ProgressBar(total=len(wave), completed=over, width=16)
        table.add_row(f"{here}{number}", bar, f"{over}/{len(wave)}", told)
    return table


def _rows(coordinator: Coordinator) -> Table:
    report = coordinator.machine.statuses()
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    table.add_column("instance", no_wrap=True, overflow="ellipsis", max_width=28)
    table.add_column("fate", no_wrap=True)
    table.add_column("why")
    for name, row in report.items():
        quiet = row.outcome in (InstanceOutcome.APPLIED, InstanceOutcome.NOT_REACHED)
        if len(report) <= SMALL or not quiet:
            table.add_row(name, Text(row.outcome.value, style=STYLE.get(row.outcome, "")), why(row))
    return table


def picture(coordinator: Coordinator) -> Group:
    """The whole."""
    record = coordinator.machine.record
    counts = Counter(row.outcome.value for row in coordinator.machine.statuses().values())
    told = ", ".join(f"{n} {word}" for word, n in counts.most_common())
    rows = _rows(coordinator)
    lines = [
        Text(f"rollout {coordinator.rollout} ({coordinator.change.describe()}): {record.phase.value}; {told}")
    ]
    if coordinator.gate_result is not None:
        lines.append(Text(f"gate: {coordinator.gate_result.reason}"))
    if record.reason:
        lines.append(Text(record.reason, style="red"))
    return Group(_waves(coordinator), *([rows] if rows.row_count else []), *lines)
