"""``oakbridge demo``: runs servers, a node and a load on real sockets, and shows live figures."""

from __future__ import annotations

import asyncio
from typing import Any

import click
from rich import box
from rich.console import Console, Group
from rich.live import Live
from rich.progress_bar import ProgressBar
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import CommandFailedError, print_json
from oakbridge.cli.status import STATE_STYLE
from oakbridge.demo.runner import DemoError, Scene, run_demo


@click.command("demo")
@click.option(
    "--seconds", default=10.0, type=click.FloatRange(1, 300), help="How long the load lasts."
)
@click.option("--rate", default=200.0, type=click.FloatRange(1, 2000), help="Requests a second.")
@click.option(
    "--seed", default=7, type=click.IntRange(0), help="For arrivals and for the servers' behaviour."
)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON, and no live figures.")
def command(seconds: float, rate: float, seed: int, as_json: bool) -> None:
    """Stand-in servers (one slow, one failing), a node and a small load, with live figures."""
    console = Console()
    try:
        if as_json or not console.is_terminal:
            scene = asyncio.run(run_demo(rate, seconds, seed, lambda _: None))
        else:
            with Live(console=console, refresh_per_second=4) as live:
                scene = asyncio.run(
                    run_demo(
                        rate, seconds, seed, lambda current: live.update(render_scene(current))
                    )
                )
    except DemoError as error:
        raise CommandFailedError(str(error)) from None
    if as_json:
        print_json(scene_json(scene))
    elif not console.is_terminal:
        console.print(render_scene(scene))
    tally = scene.tally
    if tally.lost or tally.done != tally.sent:
        raise CommandFailedError(
            f"{tally.sent - sum(tally.answered.values())} of {tally.sent} requests have no answer"
        )
    if not as_json:
        console.print(f"Every one of {tally.sent} requests had exactly one answer.")


def scene_json(scene: Scene) -> dict[str, Any]:
    """Return the figures for ``--json``."""
    tally = scene.tally
    return {
        "sent": tally.sent,
        "answered": {str(status): count for status, count in sorted(tally.answered.items())},
        "lost": tally.lost,
        "in_aim": tally.within_objective,
        "by_server": dict(sorted(tally.by_server.items())),
        "latency_ms": {
            f"p{percent}": round(1000 * tally.percentile(percent / 100), 1)
            for percent in (50, 90, 99)
        },
        "list_version": scene.status.get("list_version"),
    }


def render_scene(scene: Scene) -> Group:
    """Return the progress, a row for each server, and the figures."""
    tally, rows = scene.tally, {listed["name"]: listed for listed in scene.status.get("rows", [])}
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("server", "what it does", "state", "out", "answers", "share"):
        table.add_column(
            column, justify="left" if column in ("server", "what it does", "state") else "right"
        )
    total = max(1, sum(tally.by_server.values()))
    for name, role in scene.roles.items():
        row, count = rows.get(name), tally.by_server[name]
        state = row["state"] if row else "not listed"
        style = STATE_STYLE.get(state, "dim")
        out = str(row["out"]) if row else ""
        table.add_row(name, role, Text(state, style=style), out, str(count), f"{count / total:.0%}")
    served = tally.answered[200]
    figures = (
        f"{tally.sent} sent, {served} served, {tally.within_objective} of them in time, "
        f"{sum(tally.answered.values()) - served} refused or failed, {tally.lost} lost\n"
        f"latency p50 {1000 * tally.percentile(0.5):.0f} ms, p99 {1000 * tally.percentile(0.99):.0f} ms; "
        f"retries left in the budget {scene.status.get('retries_left', 0):g}"
    )
    bar = ProgressBar(total=scene.total_s or 1, completed=scene.elapsed_s, width=60)
    return Group(*map(Text, scene.messages), bar, table, Text(figures))
