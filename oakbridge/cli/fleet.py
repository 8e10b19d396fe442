"""``oakbridge fleet``: the fleet's certificates, its agents, and what all of them say."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import BadInput, Failed, say_json
from oakbridge.cli.peers import STYLE
from oakbridge.fleet import messages, pki
from oakbridge.fleet.client import AgentResponse, FleetClient
from oakbridge.fleet.errors import InventoryError, PkiError
from oakbridge.fleet.health import instance_health, is_healthy
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import (
    INVENTORY_FILE,
    Inventory,
    is_valid_name,
    read_inventory,
    write_inventory,
)

folder_option = click.option(
    "--fleet", "folder", default=Path("fleet"), type=click.Path(path_type=Path), help="The fleet's folder."
)
operator_option = click.option(
    "--as", "operator", default="admin", help="The operator whose certificate is used."
)


def via_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """One member that tells of all of them, and the secret to ask it with."""
    function = click.option(
        "--secret-file", type=click.Path(path_type=Path), help="The members' secret, for --via."
    )(function)
    return click.option("--via", metavar="ADDRESS", help="A member that is asked for all that it knows.")(
        function
    )


async def members_by(via: str, secret_file: Path | None, within: float = 5.0) -> list[dict[str, Any]]:
    """Whom the member at this address knows.  Raises BadInput or Failed."""
    from oakbridge.config.errors import ConfigFileError
    from oakbridge.config.peers import read_secret
    from oakbridge.node.address import parse_address
    from oakbridge.node.errors import ConfigError
    from oakbridge.peers.member_query import MemberQueryError, query_members

    if secret_file is None:
        raise BadInput("--via: expected --secret-file with it")
    try:
        return await query_members(parse_address(via), read_secret(secret_file), within)
    except ConfigFileError as e:
        raise BadInput(str(e)) from None
    except ConfigError as e:
        raise BadInput(f"--via: {e}") from None
    except MemberQueryError as e:
        raise Failed(str(e)) from None


@click.group("fleet")
def command() -> None:
    """Many nodes: make a fleet and its certificates, see all of it, change it in waves."""


def _named(text: str, what: str) -> str:
    if not is_valid_name(text):
        raise BadInput(
            f"{what}: expected up to 63 letters, digits, dots, dashes and underscores, got {text!r:.80}"
        )
    return text


def _read(folder: Path) -> Inventory:
    try:
        return read_inventory(folder)
    except InventoryError as e:
        raise BadInput(str(e)) from None


@command.command("init")
@folder_option
@click.argument("name")
def init(folder: Path, name: str) -> None:
    """Make a fleet: its certificate authority, and an operator `admin` that may change things."""
    _named(name, "NAME")
    try:
        pki.create_authority(folder, name)
        pki.issue_certificate(
            folder, Identity(name, IdentityKind.OPERATOR, "admin", Role.WRITE), folder / "operators" / "admin"
        )
    except PkiError as e:
        raise BadInput(str(e)) from None
    except OSError as e:
        raise Failed(f"{folder}: {e.strerror}") from None
    write_inventory(folder, Inventory(name))
    click.echo(
        f"fleet {name}: {folder / INVENTORY_FILE}; keep {folder / 'ca.key'} where nobody else can read it"
    )


@command.command("add-agent")
@folder_option
@click.argument("name")
@click.argument("address")
@click.option(
    "--days",
    default=pki.CERTIFICATE_DAYS,
    type=click.FloatRange(0.01, 3650),
    help="How long its certificate holds.",
)
def add_agent(folder: Path, name: str, address: str, days: float) -> None:
    """Add a host's agent: sign its certificate, and write it into the inventory."""
    from oakbridge.node.address import parse_address
    from oakbridge.node.errors import ConfigError

    inventory = _read(folder)
    _named(name, "NAME")
    if name in inventory.agents:
        raise BadInput(f"NAME: there is an agent {name} already")
    try:
        inventory.agents[name] = parse_address(address)
        stem = folder / "agents" / name
        pki.issue_certificate(
            folder, Identity(inventory.name, IdentityKind.AGENT, name, Role.READ), stem, days
        )
    except (ConfigError, PkiError) as e:
        raise BadInput(str(e)) from None
    write_inventory(folder, inventory)
    click.echo(f"agent {name}: take {stem}.crt, {stem}.key and {folder / 'ca.crt'} to its host")


@command.command("add-operator")
@folder_option
@click.argument("name")
@click.option("--read-only", is_flag=True, help="It may look, and change nothing.")
@click.option(
    "--days",
    default=pki.CERTIFICATE_DAYS,
    type=click.FloatRange(0.01, 3650),
    help="How long its certificate holds.",
)
def add_operator(folder: Path, name: str, read_only: bool, days: float) -> None:
    """Sign an operator's certificate."""
    inventory = _read(folder)
    role = Role.READ if read_only else Role.WRITE
    stem = folder / "operators" / _named(name, "NAME")
    try:
        pki.issue_certificate(folder, Identity(inventory.name, IdentityKind.OPERATOR, name, role), stem, days)
    except PkiError as e:
        raise BadInput(str(e)) from None
    click.echo(f"operator {name} may {role}: {stem}.crt, {stem}.key")


def operator_of(folder: Path, name: str, within_s: float) -> FleetClient:
    """An operator's end of the protocol, by the fleet's folder and the name of its certificate."""
    inventory = _read(folder)
    if not inventory.agents:
        raise BadInput(
            f"{folder / INVENTORY_FILE}: the fleet has no agents yet (`oakbridge fleet add-agent`)"
        )
    try:
        tls = pki.tls_context(folder / "ca.crt", folder / "operators" / _named(name, "--as"), server=False)
    except PkiError as e:
        raise BadInput(str(e)) from None
    return FleetClient(inventory, tls, within_s, name)


@command.command("status")
@folder_option
@operator_option
@click.option(
    "--within", default=5.0, type=click.FloatRange(0.1, 120), help="Seconds to wait for each agent."
)
@via_options
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def status(
    folder: Path, operator: str, within: float, via: str | None, secret_file: Path | None, as_json: bool
) -> None:
    """Show every agent and every instance; exit code 1 if any of them is not known to be well.

    With --via ADDRESS one member is asked instead, and no inventory is needed: what it knows of all others.
    """
    if via is not None:
        members = asyncio.run(members_by(via, secret_file, within))
        if as_json:
            say_json({"via": via, "members": members})
        else:
            Console().print(members_view(members))
        if any(m["state"] in ("suspect", "failed") for m in members):
            raise click.exceptions.Exit(1)
        return
    asker = operator_of(folder, operator, within)
    heard = asyncio.run(asker.call_all(messages.StatusRequest()))
    rows = [row for h in heard for row in instances(h)]
    if as_json:
        say_json({"agents": [agent_row(h) for h in heard], "instances": rows})
    else:
        Console().print(fleet_view(heard, rows))
    if any(h.status != 200 for h in heard) or not all(is_healthy(r["health"]) for r in rows):
        raise click.exceptions.Exit(1)


@command.command("watch")
@folder_option
@operator_option
@click.option("--every", default=2.0, type=click.FloatRange(0.2, 600), help="Seconds between two looks.")
@click.option("--count", default=0, type=click.IntRange(0), help="Looks before it ends; 0: until Ctrl-C.")
@click.option(
    "--json", "as_json", is_flag=True, help="A line of JSON for each change of an instance's health."
)
def watch(folder: Path, operator: str, every: float, count: int, as_json: bool) -> None:
    """Show the fleet as it is, again and again; what is well is summed up, what is not has a line."""
    asker = operator_of(folder, operator, max(1.0, every))
    console = Console()

    async def run(live: Live | None) -> None:
        before: dict[str, str] = {}
        for number in itertools.count(1):
            heard = await asker.call_all(messages.StatusRequest())
            rows = [row for h in heard for row in instances(h)]
            if live is not None:
                live.update(fleet_view(heard, rows, all_rows=False), refresh=True)
            elif as_json:
                before = _say_changes(heard, rows, before)
            else:
                console.print(fleet_view(heard, rows, all_rows=False))
            if number == count:
                return
            await asyncio.sleep(every)

    if as_json or not console.is_terminal:
        asyncio.run(run(None))
    else:
        with Live(console=console, auto_refresh=False) as live:
            asyncio.run(run(live))


def _say_changes(
    heard: list[AgentResponse], rows: list[dict[str, Any]], before: dict[str, str]
) -> dict[str, str]:
    """A line for each name whose word is another than before."""
    now = {h.agent: "unknown" for h in heard if h.status != 200}
    now |= {f"{row['agent']}/{row['name']}": str(row["health"]) for row in rows}
    for name in sorted(now.keys() | before.keys()):
        if now.get(name) != before.get(name):
            click.echo(json.dumps({
                "time": round(time.time(), 3), "name": name, "was": before.get(name), "is": now.get(name),
            }))  # fmt: skip
    return now


def agent_row(heard: AgentResponse) -> dict[str, Any]:
    """What is known of an agent; without an answer nothing is claimed."""
    if heard.status != 200:
        return {
            "agent": heard.agent,
            "state": "unknown",
            "error": heard.error or heard.body.get("error", ""),
        }
    told = heard.body
    return {
        "agent": heard.agent, "state": "answers", "pid": told["pid"], "lease": told["lease"],
        "zone": told.get("zone", ""), "version": told.get("version", ""),
        "instances": len(told["instances"]), "clock_off_s": round(told["time"] - time.time(), 3),
    }  # fmt: skip


def instances(heard: AgentResponse) -> list[dict[str, Any]]:
    """What is known of an agent's instances, with one word for how each is."""
    if heard.status != 200:
        return []
    return [{"agent": heard.agent, "health": instance_health(row), **row} for row in heard.body["instances"]]


def members_view(members: list[dict[str, Any]]) -> Group:
    """What one member knows of all, for people."""
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for name in ("member", "site", "state", "by", "address", "version"):
        table.add_column(name, no_wrap=True, overflow="ellipsis", max_width=28)
    for row in members:
        state = Text(row["state"], style=STYLE.get(row["state"], ""))
        table.add_row(row["name"], row["site"], state, row["by"], row["address"], row["version"])
    counts = Counter(row["state"] for row in members)
    return Group(table, Text(", ".join(f"{n} {word}" for word, n in counts.most_common())))


def fleet_view(heard: list[AgentResponse], rows: list[dict[str, Any]], all_rows: bool = True) -> Group:
    """The fleet for people, within 80 columns: instances, then agents that do not answer, then the sum."""
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    table.add_column("instance", no_wrap=True, overflow="ellipsis", max_width=28)
    table.add_column("health", no_wrap=True)
    for name in ("gen", "servers", "req/s"):
        table.add_column(name, justify="right", no_wrap=True)
    table.add_column("crashes, last words", no_wrap=True, overflow="ellipsis", max_width=26)
    for row in rows:
        if all_rows or not is_healthy(row["health"]):
            node, crashes = row["node"], row["crashes"]
            words = f"{crashes}: {row['last_exit']}" if crashes else ""
            table.add_row(
                f"{row['agent']}/{row['name']}",
                Text(row["health"], style="green" if is_healthy(row["health"]) else "red"),
                str(row["generation"]), str(node.get("servers", "")), str(node.get("attempts_per_s", "")), words,
            )  # fmt: skip
    lines = [
        Text(f"{h.agent}: unknown: {agent_row(h)['error']}", style="yellow", no_wrap=True, overflow="ellipsis")
        for h in heard if h.status != 200
    ]  # fmt: skip
    counts = Counter(row["health"] for row in rows)
    told = ", ".join(f"{n} {word}" for word, n in counts.most_common()) or "no instances"
    generations = Counter(row["generation"] for row in rows)
    runs = ", ".join(f"{n} at {number}" for number, n in sorted(generations.items(), reverse=True)[:4])
    total = Text(f"{told}; {len(lines)} of {len(heard)} agents unknown; generations: {runs or 'none'}")
    return Group(*([table] if table.row_count else []), *lines, total)
