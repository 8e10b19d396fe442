"""``oakbridge fleet``: the fleet's certificates, its agents, and what all of them say."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Any

import click
from rich import box
from rich.console import Console
from rich.table import Table
from rich.text import Text

from oakbridge.cli.common import BadInput, Failed, say_json
from oakbridge.fleet import pki, wire
from oakbridge.fleet.ask import Heard, Operator
from oakbridge.fleet.inventory import FILE, BadInventory, Inventory, good_name, read, write

folder_option = click.option(
    "--fleet", "folder", default=Path("fleet"), type=click.Path(path_type=Path), help="The fleet's folder."
)
operator_option = click.option(
    "--as", "operator", default="admin", help="The operator whose certificate is used."
)


@click.group("fleet")
def command() -> None:
    """Many nodes: make a fleet and its certificates, see all of it."""


def _named(text: str, what: str) -> str:
    if not good_name(text):
        raise BadInput(
            f"{what}: expected up to 63 letters, digits, dots, dashes and underscores, got {text!r:.80}"
        )
    return text


def _read(folder: Path) -> Inventory:
    try:
        return read(folder)
    except BadInventory as e:
        raise BadInput(str(e)) from None


@command.command("init")
@folder_option
@click.argument("name")
def init(folder: Path, name: str) -> None:
    """Make a fleet: its certificate authority, and an operator `admin` that may change things."""
    _named(name, "NAME")
    try:
        pki.make_authority(folder, name)
        pki.issue(
            folder, wire.Identity(name, "operator", "admin", wire.WRITE), folder / "operators" / "admin"
        )
    except pki.PkiError as e:
        raise BadInput(str(e)) from None
    except OSError as e:
        raise Failed(f"{folder}: {e.strerror}") from None
    write(folder, Inventory(name))
    click.echo(f"fleet {name}: {folder / FILE}; keep {folder / 'ca.key'} where nobody else can read it")


@command.command("add-agent")
@folder_option
@click.argument("name")
@click.argument("address")
@click.option(
    "--days", default=pki.DAYS, type=click.FloatRange(0.01, 3650), help="How long its certificate holds."
)
def add_agent(folder: Path, name: str, address: str, days: float) -> None:
    """Add a host's agent: sign its certificate, and write it into the inventory."""
    from oakbridge.node.listing import ConfigError, parse_address

    inventory = _read(folder)
    _named(name, "NAME")
    if name in inventory.agents:
        raise BadInput(f"NAME: there is an agent {name} already")
    try:
        inventory.agents[name] = parse_address(address)
        stem = folder / "agents" / name
        pki.issue(folder, wire.Identity(inventory.name, "agent", name, wire.READ), stem, days)
    except (ConfigError, pki.PkiError) as e:
        raise BadInput(str(e)) from None
    write(folder, inventory)
    click.echo(f"agent {name}: take {stem}.crt, {stem}.key and {folder / 'ca.crt'} to its host")


@command.command("add-operator")
@folder_option
@click.argument("name")
@click.option("--read-only", is_flag=True, help="It may look, and change nothing.")
@click.option(
    "--days", default=pki.DAYS, type=click.FloatRange(0.01, 3650), help="How long its certificate holds."
)
def add_operator(folder: Path, name: str, read_only: bool, days: float) -> None:
    """Sign an operator's certificate."""
    inventory = _read(folder)
    role = wire.READ if read_only else wire.WRITE
    stem = folder / "operators" / _named(name, "NAME")
    try:
        pki.issue(folder, wire.Identity(inventory.name, "operator", name, role), stem, days)
    except pki.PkiError as e:
        raise BadInput(str(e)) from None
    click.echo(f"operator {name} may {role}: {stem}.crt, {stem}.key")


def operator_of(folder: Path, name: str, within_s: float) -> Operator:
    """An operator's end of the protocol, by the fleet's folder and the name of its certificate."""
    inventory = _read(folder)
    if not inventory.agents:
        raise BadInput(f"{folder / FILE}: the fleet has no agents yet (`oakbridge fleet add-agent`)")
    try:
        tls = pki.context(folder / "ca.crt", folder / "operators" / _named(name, "--as"), server=False)
    except pki.PkiError as e:
        raise BadInput(str(e)) from None
    return Operator(inventory, tls, within_s)


@command.command("status")
@folder_option
@operator_option
@click.option(
    "--within", default=5.0, type=click.FloatRange(0.1, 120), help="Seconds to wait for each agent."
)
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def status(folder: Path, operator: str, within: float, as_json: bool) -> None:
    """Show every agent and every instance; exit code 1 if any of them is not known to be well."""
    asker = operator_of(folder, operator, within)
    heard = asyncio.run(asker.ask_all(wire.Status()))
    rows = [row for h in heard for row in instances(h)]
    if as_json:
        say_json({"agents": [agent_row(h) for h in heard], "instances": rows})
    else:
        show(heard, rows)
    if any(h.status != 200 for h in heard) or any(r["health"] != "well" for r in rows):
        raise click.exceptions.Exit(1)


def agent_row(heard: Heard) -> dict[str, Any]:
    """What is known of an agent; without an answer nothing is claimed."""
    if heard.status != 200:
        return {
            "agent": heard.agent,
            "state": "unknown",
            "error": heard.error or heard.answer.get("error", ""),
        }
    lease = heard.answer["lease"]
    return {
        "agent": heard.agent, "state": "answers", "pid": heard.answer["pid"], "lease": lease,
        "instances": len(heard.answer["instances"]), "clock_off_s": round(heard.answer["time"] - time.time(), 3),
    }  # fmt: skip


def instances(heard: Heard) -> list[dict[str, Any]]:
    """What is known of an agent's instances, with one word for how each is."""
    if heard.status != 200:
        return []
    found = []
    for row in heard.answer["instances"]:
        health = "well"
        if row["crash_loop"]:
            health = "crash loop"
        elif row["process"] != "running":
            health = row["process"]
        elif not row["answers"]:
            health = "silent"
        elif row["change"] != "settled":
            health = row["change"]
        found.append({"agent": heard.agent, "health": health, **row})
    return found


def show(heard: list[Heard], rows: list[dict[str, Any]]) -> None:
    """Both tables, for people."""
    console = Console()
    table = Table(box=box.SIMPLE_HEAD)
    for column in (
        "agent",
        "instance",
        "health",
        "generation",
        "pid",
        "crashes",
        "servers",
        "requests/s",
        "last words",
    ):
        table.add_column(
            column, justify="right" if column in ("generation", "pid", "crashes", "servers") else "left"
        )
    for h in heard:
        if h.status != 200:
            table.add_row(
                h.agent, "", Text("unknown", style="yellow"), "", "", "", "", "", agent_row(h)["error"]
            )
    for row in rows:
        node = row["node"]
        style = "green" if row["health"] == "well" else "red"
        table.add_row(
            row["agent"], row["name"], Text(row["health"], style=style), str(row["generation"]), str(row["pid"] or ""),
            str(row["crashes"]), str(node.get("servers", "")), str(node.get("attempts_per_s", "")),
            row["last_exit"][:60],
        )  # fmt: skip
    console.print(table)
    counts = Counter(row["health"] for row in rows)
    unknown = sum(1 for h in heard if h.status != 200)
    told = ", ".join(f"{n} {word}" for word, n in counts.most_common()) or "no instances"
    console.print(f"{told}; {unknown} of {len(heard)} agents unknown")
