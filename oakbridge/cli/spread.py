"""``oakbridge spread``: how servers are divided among nodes, and what another size will mean."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import InvalidInputError, look_options, say_json, socket_options
from oakbridge.cli.control_output import show
from oakbridge.control.protocol import ControlCommand
from oakbridge.spread.arcs import MAX_RINGS

if TYPE_CHECKING:
    from oakbridge.spread.subset_forecast import Forecast

MAX_SIZE = 20_000  # nodes, and servers
MAX_PAIRS = 1000 * MAX_SIZE  # of node and server
UNEVEN = 1.25  # times the fair share, beyond which a row stands out
MAX_ROWS = 40
COUNT = click.IntRange(1, MAX_SIZE)


@click.group(
    "spread",
    invoke_without_command=True,
    help="Show for each server how many nodes use it and its load over its fair share, "
    "and which nodes stand out.",
)
@socket_options
@look_options
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
        show(socket_path, config, ControlCommand.SPREAD, render_spread, as_json, watch, every)


@command.command(
    "plan",
    help="Tell how even and how costly a size will be, with members and without, "
    "and what a change of it moves.",
)
@click.option("--nodes", required=True, type=COUNT, help="Nodes of the tier.")
@click.option("--servers", required=True, type=COUNT, help="Servers that they use.")
@click.option("--to-nodes", type=COUNT, help="Nodes after the change; one more if absent.")
@click.option("--to-servers", type=COUNT, help="Servers after it; as many if absent.")
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
        say_json([forecast_row(each) for each in forecasts])
        return
    click.echo(f"{nodes} nodes, {servers} servers; then {after.replicas} and {after.servers}")
    for each in forecasts:
        click.echo(_forecast_line(each))


def _forecast_line(forecast: Forecast) -> str:
    highest = f"p99 {forecast.p99_load:.2f}, most {forecast.max_load:.2f}"
    load = f"{highest}, least {forecast.min_load:.2f}"
    nodes = f"{forecast.mean_replicas_per_server:.1f}, most {forecast.max_replicas_per_server}"
    return (
        f"{forecast.method:<11} load over fair share: {load}; nodes at a server: {nodes}; "
        f"servers of a node: {forecast.mean_servers_per_replica:.1f}; "
        f"moved by the change: {forecast.moved_fraction:.0%}"
    )


def render_spread(told: dict[str, Any]) -> Group:
    """Return a node's view as tables: servers that stand out first."""
    servers = sorted(told["servers"], key=lambda row: -abs((row["load_over_fair"] or 1.0) - 1.0))
    hidden = len(servers) - MAX_ROWS
    more = f"and {hidden} more; --json has all" if hidden > 0 else ""
    return Group(_summary(told), _server_table(servers[:MAX_ROWS]), Text(more))


def _summary(told: dict[str, Any]) -> Table:
    divided = f"divided among {told['copies']} nodes"
    rows = (
        ("node", told["name"]),
        ("servers", divided if told["divided"] else "each node draws its own"),
        ("moves", f"{told['moves']} since the start"),
    )
    table = Table.grid(padding=(0, 2))
    for name, value in rows:
        table.add_row(Text(name, style="bold"), value)
    for node in told["stand_out"]:
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
            _load(row["load_over_fair"]),
            f"{row['own_part']:.0%}",
        )
    return table


def _load(over_fair_share: float | None) -> Text:
    if over_fair_share is None:
        return Text("-")
    is_even = 1 / UNEVEN <= over_fair_share <= UNEVEN
    return Text(f"{over_fair_share:.2f}", style="" if is_even else "yellow")
