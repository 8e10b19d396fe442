"""A rollout as people look at it: a line for each wave, then one for each instance that is not in order."""

from __future__ import annotations

import time
from collections import Counter

from rich import box
from rich.console import Group
from rich.progress_bar import ProgressBar
from rich.table import Table
from rich.text import Text

from oakbridge.rollout.conduct import Conductor
from oakbridge.rollout.machine import OVER, Fate, Row

STYLE = {Fate.TOOK: "green", Fate.UNKNOWN: "yellow", Fate.DID_NOT: "red", Fate.UNDONE: "red"}
SMALL = 12  # rollouts of so many instances have a line for each of them


def why(row: Row) -> str:
    """What is known of one instance's fate."""
    if row.fate is not Fate.UNKNOWN:
        return row.reason
    last = time.strftime("%H:%M:%S", time.localtime(row.since)) if row.since else "never"
    return f"{row.reason}; last heard {last}"


def _waves(conductor: Conductor) -> Table:
    """A line for each wave: how far it is, and what became of its instances."""
    machine = conductor.machine
    report = machine.report()
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for column in ("wave", "", "done", "instances"):
        table.add_column(column, no_wrap=column != "instances")
    for number, wave in enumerate(machine.record.waves, 1):
        fates = Counter(report[t.name].fate for t in wave)
        over = sum(n for fate, n in fates.items() if fate in OVER)
        told = Text(", ").join(
            Text(f"{n} {fate.value}", style=STYLE.get(fate, "")) for fate, n in fates.most_common()
        )
        here = ">" if number == machine.record.wave + 1 else " "
        bar = ProgressBar(total=len(wave), completed=over, width=16)
        table.add_row(f"{here}{number}", bar, f"{over}/{len(wave)}", told)
    return table


def _rows(conductor: Conductor) -> Table:
    report = conductor.machine.report()
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    table.add_column("instance", no_wrap=True, overflow="ellipsis", max_width=28)
    table.add_column("fate", no_wrap=True)
    table.add_column("why")
    for name, row in report.items():
        quiet = row.fate in (Fate.TOOK, Fate.WAITS)
        if len(report) <= SMALL or not quiet:
            table.add_row(name, Text(row.fate.value, style=STYLE.get(row.fate, "")), why(row))
    return table


def picture(conductor: Conductor) -> Group:
    """The whole."""
    record = conductor.machine.record
    counts = Counter(row.fate.value for row in conductor.machine.report().values())
    told = ", ".join(f"{n} {word}" for word, n in counts.most_common())
    rows = _rows(conductor)
    lines = [Text(f"rollout {conductor.rollout} ({conductor.change.says()}): {record.stage.value}; {told}")]
    if conductor.judgement is not None:
        lines.append(Text(f"gate: {conductor.judgement.reason}"))
    if record.reason:
        lines.append(Text(record.reason, style="red"))
    return Group(_waves(conductor), *([rows] if rows.row_count else []), *lines)
