"""``oakbridge status``: what a running node believes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import look_options, socket_options
from oakbridge.cli.looking import show
from oakbridge.control.protocol import ControlCommand

STATE_STYLE = {"up": "green", "cold": "cyan", "ejected": "red", "drains": "yellow"}


@click.command("status")
@socket_options
@look_options
@click.option("--rows", default=40, type=click.IntRange(0, 100_000), help="Servers to show at most.")
def command(
    socket_path: Path | None, config: Path | None, as_json: bool, watch: bool, every: float, rows: int
) -> None:
    """Show what a running node believes: its servers, its limits, the list that it uses."""
    show(socket_path, config, ControlCommand.STATUS, picture, as_json, watch, every, rows=rows)


def _source(told: dict[str, Any]) -> list[str]:
    source = told["source"]
    lines = [f"{source['kind']} {source.get('path', '')}".strip()]
    if (used := source.get("used")) is not None:
        lines[0] += f", version {used['number']} ({used['servers']} servers, {used['digest'][:12]})"
    if held := source.get("held"):
        lines.append(f"HELD: {held['digest'][:12]} takes {held['lost']} of {held['of']} ready servers away")
    if refused := source.get("refused"):
        lines.append(f"NOT USED: {refused['problems'][0]}")
    for word in ("missing", "save_error"):
        if source.get(word):
            lines.append(f"{word.replace('_', ' ').upper()}: {source[word]}")
    return lines


def _workers(rows: list[dict[str, Any]]) -> Table:
    """One line for each worker of a node that has several."""
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("worker", "pid", "state", "callers", "out", "limit", "waiting", "served"):
        table.add_column(column, justify="left" if column == "state" else "right")
    for row in rows:
        if "problem" in row:
            table.add_row(str(row["worker"]), "", Text(row["problem"].split(":")[0], style="red"))
            continue
        state = "leaving" if row["leaving"] else "ready" if row["ready"] else "not ready"
        figures = (row["callers"], row["out"], f"{row['limit']:g}", row["waiting"], row["answers"]["served"])
        table.add_row(str(row["worker"]), str(row["pid"]), state, *map(str, figures))
    return table


def picture(told: dict[str, Any]) -> Group:
    """A node's state as a table."""
    head = Table.grid(padding=(0, 2))
    state = "leaving" if told["leaving"] else "ready" if told["ready"] else "not ready"
    for name, value in (
        ("node", f"{told['name']}  {state}  {', '.join(told['listen'])}  pid {told['pid']}, {told['uptime_s']:.0f} s"),
        ("source", "\n".join(_source(told))),
        ("servers", f"{told['servers']} listed, {told['subset']} in the subset, {told['ejected']} ejected"),
        ("requests", f"{told['open_requests']} open, {told['out']} out (limit {told['limit']:g}), "
                     f"{told['waiting']} waiting, {told['callers']} callers"),
        ("retries", f"{told['retries_left']:g} left in the budget; {told['attempts_per_s']:g} attempts/s, "
                    f"{told['fail_rate']:.1%} of them failed lately"),
    ):  # fmt: skip
        head.add_row(Text(name, style="bold"), value)
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("server", "address", "zone", "state", "subset", "out", "warm", "slow", "since version"):
        table.add_column(
            column, justify="left" if column in ("server", "address", "zone", "state") else "right"
        )
    for row in told["rows"]:
        shown = row["state"] + (f" {row['ejected_for']:.1f} s" if row["ejected_for"] else "")
        table.add_row(
            row["name"], row["address"], row["zone"], Text(shown, style=STATE_STYLE.get(row["state"], "")),
            "yes" if row["subset"] else "", str(row["out"]), f"{row['warmth']:.0%}", f"{row['slowness']:.2f}",
            str(row["since_version"]),
        )  # fmt: skip
    hidden = told["servers"] - len(told["rows"])
    workers = [_workers(told["workers"])] if "workers" in told else []
    return Group(head, *workers, table, *([Text(f"{hidden} more servers (--rows)")] if hidden > 0 else []))
