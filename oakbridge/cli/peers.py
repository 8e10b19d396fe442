"""``oakbridge peers``: which other nodes a node knows, and how sure it is."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import Failed, connect, look_options, say_json, socket_options
from oakbridge.cli.looking import show
from oakbridge.control.client import Unreachable
from oakbridge.control.protocol import Refusal

STYLE = {"alive": "green", "this node": "bold", "suspect": "yellow", "failed": "red", "left": "dim"}


@click.group("peers", invoke_without_command=True)
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
    """Show the nodes that a node knows: state, since when, by whose word; and its stance."""
    ctx.obj = (socket_path, config)
    if ctx.invoked_subcommand is not None:
        return
    show(socket_path, config, "peers", picture, as_json, watch, every)


@command.command("why")
@click.argument("name")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_obj
def why(where: tuple[Path | None, Path | None], name: str, as_json: bool) -> None:
    """Tell how this node came to hold what it holds of one member, oldest first."""
    with connect(*where) as client:
        try:
            told = client.ask("peers.why", name=name)
        except (Unreachable, Refusal) as e:
            raise Failed(str(e)) from None
    if as_json:
        return say_json(told)
    for change in told["history"]:
        before = change["before"] or "not known"
        click.echo(
            f"{change['ago_s']:>9.1f} s ago  {before} -> {change['after']} at {change['address']}, "
            f"by the word of {change['by'] or 'its own'}: {change['cause']}"
        )


def picture(told: dict[str, Any]) -> Group:
    """A node's view of the others as a table."""
    head = Table.grid(padding=(0, 2))
    place = "none yet" if told["place"] is None else "{} of {}".format(*told["place"])
    for name, value in (
        ("node", told["name"]),
        ("stance", told["stance"] or "not known yet"),
        ("place", place),
        ("health", "well" if not told["health"] else f"slow itself: times {told['health'] + 1}"),
    ):
        head.add_row(Text(name, style="bold"), value)
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("member", "site", "state", "since", "by", "incarnation", "version"):
        table.add_column(column, justify="right" if column in ("since", "incarnation") else "left")
    for row in told["members"]:
        state = Text(row["state"], style=STYLE.get(row["state"], ""))
        since = "" if row["state"] == "this node" else f"{row['since_s']:.0f} s"
        table.add_row(
            row["name"], row["site"], state, since, row["by"], str(row["incarnation"]), row["version"]
        )
    for row in told["doubted"]:
        worth = f"weight {row['weight']}" if row["weight"] else "one voice counts for nothing"
        head.add_row(Text("doubted", style="bold"), f"{row['server']} by {', '.join(row['by'])}: {worth}")
    return Group(head, table)
