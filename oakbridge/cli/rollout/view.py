"""The live view of a rollout: its waves, and the instances that need attention."""

from __future__ import annotations

import time
from collections import Counter

from rich import box
from rich.console import Group, RenderableType
from rich.progress_bar import ProgressBar
from rich.table import Table
from rich.text import Text

from oakbridge.rollout.coordinator import Coordinator
from oakbridge.rollout.record import FINAL_OUTCOMES, InstanceOutcome, InstanceStatus

STYLES = {
    InstanceOutcome.APPLIED: "green",
    InstanceOutcome.UNKNOWN: "yellow",
    InstanceOutcome.NOT_APPLIED: "red",
    InstanceOutcome.ROLLED_BACK: "red",
}
ORDINARY_OUTCOMES = frozenset({InstanceOutcome.APPLIED, InstanceOutcome.NOT_REACHED})
MAX_INSTANCES_LISTED = 12  # in larger rollouts, only instances that need attention have rows
BAR_WIDTH = 16  # a wave's progress bar, in characters
NAME_WIDTH = 28  # longest instance name that the table shows, in characters


def render(coordinator: Coordinator) -> Group:
    """Return the view: the waves, the instances that need attention, the totals and the gate."""
    record = coordinator.machine.record
    statuses = coordinator.machine.statuses()
    counts = Counter(status.outcome.value for status in statuses.values())
    outcomes = ", ".join(f"{count} {outcome}" for outcome, count in counts.most_common())
    title = f"rollout {coordinator.rollout} ({coordinator.change.describe()})"
    parts: list[RenderableType] = [_wave_table(coordinator)]
    instances = _instance_table(statuses)
    if instances.row_count:
        parts.append(instances)
    parts.append(Text(f"{title}: {record.phase.value}; {outcomes}"))
    if coordinator.gate_result is not None:
        parts.append(Text(f"gate: {coordinator.gate_result.reason}"))
    if record.reason:
        parts.append(Text(record.reason, style="red"))
    return Group(*parts)


def _wave_table(coordinator: Coordinator) -> Table:
    """Return a row for each wave: its progress, and the outcomes of its instances."""
    record, statuses = coordinator.machine.record, coordinator.machine.statuses()
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for column in ("wave", "", "done", "instances"):
        table.add_column(column, no_wrap=column != "instances")
    for index, wave in enumerate(record.waves):
        outcomes = Counter(statuses[target.name].outcome for target in wave)
        finished = sum(count for outcome, count in outcomes.items() if outcome in FINAL_OUTCOMES)
        marker = ">" if index == record.wave_index else " "
        table.add_row(
            f"{marker}{index + 1}",
            ProgressBar(total=len(wave), completed=finished, width=BAR_WIDTH),
            f"{finished}/{len(wave)}",
            Text(", ").join(
                Text(f"{count} {outcome.value}", style=STYLES.get(outcome, ""))
                for outcome, count in outcomes.most_common()
            ),
        )
    return table


def _instance_table(statuses: dict[str, InstanceStatus]) -> Table:
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    table.add_column("instance", no_wrap=True, overflow="ellipsis", max_width=NAME_WIDTH)
    table.add_column("fate", no_wrap=True)
    table.add_column("why")
    for name, status in statuses.items():
        if len(statuses) <= MAX_INSTANCES_LISTED or status.outcome not in ORDINARY_OUTCOMES:
            outcome = Text(status.outcome.value, style=STYLES.get(status.outcome, ""))
            table.add_row(name, outcome, _reason(status))
    return table


def _reason(status: InstanceStatus) -> str:
    if status.outcome is not InstanceOutcome.UNKNOWN:
        return status.reason
    last_response = "never"
    if status.last_response_unix_s:
        last_response = time.strftime("%H:%M:%S", time.localtime(status.last_response_unix_s))
    return f"{status.reason}; last heard {last_response}"
