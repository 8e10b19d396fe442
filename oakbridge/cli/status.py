"""``oakbridge status``: shows the state of a running node."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import output_options, socket_options
from oakbridge.cli.control_output import show_result
from oakbridge.control.protocol import ControlCommand

SHORT_DIGEST_LENGTH = 12
STATE_STYLE = {"up": "green", "cold": "cyan", "ejected": "red", "drains": "yellow"}


@click.command("status")
@socket_options
@output_options
@click.option(
    "--rows", default=40, type=click.IntRange(0, 100_000), help="Servers to show at most."
)
def command(
    socket_path: Path | None,
    config: Path | None,
    as_json: bool,
    watch: bool,
    every: float,
    rows: int,
) -> None:
    """Show what a running node believes: its servers, its limits, the list that it uses."""
    show_result(
        socket_path, config, ControlCommand.STATUS, render_status, as_json, watch, every, rows=rows
    )


def render_status(status: dict[str, Any]) -> Group:
    """Return a node's status as tables.  ``status``: the result of the control command STATUS."""
    tables = [_summary_table(status)]
    if "workers" in status:
        tables.append(_workers_table(status["workers"]))
    tables.append(_servers_table(status["rows"]))
    hidden = status["servers"] - len(status["rows"])
    if hidden > 0:
        return Group(*tables, Text(f"{hidden} more servers (--rows)"))
    return Group(*tables)


def _summary_table(status: dict[str, Any]) -> Table:
    table = Table.grid(padding=(0, 2))
    table.add_row(Text("node", style="bold"), _node_line(status))
    table.add_row(Text("source", style="bold"), "\n".join(_source_lines(status["source"])))
    table.add_row(Text("servers", style="bold"), _servers_line(status))
    table.add_row(Text("requests", style="bold"), _requests_line(status))
    table.add_row(Text("retries", style="bold"), _retries_line(status))
    return table


def _node_line(status: dict[str, Any]) -> str:
    addresses = ", ".join(status["listen"])
    process = f"pid {status['pid']}, {status['uptime_s']:.0f} s"
    return f"{status['name']}  {_readiness(status)}  {addresses}  {process}"


def _readiness(status: dict[str, Any]) -> str:
    if status["leaving"]:
        return "leaving"
    return "ready" if status["ready"] else "not ready"


def _source_lines(source: dict[str, Any]) -> list[str]:
    """Return a line on the endpoint list in use, then one for each reason why no newer one is."""
    if "age_s" in source:
        return _discovery_lines(source)
    lines = [f"{source['kind']} {source.get('path', '')}".strip()]
    if (used := source.get("used")) is not None:
        lines[0] += (
            f", version {used['number']} ({used['servers']} servers, {_short_digest(used['digest'])})"
        )
    if held := source.get("held"):
        lines.append(
            f"HELD: {_short_digest(held['digest'])} takes {held['lost']} of {held['of']} ready servers away"
        )
    if rejected := source.get("refused"):
        lines.append(f"NOT USED: {rejected['problems'][0]}")
    for key, label in (("missing", "MISSING"), ("save_error", "SAVE ERROR")):
        if source.get(key):
            lines.append(f"{label}: {source[key]}")
    return lines


def _discovery_lines(source: dict[str, Any]) -> list[str]:
    """Return a line on the endpoint list's age, then one on the last failure."""
    line = f"discovery {source['address']}"
    if source["age_s"] is None:
        line += ", no list yet"
    else:
        version = source["version"]
        line += ", the whole list is asked for" if version is None else f", version {version}"
        line += f", up to date {source['age_s']:.1f} s ago"
    if source["due_in_s"] is not None:
        line += f", due anew in {source['due_in_s']:.1f} s"
    lines = [f"{line}, calls out: {source['calls']}"]
    if source["last_failure"]:
        lines.append(
            f"LAST FAILURE {source['last_failure_age_s']:.0f} s ago: {source['last_failure']}"
        )
    return lines


def _short_digest(digest: str) -> str:
    return digest[:SHORT_DIGEST_LENGTH]


def _servers_line(status: dict[str, Any]) -> str:
    return (
        f"{status['servers']} listed, {status['subset']} in the subset, {status['ejected']} ejected"
    )


def _requests_line(status: dict[str, Any]) -> str:
    in_flight = f"{status['out']} out (limit {status['limit']:g})"
    queued = f"{status['waiting']} waiting, {status['callers']} callers"
    return f"{status['open_requests']} open, {in_flight}, {queued}"


def _retries_line(status: dict[str, Any]) -> str:
    budget = f"{status['retries_left']:g} left in the budget"
    rates = (
        f"{status['attempts_per_s']:g} attempts/s, {status['fail_rate']:.1%} of them failed lately"
    )
    return f"{budget}; {rates}"


def _workers_table(workers: list[dict[str, Any]]) -> Table:
    """Return a table with a row for each worker of a node that has several."""
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("worker", "pid", "state", "callers", "out", "limit", "waiting", "served"):
        table.add_column(column, justify="left" if column == "state" else "right")
    for worker in workers:
        number = str(worker["worker"])
        if "problem" in worker:
            table.add_row(number, "", Text(worker["problem"].split(":")[0], style="red"))
            continue
        table.add_row(
            number,
            str(worker["pid"]),
            _readiness(worker),
            str(worker["callers"]),
            str(worker["out"]),
            f"{worker['limit']:g}",
            str(worker["waiting"]),
            str(worker["answers"]["served"]),
        )
    return table


def _servers_table(servers: list[dict[str, Any]]) -> Table:
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("server", "address", "zone", "state"):
        table.add_column(column)
    for column in ("subset", "out", "warm", "slow", "since version"):
        table.add_column(column, justify="right")
    for server in servers:
        table.add_row(
            server["name"],
            server["address"],
            server["zone"],
            _server_state(server),
            "yes" if server["subset"] else "",
            str(server["out"]),
            f"{server['warmth']:.0%}",
            f"{server['slowness']:.2f}",
            str(server["since_version"]),
        )
    return table


def _server_state(server: dict[str, Any]) -> Text:
    state = server["state"]
    remaining = f" {server['ejected_for']:.1f} s" if server["ejected_for"] else ""
    return Text(f"{state}{remaining}", style=STATE_STYLE.get(state, ""))
