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

OWN_STATE = "this node"
STYLE = {
    "alive": "green",
    OWN_STATE: "bold",
    "suspect": "yellow",
    "failed": "red",
    "left": "dim",
}
COLUMNS = ("member", "site", "state", "since", "by", "incarnation", "version")
RIGHT_COLUMNS = ("since", "incarnation")


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
            answer = client.ask("peers.why", name=name)
        except (Unreachable, Refusal) as e:
            raise Failed(str(e)) from None
    if as_json:
        say_json(answer)
        return
    for change in answer["history"]:
        before = change["before"] or "not known"
        click.echo(
            f"{change['ago_s']:>9.1f} s ago  {before} -> {change['after']} at {change['address']}, "
            f"by the word of {change['by'] or 'its own'}: {change['cause']}"
        )


def picture(answer: dict[str, Any]) -> Group:
    """Return a node's view of the others as tables."""
    return Group(_summary(answer), _member_table(answer["members"]))


def _summary(answer: dict[str, Any]) -> Table:
    place = "none yet" if answer["place"] is None else "{} of {}".format(*answer["place"])
    health = "well"
    if answer["health"]:
        health = f"slow itself: times {answer['health'] + 1}"
    summary = Table.grid(padding=(0, 2))
    for name, value in (
        ("node", answer["name"]),
        ("stance", answer["stance"] or "not known yet"),
        ("place", place),
        ("health", health),
    ):
        summary.add_row(Text(name, style="bold"), value)
    for failing in answer["doubted"]:
        weight = "one voice counts for nothing"
        if failing["weight"]:
            weight = f"weight {failing['weight']}"
        value = f"{failing['server']} by {', '.join(failing['by'])}: {weight}"
        summary.add_row(Text("doubted", style="bold"), value)
    return summary


def _member_table(members: list[dict[str, Any]]) -> Table:
    table = Table(box=box.SIMPLE_HEAD)
    for column in COLUMNS:
        table.add_column(column, justify="right" if column in RIGHT_COLUMNS else "left")
    for member in members:
        is_own = member["state"] == OWN_STATE
        table.add_row(
            member["name"],
            member["site"],
            Text(member["state"], style=STYLE.get(member["state"], "")),
            "" if is_own else f"{member['since_s']:.0f} s",
            member["by"],
            str(member["incarnation"]),
            member["version"],
        )
    return table
