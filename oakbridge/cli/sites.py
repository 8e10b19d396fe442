"""``oakbridge sites``: what a node holds of each site, plans for their loss, drains and returns."""

from __future__ import annotations

import getpass
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import BadInput, Failed, connect, look_options, say_json, socket_options
from oakbridge.cli.looking import show
from oakbridge.config.errors import ConfigFileError
from oakbridge.control.errors import NodeUnreachableError, RequestRejectedError
from oakbridge.control.protocol import ControlCommand

STYLE = {"well": "green", "lost": "red", "cut off": "red", "doubted": "yellow", "held out": "dim"}
PATH = click.Path(path_type=Path)


@click.group("sites", invoke_without_command=True)
@socket_options
@look_options
@click.pass_context
def command(
    ctx: click.Context, socket_path: Path | None, config: Path | None, as_json: bool, watch: bool, every: float
) -> None:  # fmt: skip
    """Show each site's state, by whose word, its part of the calls, and what is refused meanwhile."""
    ctx.obj = (socket_path, config)
    if ctx.invoked_subcommand is None:
        show(socket_path, config, ControlCommand.SITES, picture, as_json, watch, every)


def _ask(where: tuple[Path | None, Path | None], command: ControlCommand, **arguments: Any) -> Any:
    with connect(*where) as client:
        try:
            return client.request(command, **arguments)
        except (NodeUnreachableError, RequestRejectedError) as e:
            raise Failed(str(e)) from None


@command.command("why")
@click.argument("site")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_obj
def why(where: tuple[Path | None, Path | None], site: str, as_json: bool) -> None:
    """Tell how a site came into its state, oldest first."""
    told = _ask(where, ControlCommand.SITE_HISTORY, site=site)
    if as_json:
        return say_json(told)
    for change in told["history"]:
        by = f", by the word of {', '.join(change['by'])}" if change["by"] else ""
        click.echo(
            f"{change['ago_s']:>9.1f} s ago  {change['before']} -> {change['after']}: {change['cause']}{by}"
        )


@command.command("drain")
@click.argument("site")
@click.pass_obj
def drain(where: tuple[Path | None, Path | None], site: str) -> None:
    """Take a site's load away in steps; `return` at any moment brings it back."""
    _operate(where, site, True)


@command.command("return")
@click.argument("site")
@click.pass_obj
def back(where: tuple[Path | None, Path | None], site: str) -> None:
    """Bring a drained site back in steps."""
    _operate(where, site, False)


def _operate(where: tuple[Path | None, Path | None], site: str, out: bool) -> None:
    told = _ask(where, ControlCommand.DRAIN_OR_RETURN_SITE, site=site, out=out, by=getpass.getuser())
    what = "drained" if told["out"] else "returned"
    click.echo(f"site {site} is to be {what}, by {told['by']}; the other nodes hear of it in seconds")


@command.command("plan")
@click.argument("path", metavar="SITES_TOML", type=PATH)
@click.option("--out", type=PATH, help="Where the plan is written, whole or not at all.")
@click.option("--json", "as_json", is_flag=True, help="The plan as JSON.")
def plan(path: Path, out: Path | None, as_json: bool) -> None:
    """Compute what to do at the loss of each site and of each pair."""
    import msgspec

    from oakbridge.sites.planning import make
    from oakbridge.sites.scheme import check_plan, load_sites, save_plan

    try:
        file, digest = load_sites(path)
        made = make(file, digest)
    except ConfigFileError as e:
        raise BadInput(str(e)) from None
    except ArithmeticError as e:
        raise Failed(str(e)) from None
    if wrong := check_plan(made, file, digest):
        raise Failed("\n".join(wrong))
    if out is not None:
        try:
            save_plan(out, made)
        except OSError as e:
            raise Failed(f"{out}: {e.strerror or e}") from None
    if as_json:
        return say_json(msgspec.to_builtins(made))
    for scenario in made.scenarios:
        kept = scenario.worth / scenario.offered if scenario.offered else 1.0
        cut = ", ".join(f"{name} {part:.0%}" for name, part in scenario.refused.items() if part > 0.0005)
        used = ", ".join(f"{name} {part:.0%}" for name, part in sorted(scenario.used.items()))
        lost = " and ".join(scenario.lost) or "nothing"
        click.echo(
            f"{lost} lost: {kept:.1%} of the worth kept; used {used or 'nothing'}; refused {cut or 'nothing'}"
        )


@command.command("check")
@click.argument("path", metavar="SITES_TOML", type=PATH)
@click.argument("plan_path", metavar="[PLAN]", required=False, type=PATH)
def check(path: Path, plan_path: Path | None) -> None:
    """Check a sites.toml, and that a plan was made from it; exit code 2 with every mistake."""
    from oakbridge.sites.scheme import check_plan, load_plan, load_sites

    try:
        file, digest = load_sites(path)
        wrong = check_plan(load_plan(plan_path), file, digest) if plan_path is not None else []
    except ConfigFileError as e:
        raise BadInput(str(e)) from None
    if wrong:
        raise BadInput("\n".join(f"{plan_path}: {text}" for text in wrong))
    click.echo(f"{path}: good ({len(file.sites)} sites, {len(file.classes)} classes, version {file.version})")


def picture(told: dict[str, Any]) -> Group:
    """A node's view of the sites as a table."""
    head = Table.grid(padding=(0, 2))
    refused = ", ".join(f"{name} {part:.0%}" for name, part in told["refused"].items()) or "nothing"
    for name, value in (
        ("node", f"{told['name']} in {told['home'] or 'no site'}"),
        ("refused", f"{refused} (level {told['level']:g}, set by {told['level_by'] or 'nobody'})"),
        ("pressure", f"{told['pressure']:.1%} of all calls found no room"),
        ("plan", f"version {told['plan']}" if told["plan"] else "none: by size and by who is less busy"),
    ):
        head.add_row(Text(name, style="bold"), value)
    if told["other_plans"]:
        others = ", ".join(f"{name} {version}" for name, version in list(told["other_plans"].items())[:5])
        head.add_row(Text("other plans", style="yellow"), others)
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("site", "state", "since", "part", "servers good/silent/refusing", "by", "note"):
        table.add_column(column, justify="right" if column in ("since", "part") else "left")
    for row in told["sites"]:
        note = f"drained by {row['held_by']}" if row["held_by"] else ""
        if row["again_in_s"]:
            note = f"no return for {row['again_in_s']:.0f} s, after {row['flaps']} losses"
        table.add_row(
            row["site"] + (" (own)" if row["own"] else ""), Text(row["state"], style=STYLE.get(row["state"], "")),
            f"{row['since_s']:.0f} s", f"{row['part']:.0%}", f"{row['good']}/{row['mute']}/{row['dead']}",
            ", ".join(row["by"]), note,
        )  # fmt: skip
    return Group(head, table)
