"""``oakbridge servers``: checks a server file, shows its changes, accepts a held version."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Console
from rich.table import Table

from oakbridge.cli.common import (
    CommandFailedError,
    InvalidInputError,
    connect,
    print_json,
    socket_options,
)
from oakbridge.control.errors import RequestRejectedError
from oakbridge.control.protocol import ControlCommand
from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import EndpointState
from oakbridge.sources.inspection import Inspection, inspect_server_files
from oakbridge.sources.list_version import ListChange, ListVersion, compare
from oakbridge.sources.problem import Problem
from oakbridge.sources.saved_copy import load_saved_version

JsonObject = dict[str, Any]

_COLUMNS = ("change", "server", "address", "state", "weight", "zone", "group")
_RIGHT_ALIGNED_COLUMNS = ("weight", "group")


@click.group("servers")
def command() -> None:
    """Server files: check one, show what it would change, accept a version that is held."""


@command.command("check")
@click.argument("path", metavar="FILE", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def check(path: Path, as_json: bool) -> None:
    """Check a server file, or a directory of them; exit code 2 if there are mistakes."""
    if as_json:
        _check_as_json(path)
        return
    servers = _inspect_valid(path).parsed.servers
    ready = sum(1 for entry in servers.values() if entry.server.state == EndpointState.UP)
    click.echo(f"{path}: good ({len(servers)} servers, {ready} of them ready)")


@command.command("show")
@click.argument("path", metavar="FILE", type=click.Path(path_type=Path))
@click.option(
    "--against",
    type=click.Path(path_type=Path),
    help="Another server file: show what changes.",
)
@click.option(
    "--saved",
    type=click.Path(path_type=Path),
    help="A node's saved copy: show what changes.",
)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def show(path: Path, against: Path | None, saved: Path | None, as_json: bool) -> None:
    """Show the servers of a file, or what it would change."""
    if against is not None and saved is not None:
        raise InvalidInputError("servers show: expected one of --against and --saved")
    inspection = _inspect_valid(path)
    base = _load_base(against, saved)
    now_us = int(time.time() * 1e6)
    change = compare(base, inspection.digest, inspection.parsed, now_us)
    if as_json:
        print_json(_encode_change(change, base))
        return
    console = Console()
    if base is None:
        console.print(_servers_table(list(change.servers.values()), {}))
        return
    kinds = _change_kinds(change)
    entries = [entry for name, entry in change.servers.items() if name in kinds]
    entries += [base.servers[name] for name in change.removed]
    console.print(_servers_table(entries, kinds))
    console.print(_change_summary(change))


@command.command("accept")
@socket_options
@click.option(
    "--digest", default="", help="The held version's digest or its beginning: no other is accepted."
)
def accept(socket_path: Path | None, config: Path | None, digest: str) -> None:
    """Have a node use the version that it holds because it takes many servers away."""
    _request(ControlCommand.ACCEPT_SERVER_LIST, socket_path, config, digest=digest)
    click.echo("accepted")


@command.command("look")
@socket_options
def look(socket_path: Path | None, config: Path | None) -> None:
    """Have a node look at its server file now."""
    _request(ControlCommand.FETCH_SERVER_LIST, socket_path, config)
    click.echo("it looks now")


def _request(
    command: ControlCommand, socket_path: Path | None, config: Path | None, **arguments: str
) -> None:
    with connect(socket_path, config) as client:
        try:
            client.request(command, **arguments)
        except RequestRejectedError as error:
            raise CommandFailedError(str(error)) from None


# ---- reading of server files


def _inspect_valid(path: Path) -> Inspection:
    """Return the content of the server files.  Raises InvalidInputError with all their mistakes."""
    inspection = inspect_server_files(path)
    if inspection.problems:
        raise InvalidInputError("\n".join(map(str, inspection.problems)))
    return inspection


def _load_base(against: Path | None, saved: Path | None) -> ListVersion | None:
    """Return the list of another server file or of a node's saved copy; None without either.

    Raises InvalidInputError if it can't be read.
    """
    if against is not None:
        inspection = _inspect_valid(against)
        return ListVersion(1, inspection.digest, inspection.parsed.servers)
    if saved is not None:
        version = load_saved_version(saved)
        if version is None:
            raise InvalidInputError(f"{saved}: expected a saved copy of a list that can be read")
        return version
    return None


# ---- output


def _check_as_json(path: Path) -> None:
    inspection = inspect_server_files(path)
    problems = [_encode_problem(problem) for problem in inspection.problems]
    print_json(
        {"ok": not problems, "servers": len(inspection.parsed.servers), "problems": problems}
    )
    if problems:
        raise click.exceptions.Exit(2)


def _encode_problem(problem: Problem) -> JsonObject:
    return {
        "file": problem.file,
        "path": problem.path,
        "expected": problem.expected,
        "line": problem.line,
        "field": problem.field_name(),
    }


def _encode_change(change: ListChange, base: ListVersion | None) -> JsonObject:
    encoded: JsonObject = {
        "digest": change.digest,
        "servers": [_encode_entry(entry) for entry in change.servers.values()],
    }
    if base is not None:
        encoded |= {
            "added": change.added,
            "changed": change.updated,
            "moved": change.moved,
            "gone": change.removed,
            "taken_away": change.lost_ready,
            "of_ready": change.base_ready,
        }
    return encoded


def _encode_entry(entry: ListedEndpoint) -> JsonObject:
    server = entry.server
    return {
        "name": server.id,
        "address": server.address,
        "state": server.state,
        "weight": server.weight,
        "zone": server.zone,
        "group": server.cell,
        "since": server.started_at / 1e6 if server.started_at else None,
    }


def _change_kinds(change: ListChange) -> dict[str, str]:
    """Return the kind of change of each changed server, by the server's name."""
    groups = {
        "added": change.added,
        "changed": change.updated,
        "moved": change.moved,
        "gone": change.removed,
    }
    return {name: kind for kind, names in groups.items() for name in names}


def _servers_table(entries: list[ListedEndpoint], kinds: dict[str, str]) -> Table:
    table = Table(box=box.SIMPLE_HEAD)
    for column in _COLUMNS:
        table.add_column(column, justify="right" if column in _RIGHT_ALIGNED_COLUMNS else "left")
    for entry in entries:
        server = entry.server
        table.add_row(
            kinds.get(server.id, ""),
            server.id,
            server.address,
            server.state,
            f"{server.weight:g}",
            server.zone,
            str(server.cell),
        )
    return table


def _change_summary(change: ListChange) -> str:
    counts = (
        f"{len(change.added)} added, {len(change.updated)} changed, "
        f"{len(change.moved)} moved, {len(change.removed)} gone"
    )
    lost = f"{change.lost_ready} of {change.base_ready} ready servers ({change.lost_fraction:.0%})"
    return f"{counts}; {lost} are taken away"
