"""``oakbridge servers``: what a server file holds, what it would change, and a word for a held version."""

from __future__ import annotations

import dataclasses
import time
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Console
from rich.table import Table

from oakbridge.cli.common import BadInput, Failed, connect, say_json, socket_options
from oakbridge.control.errors import RequestRejectedError
from oakbridge.control.protocol import ControlCommand
from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.sources.files import load_saved
from oakbridge.sources.inspect import Inspection, inspect
from oakbridge.sources.versions import Change, Version, compare


@click.group("servers")
def command() -> None:
    """Server files: check one, show what it would change, accept a version that is held."""


def _good(path: Path) -> Inspection:
    found = inspect(path)
    if found.problems:
        raise BadInput("\n".join(map(str, found.problems)))
    return found


def _row(entry: ListedEndpoint) -> dict[str, Any]:
    s = entry.server
    return {
        "name": s.id, "address": s.address, "state": s.state, "weight": s.weight, "zone": s.zone, "group": s.cell,
        "since": s.started_at / 1e6 if s.started_at else None,
    }  # fmt: skip


@command.command("check")
@click.argument("path", metavar="FILE", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def check(path: Path, as_json: bool) -> None:
    """Check a server file, or a directory of them; exit code 2 if there are mistakes."""
    if as_json:
        found = inspect(path)
        problems = [dataclasses.asdict(p) | {"field": p.where()} for p in found.problems]
        say_json({"ok": not problems, "servers": len(found.parsed.servers), "problems": problems})
        if problems:
            raise click.exceptions.Exit(2)
        return
    found = _good(path)
    ready = sum(1 for e in found.parsed.servers.values() if e.server.state == "up")
    click.echo(f"{path}: good ({len(found.parsed.servers)} servers, {ready} of them ready)")


def _in_use(against: Path | None, saved: Path | None, path: Path) -> Version | None:
    """The list to compare with: another server file, or the copy that a node has saved."""
    if against is not None:
        other = _good(against)
        return Version(1, other.digest, other.parsed.servers)
    if saved is not None:
        version = load_saved(saved)
        if version is None:
            raise BadInput(f"{saved}: expected a saved copy of a list that can be read")
        return version
    return None


@command.command("show")
@click.argument("path", metavar="FILE", type=click.Path(path_type=Path))
@click.option("--against", type=click.Path(path_type=Path), help="Another server file: show what changes.")
@click.option("--saved", type=click.Path(path_type=Path), help="A node's saved copy: show what changes.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def show(path: Path, against: Path | None, saved: Path | None, as_json: bool) -> None:
    """Show the servers of a file, or what it would change."""
    if against is not None and saved is not None:
        raise BadInput("servers show: expected one of --against and --saved")
    found = _good(path)
    base = _in_use(against, saved, path)
    change = compare(base, found.digest, found.parsed, int(time.time() * 1e6), lambda: None)
    if as_json:
        return say_json(_as_json(change, base))
    console = Console()
    table = Table(box=box.SIMPLE_HEAD)
    for column in ("change", "server", "address", "state", "weight", "zone", "group"):
        table.add_column(column, justify="right" if column in ("weight", "group") else "left")
    marks = _marks(change, base)
    for name, entry in {**change.servers, **{n: base.servers[n] for n in change.gone if base}}.items():
        if base is None or name in marks:
            row = _row(entry)
            cells = [
                row["name"],
                row["address"],
                row["state"],
                f"{row['weight']:g}",
                row["zone"],
                str(row["group"]),
            ]
            table.add_row(marks.get(name, ""), *cells)
    console.print(table)
    if base is not None:
        console.print(
            f"{len(change.added)} added, {len(change.changed)} changed, {len(change.moved)} moved, "
            f"{len(change.gone)} gone; {change.lost} of {change.of} ready servers ({change.share:.0%}) are taken away"
        )


def _marks(change: Change, base: Version | None) -> dict[str, str]:
    if base is None:
        return {}
    groups = (
        ("added", change.added),
        ("changed", change.changed),
        ("moved", change.moved),
        ("gone", change.gone),
    )
    return {name: mark for mark, names in groups for name in names}


def _as_json(change: Change, base: Version | None) -> dict[str, Any]:
    told: dict[str, Any] = {"digest": change.digest, "servers": [_row(e) for e in change.servers.values()]}
    if base is not None:
        told |= {
            "added": change.added, "changed": change.changed, "moved": change.moved, "gone": change.gone,
            "taken_away": change.lost, "of_ready": change.of,
        }  # fmt: skip
    return told


def _ask(command: ControlCommand, socket_path: Path | None, config: Path | None, **arguments: Any) -> Any:
    with connect(socket_path, config) as client:
        try:
            return client.request(command, **arguments)
        except RequestRejectedError as e:
            raise Failed(str(e)) from None


@command.command("accept")
@socket_options
@click.option(
    "--digest", default="", help="The held version's digest or its beginning: no other is accepted."
)
def accept(socket_path: Path | None, config: Path | None, digest: str) -> None:
    """Have a node use the version that it holds because it takes many servers away."""
    _ask(ControlCommand.ACCEPT_SERVER_LIST, socket_path, config, digest=digest)
    click.echo("accepted")


@command.command("look")
@socket_options
def look(socket_path: Path | None, config: Path | None) -> None:
    """Have a node look at its server file now."""
    _ask(ControlCommand.FETCH_SERVER_LIST, socket_path, config)
    click.echo("it looks now")
