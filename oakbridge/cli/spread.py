"""``oakbridge spread``: shows how servers are divided among nodes, and forecasts other sizes."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import InvalidInputError, output_options, print_json, socket_options
from oakbridge.cli.control_output import show_result
from oakbridge.control.protocol import ControlCommand
from oakbridge.spread.arcs import MAX_RINGS

if TYPE_CHECKING:
    from oakbridge.spread.subset_forecast import Forecast

MAX_TIER_SIZE = 20_000  # most nodes, and most servers, of a forecast
MAX_PAIRS = 1000 * MAX_TIER_SIZE  # most pairs of a node and a server of a forecast
MAX_EVEN_LOAD = 1.25  # a load over fair share above this, or below its inverse, is marked
MAX_ROWS = 40  # most servers that the table shows
SIZE_RANGE = click.IntRange(1, MAX_TIER_SIZE)


@click.group(
    "spread",
    invoke_without_command=True,
    help="Show for each server how many nodes use it and its load over its fair share, "
    "and which nodes stand out.",
)
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
    """Show how the servers are divided, unless a subcommand is given."""
    if ctx.invoked_subcommand is None:
        show_result(
            socket_path, config, ControlCommand.SPREAD, render_spread, as_json, watch, every
        )


@command.command(
    "plan",
    help="Tell how even and how costly a size will be, with members and without, "
    "and what a change of it moves.",
)
@click.option("--nodes", required=True, type=SIZE_RANGE, help="Nodes of the tier.")
@click.option("--servers", required=True, type=SIZE_RANGE, help="Servers that they use.")
@click.option("--to-nodes", type=SIZE_RANGE, help="Nodes after the change; one more if absent.")
@click.option("--to-servers", type=SIZE_RANGE, help="Servers after it; as many if absent.")
@click.option(
    "--rings",
    default=4,
    type=click.IntRange(1, MAX_RINGS),
    help="As `spread.rings` in the configuration.",
)
@click.option(
    "--uneven",
    default=0.0,
    type=click.FloatRange(0, 3),
    help="How unequal the nodes' calls are: a sigma.",
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
    """Print the forecast for a size and for the size after a change."""
    from oakbridge.spread.operator_view import forecast_row
    from oakbridge.spread.subset_forecast import TierSize, forecast

    if nodes * servers > MAX_PAIRS:
        raise InvalidInputError(
            f"spread plan: expected at most {MAX_PAIRS} pairs of node and server"
        )
    before = TierSize(nodes, servers)
    after = TierSize(to_nodes or nodes + (to_servers is None), to_servers or servers)
    forecasts = forecast(before, after, rings=rings, sigma=uneven, seed=seed)
    if as_json:
        print_json([forecast_row(method_forecast) for method_forecast in forecasts])
        return
    click.echo(f"{nodes} nodes, {servers} servers; then {after.replicas} and {after.servers}")
    for method_forecast in forecasts:
        click.echo(_forecast_line(method_forecast))


def _forecast_line(forecast: Forecast) -> str:
    highest = f"p99 {forecast.p99_load:.2f}, most {forecast.max_load:.2f}"
    load = f"{highest}, least {forecast.min_load:.2f}"
    nodes = f"{forecast.mean_replicas_per_server:.1f}, most {forecast.max_replicas_per_server}"
    return (
        f"{forecast.method:<11} load over fair share: {load}; nodes at a server: {nodes}; "
        f"servers of a node: {forecast.mean_servers_per_replica:.1f}; "
        f"moved by the change: {forecast.moved_fraction:.0%}"
    )


def render_spread(report: dict[str, Any]) -> Group:
    """Return a node's view as tables, with the servers furthest from their fair share first."""
    servers = sorted(report["servers"], key=lambda row: -abs((row["load_over_fair"] or 1.0) - 1.0))
    hidden = len(servers) - MAX_ROWS
    more = f"and {hidden} more; --json has all" if hidden > 0 else ""
    return Group(_summary_table(report), _server_table(servers[:MAX_ROWS]), Text(more))


def _summary_table(report: dict[str, Any]) -> Table:
    division = f"divided among {report['copies']} nodes"
    rows = (
        ("node", report["name"]),
        ("servers", division if report["divided"] else "each node draws its own"),
        ("moves", f"{report['moves']} since the start"),
    )
    table = Table.grid(padding=(0, 2))
    for name, value in rows:
        table.add_row(Text(name, style="bold"), value)
    for node in report["stand_out"]:
        text = f"{node['name']}: {node['over_mean']:g} times the mean"
        table.add_row(Text("stands out", style="yellow"), text)
    return table


def _server_table(servers: list[dict[str, Any]]) -> Table:
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("server", "zone", "size", "nodes", "load over fair share", "this node's part"):
        table.add_column(column, justify="left" if column in ("server", "zone") else "right")
    for row in servers:
        table.add_row(
            row["name"],
            row["zone"],
            f"{row['size']:g}",
            str(row["copies"]),
            _load_cell(row["load_over_fair"]),
            f"{row['own_part']:.0%}",
        )
    return table


def _load_cell(over_fair_share: float | None) -> Text:
    if over_fair_share is None:
        return Text("-")
    is_even = 1 / MAX_EVEN_LOAD <= over_fair_share <= MAX_EVEN_LOAD
    return Text(f"{over_fair_share:.2f}", style="" if is_even else "yellow")
