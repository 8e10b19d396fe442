"""``oakbridge sites``: shows a node's view of each site, drains sites, plans for their loss."""

from __future__ import annotations

import getpass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
from rich import box
from rich.console import Group
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import (
    CommandFailedError,
    InvalidInputError,
    NodeOptions,
    output_options,
    print_json,
    send_command,
    socket_options,
)
from oakbridge.cli.control_output import show_result
from oakbridge.config.errors import ConfigFileError
from oakbridge.control.protocol import ControlCommand

if TYPE_CHECKING:
    from oakbridge.sites.plan_file import LossScenario, SitePlan

STATE_STYLE = {
    "well": "green",
    "lost": "red",
    "cut off": "red",
    "doubted": "yellow",
    "held out": "dim",
}
PATH_TYPE = click.Path(path_type=Path)
MIN_SHOWN_FRACTION = 0.0005  # smaller rejected fractions of a class are not printed
MAX_OTHER_PLANS = 5  # most nodes with another plan that the summary shows


@click.group("sites", invoke_without_command=True)
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
    """Show each site's state, by whose word, its part of the calls, and what is refused meanwhile."""
    ctx.obj = (socket_path, config)
    if ctx.invoked_subcommand is None:
        show_result(socket_path, config, ControlCommand.SITES, render_sites, as_json, watch, every)


@command.command("why")
@click.argument("site")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_obj
def why(node_options: NodeOptions, site: str, as_json: bool) -> None:
    """Tell how a site came into its state, oldest first."""
    report = send_command(node_options, ControlCommand.SITE_HISTORY, site=site)
    if as_json:
        print_json(report)
        return
    for change in report["history"]:
        by = f", by the word of {', '.join(change['by'])}" if change["by"] else ""
        states = f"{change['before']} -> {change['after']}"
        click.echo(f"{change['ago_s']:>9.1f} s ago  {states}: {change['cause']}{by}")


@command.command("drain")
@click.argument("site")
@click.pass_obj
def drain(node_options: NodeOptions, site: str) -> None:
    """Take a site's load away in steps; `return` at any moment brings it back."""
    _drain_or_return(node_options, site, out=True)


@command.command("return")
@click.argument("site")
@click.pass_obj
def return_site(node_options: NodeOptions, site: str) -> None:
    """Bring a drained site back in steps."""
    _drain_or_return(node_options, site, out=False)


def _drain_or_return(node_options: NodeOptions, site: str, *, out: bool) -> None:
    operator = getpass.getuser()
    result = send_command(
        node_options, ControlCommand.DRAIN_OR_RETURN_SITE, site=site, out=out, by=operator
    )
    target_state = "drained" if result["out"] else "returned"
    order = f"site {site} is to be {target_state}, by {result['by']}"
    click.echo(f"{order}; the other nodes hear of it in seconds")


@command.command("plan")
@click.argument("path", metavar="SITES_TOML", type=PATH_TYPE)
@click.option("--out", type=PATH_TYPE, help="Where the plan is written, whole or not at all.")
@click.option("--json", "as_json", is_flag=True, help="The plan as JSON.")
def plan(path: Path, out: Path | None, as_json: bool) -> None:
    """Compute what to do at the loss of each site and of each pair."""
    import msgspec

    site_plan = _compute_checked_plan(path)
    if out is not None:
        _save_plan(out, site_plan)
    if as_json:
        print_json(msgspec.to_builtins(site_plan))
        return
    for scenario in site_plan.scenarios:
        click.echo(_scenario_line(scenario))


def _compute_checked_plan(path: Path) -> SitePlan:
    from oakbridge.config.sites_file import load_topology
    from oakbridge.sites.errors import PlanningError
    from oakbridge.sites.plan_file import check_plan
    from oakbridge.sites.planning import compute_plan

    try:
        topology = load_topology(path)
        site_plan = compute_plan(topology)
    except ConfigFileError as error:
        raise InvalidInputError(str(error)) from None
    except PlanningError as error:
        raise CommandFailedError(str(error)) from None
    if mistakes := check_plan(site_plan, topology):
        raise CommandFailedError("\n".join(mistakes))
    return site_plan


def _save_plan(path: Path, site_plan: SitePlan) -> None:
    from oakbridge.sites.plan_file import save_plan

    try:
        save_plan(path, site_plan)
    except OSError as error:
        raise CommandFailedError(f"{path}: {error.strerror or error}") from None


def _scenario_line(scenario: LossScenario) -> str:
    offered = scenario.offered_weight
    served_fraction = scenario.served_weight / offered if offered else 1.0
    rejected = ", ".join(
        f"{name} {fraction:.0%}"
        for name, fraction in scenario.rejected_fractions.items()
        if fraction > MIN_SHOWN_FRACTION
    )
    utilization_by_site = sorted(scenario.utilization.items())
    utilizations = ", ".join(f"{name} {fraction:.0%}" for name, fraction in utilization_by_site)
    lost = " and ".join(scenario.lost_sites) or "nothing"
    return (
        f"{lost} lost: {served_fraction:.1%} of the worth kept; used {utilizations or 'nothing'}; "
        f"refused {rejected or 'nothing'}"
    )


@command.command("check")
@click.argument("path", metavar="SITES_TOML", type=PATH_TYPE)
@click.argument("plan_path", metavar="[PLAN]", required=False, type=PATH_TYPE)
def check(path: Path, plan_path: Path | None) -> None:
    """Check a sites.toml, and that a plan was made from it; exit code 2 with every mistake."""
    from oakbridge.config.sites import load_plan
    from oakbridge.config.sites_file import load_topology
    from oakbridge.sites.plan_file import check_plan

    try:
        topology = load_topology(path)
        mistakes = check_plan(load_plan(plan_path), topology) if plan_path is not None else []
    except ConfigFileError as error:
        raise InvalidInputError(str(error)) from None
    if mistakes:
        raise InvalidInputError("\n".join(f"{plan_path}: {mistake}" for mistake in mistakes))
    counts = f"{len(topology.sites)} sites, {len(topology.classes)} classes"
    click.echo(f"{path}: good ({counts}, version {topology.version})")


def render_sites(report: dict[str, Any]) -> Group:
    """Return a node's view of the sites as tables."""
    return Group(_summary_table(report), _site_table(report["sites"]))


def _summary_table(report: dict[str, Any]) -> Table:
    fractions = report["refused"].items()
    rejected = ", ".join(f"{name} {fraction:.0%}" for name, fraction in fractions) or "nothing"
    level = f"level {report['level']:g}, set by {report['level_by'] or 'nobody'}"
    no_plan = "none: by size and by who is less busy"
    rows = (
        ("node", f"{report['name']} in {report['home'] or 'no site'}"),
        ("refused", f"{rejected} ({level})"),
        ("pressure", f"{report['pressure']:.1%} of all calls found no room"),
        ("plan", f"version {report['plan']}" if report["plan"] else no_plan),
    )
    table = Table.grid(padding=(0, 2))
    for name, value in rows:
        table.add_row(Text(name, style="bold"), value)
    if report["other_plans"]:
        shown = list(report["other_plans"].items())[:MAX_OTHER_PLANS]
        others = ", ".join(f"{name} {version}" for name, version in shown)
        table.add_row(Text("other plans", style="yellow"), others)
    return table


def _site_table(sites: list[dict[str, Any]]) -> Table:
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("site", "state", "since", "part", "servers good/silent/refusing", "by", "note"):
        table.add_column(column, justify="right" if column in ("since", "part") else "left")
    for row in sites:
        table.add_row(
            row["site"] + (" (own)" if row["own"] else ""),
            Text(row["state"], style=STATE_STYLE.get(row["state"], "")),
            f"{row['since_s']:.0f} s",
            f"{row['part']:.0%}",
            f"{row['good']}/{row['mute']}/{row['dead']}",
            ", ".join(row["by"]),
            _site_note(row),
        )
    return table


def _site_note(row: dict[str, Any]) -> str:
    if row["again_in_s"]:
        return f"no return for {row['again_in_s']:.0f} s, after {row['flaps']} losses"
    return f"drained by {row['held_by']}" if row["held_by"] else ""
