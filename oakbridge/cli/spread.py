"""``oakbridge spread``: how the servers are divided among the nodes, and what another size will mean."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import BadInput, look_options, say_json, socket_options
from oakbridge.cli.looking import show
from oakbridge.control.protocol import ControlCommand

MOST = 20_000  # nodes, and servers, that are reckoned with
UNEVEN = 1.25  # times the fair share, beyond which a row stands out
ROWS = 40


@click.group("spread", invoke_without_command=True)
@socket_options
@look_options
@click.pass_context
def command(
    ctx: click.Context, socket_path: Path | None, config: Path | None, as_json: bool, watch: bool, every: float
) -> None:  # fmt: skip
    """Show for each server how many nodes use it and its load over its fair share, and which nodes stand out."""
    if ctx.invoked_subcommand is None:
        show(socket_path, config, ControlCommand.SPREAD, picture, as_json, watch, every)


@command.command("plan")
@click.option("--nodes", required=True, type=click.IntRange(1, MOST), help="Nodes of the tier.")
@click.option("--servers", required=True, type=click.IntRange(1, MOST), help="Servers that they use.")
@click.option("--to-nodes", type=click.IntRange(1, MOST), help="Nodes after the change; one more if absent.")
@click.option("--to-servers", type=click.IntRange(1, MOST), help="Servers after it; as many if absent.")
@click.option("--rings", default=4, type=click.IntRange(1, 8), help="As `spread.rings` in the configuration.")
@click.option(
    "--uneven", default=0.0, type=click.FloatRange(0, 3), help="How unequal the nodes' calls are: a sigma."
)
@click.option("--seed", default=1, type=click.IntRange(0))
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def plan(
    nodes: int,
    servers: int,
    to_nodes: int | None,
    to_servers: int | None,
    rings: int,
    uneven: float,
    seed: int,
    as_json: bool,
) -> None:
    """Tell how even and how costly a size will be, with members and without, and what a change of it moves."""
    from oakbridge.spread.outlook import outlook

    if nodes * servers > MOST * 1000:
        raise BadInput(f"spread plan: expected at most {MOST * 1000} pairs of node and server")
    then = to_nodes or nodes + (to_servers is None), to_servers or servers
    rows = outlook(nodes, servers, *then, rings, uneven, seed)
    if as_json:
        return say_json([asdict(row) for row in rows])
    click.echo(f"{nodes} nodes, {servers} servers; then {then[0]} and {then[1]}")
    for row in rows:
        click.echo(
            f"{row.way:<11} load over fair share: p99 {row.p99:.2f}, most {row.most:.2f}, least {row.least:.2f}; "
            f"nodes at a server: {row.copies_each:.1f}, most {row.copies_most}; "
            f"servers of a node: {row.servers_each:.1f}; moved by the change: {row.moved:.0%}"
        )


def picture(told: dict[str, Any]) -> Group:
    """A node's view as a table: servers that stand out first."""
    head = Table.grid(padding=(0, 2))
    state = f"divided among {told['copies']} nodes" if told["divided"] else "each node draws its own"
    rows = [("node", told["name"]), ("servers", state), ("moves", f"{told['moves']} since the start")]
    for name, value in rows:
        head.add_row(Text(name, style="bold"), value)
    for one in told["stand_out"]:
        head.add_row(
            Text("stands out", style="yellow"), f"{one['name']}: {one['over_mean']:g} times the mean"
        )
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("server", "zone", "size", "nodes", "load over fair share", "this node's part"):
        table.add_column(column, justify="left" if column in ("server", "zone") else "right")
    servers = sorted(told["servers"], key=lambda s: -abs((s["load_over_fair"] or 1.0) - 1.0))
    for row in servers[:ROWS]:
        load = row["load_over_fair"]
        style = "yellow" if load is not None and not 1 / UNEVEN <= load <= UNEVEN else ""
        table.add_row(
            row["name"], row["zone"], f"{row['size']:g}", str(row["copies"]),
            Text("-" if load is None else f"{load:.2f}", style=style), f"{row['own_part']:.0%}",
        )  # fmt: skip
    more = Text(f"and {len(servers) - ROWS} more; --json has all") if len(servers) > ROWS else Text("")
    return Group(head, table, more)
