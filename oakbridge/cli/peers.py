"""``oakbridge peers``: shows the other nodes that a node knows, and the state of each."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import (
    NodeOptions,
    output_options,
    print_json,
    send_command,
    socket_options,
)
from oakbridge.cli.control_output import show_result
from oakbridge.control.protocol import ControlCommand

STATE_STYLE = {
    "alive": "green",
    "this node": "bold",
    "suspect": "yellow",
    "failed": "red",
    "left": "dim",
}


@click.group("peers", invoke_without_command=True)
@socket_options
@output_options
@click.pass_context
def command(
    ctx: click.Context,
    socket_path: Path | None,
    config: Path | None,
    as_json: bool,
    watch: bool,
    every: float,
) -> None:
    """Show the nodes that a node knows: state, since when, by whose word; and its stance."""
    ctx.obj = (socket_path, config)
    if ctx.invoked_subcommand is not None:
        return
    show_result(socket_path, config, ControlCommand.PEERS, render_peers, as_json, watch, every)


@command.command("why")
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_obj
def why(node_options: NodeOptions, name: str, as_json: bool) -> None:
    """Tell how this node came to hold what it holds of one member, oldest first."""
    report = send_command(node_options, ControlCommand.PEER_HISTORY, name=name)
    if as_json:
        print_json(report)
        return
    for change in report["history"]:
        before = change["before"] or "not known"
        click.echo(
            f"{change['ago_s']:>9.1f} s ago  {before} -> {change['after']} at {change['address']}, "
            f"by the word of {change['by'] or 'its own'}: {change['cause']}"
        )


def render_peers(report: dict[str, Any]) -> Group:
    """Return a node's view of the others as tables.  ``report``: the result of PEERS."""
    return Group(_summary_table(report), _members_table(report["members"]))


def _summary_table(report: dict[str, Any]) -> Table:
    place = "none yet" if report["place"] is None else "{} of {}".format(*report["place"])
    health = f"slow itself: times {report['health'] + 1}" if report["health"] else "well"
    table = Table.grid(padding=(0, 2))
    table.add_row(Text("node", style="bold"), report["name"])
    table.add_row(Text("stance", style="bold"), report["stance"] or "not known yet")
    table.add_row(Text("place", style="bold"), place)
    table.add_row(Text("health", style="bold"), health)
    for doubt in report["doubted"]:
        weight = f"weight {doubt['weight']}" if doubt["weight"] else "one voice counts for nothing"
        line = f"{doubt['server']} by {', '.join(doubt['by'])}: {weight}"
        table.add_row(Text("doubted", style="bold"), line)
    return table


def _members_table(members: list[dict[str, Any]]) -> Table:
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("member", "site", "state", "since", "by", "incarnation", "version"):
        table.add_column(column, justify="right" if column in ("since", "incarnation") else "left")
    for member in members:
        state = member["state"]
        table.add_row(
            member["name"],
            member["site"],
            Text(state, style=STATE_STYLE.get(state, "")),
            "" if state == "this node" else f"{member['since_s']:.0f} s",
            member["by"],
            str(member["incarnation"]),
            member["version"],
        )
    return table
