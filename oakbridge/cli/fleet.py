"""``oakbridge fleet``: makes a fleet and its certificates, and shows the state of its agents."""

from __future__ import annotations

import asyncio
import functools
import itertools
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from rich.console import Console, Group
from rich.live import Live

from oakbridge.cli.common import CommandFailedError, InvalidInputError, print_json
from oakbridge.cli.fleet_view import (
    agent_row,
    fleet_view,
    health_by_name,
    health_changes,
    instance_rows,
    members_view,
)
from oakbridge.fleet import messages, pki
from oakbridge.fleet.client import FleetClient, run_with_client
from oakbridge.fleet.errors import InventoryError, PkiError
from oakbridge.fleet.health import is_healthy
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import (
    INVENTORY_FILE,
    Inventory,
    is_valid_name,
    read_inventory,
    write_inventory,
)

folder_option = click.option(
    "--fleet",
    "folder",
    default=Path("fleet"),
    type=click.Path(path_type=Path),
    help="The fleet's folder.",
)
operator_option = click.option(
    "--as", "operator", default="admin", help="The operator whose certificate is used."
)


def via_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for a member to query for all members that it knows, and for their secret."""
    function = click.option(
        "--secret-file", type=click.Path(path_type=Path), help="The members' secret, for --via."
    )(function)
    return click.option(
        "--via", metavar="ADDRESS", help="A member that is asked for all that it knows."
    )(function)


async def query_members_via(
    via: str, secret_file: Path | None, timeout_s: float = 5.0
) -> list[dict[str, Any]]:
    """Return a row for each member that the member at the address ``via`` knows.

    Raises InvalidInputError, or CommandFailedError if there is no response within ``timeout_s``.
    """
    from oakbridge.config.errors import ConfigFileError
    from oakbridge.config.peers import read_secret
    from oakbridge.node.address import parse_address
    from oakbridge.node.errors import ConfigError
    from oakbridge.peers.member_query import MemberQueryError, query_members

    if secret_file is None:
        raise InvalidInputError("--via: expected --secret-file with it")
    try:
        return await query_members(parse_address(via), read_secret(secret_file), timeout_s)
    except ConfigFileError as error:
        raise InvalidInputError(str(error)) from None
    except ConfigError as error:
        raise InvalidInputError(f"--via: {error}") from None
    except MemberQueryError as error:
        raise CommandFailedError(str(error)) from None


@click.group("fleet")
def command() -> None:
    """Many nodes: make a fleet and its certificates, see all of it, change it in waves."""


def _check_name(name: str, argument: str) -> str:
    if not is_valid_name(name):
        raise InvalidInputError(
            f"{argument}: expected up to 63 letters, digits, dots, dashes and underscores, got {name!r:.80}"
        )
    return name


def _read_inventory(folder: Path) -> Inventory:
    try:
        return read_inventory(folder)
    except InventoryError as error:
        raise InvalidInputError(str(error)) from None


@command.command("init")
@folder_option
@click.argument("name")
def init(folder: Path, name: str) -> None:
    """Make a fleet: its certificate authority, and an operator `admin` that may change things."""
    _check_name(name, "NAME")
    try:
        pki.create_authority(folder, name)
        pki.issue_certificate(
            folder,
            Identity(name, IdentityKind.OPERATOR, "admin", Role.WRITE),
            folder / "operators" / "admin",
        )
    except PkiError as error:
        raise InvalidInputError(str(error)) from None
    except OSError as error:
        raise CommandFailedError(f"{folder}: {error.strerror}") from None
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

    inventory = _read_inventory(folder)
    _check_name(name, "NAME")
    if name in inventory.agents:
        raise InvalidInputError(f"NAME: there is an agent {name} already")
    try:
        inventory.agents[name] = parse_address(address)
        stem = folder / "agents" / name
        pki.issue_certificate(
            folder, Identity(inventory.name, IdentityKind.AGENT, name, Role.READ), stem, days
        )
    except (ConfigError, PkiError) as error:
        raise InvalidInputError(str(error)) from None
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
    inventory = _read_inventory(folder)
    role = Role.READ if read_only else Role.WRITE
    stem = folder / "operators" / _check_name(name, "NAME")
    try:
        pki.issue_certificate(
            folder, Identity(inventory.name, IdentityKind.OPERATOR, name, role), stem, days
        )
    except PkiError as error:
        raise InvalidInputError(str(error)) from None
    click.echo(f"operator {name} may {role}: {stem}.crt, {stem}.key")


def operator_client(folder: Path, name: str, timeout_s: float) -> FleetClient:
    """Return a client that calls the fleet's agents with the certificate of the operator ``name``.

    ``timeout_s``: the timeout of one call to an agent.

    Raises:
        InvalidInputError: if the inventory or the certificate can't be used, or there are no agents.
    """
    inventory = _read_inventory(folder)
    if not inventory.agents:
        raise InvalidInputError(
            f"{folder / INVENTORY_FILE}: the fleet has no agents yet (`oakbridge fleet add-agent`)"
        )
    try:
        tls = pki.tls_context(
            folder / "ca.crt", folder / "operators" / _check_name(name, "--as"), server=False
        )
    except PkiError as error:
        raise InvalidInputError(str(error)) from None
    return FleetClient(inventory, tls, timeout_s, name)


@command.command("status")
@folder_option
@operator_option
@click.option(
    "--within", default=5.0, type=click.FloatRange(0.1, 120), help="Seconds to wait for each agent."
)
@via_options
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def status(
    folder: Path,
    operator: str,
    within: float,
    via: str | None,
    secret_file: Path | None,
    as_json: bool,
) -> None:
    """Show every agent and every instance; exit code 1 if any of them is not known to be well.

    With --via ADDRESS one member is asked instead, and no inventory is needed: what it knows of all others.
    """
    if via is not None:
        members = asyncio.run(query_members_via(via, secret_file, within))
        if as_json:
            print_json({"via": via, "members": members})
        else:
            Console().print(members_view(members))
        if any(member["state"] in ("suspect", "failed") for member in members):
            raise click.exceptions.Exit(1)
        return
    client = operator_client(folder, operator, within)
    responses = run_with_client(client, lambda fleet: fleet.call_all(messages.StatusRequest()))
    rows = instance_rows(responses)
    if as_json:
        print_json({"agents": [agent_row(response) for response in responses], "instances": rows})
    else:
        Console().print(fleet_view(responses, rows))
    if not all(response.ok for response in responses) or not all(
        is_healthy(row["health"]) for row in rows
    ):
        raise click.exceptions.Exit(1)


@command.command("watch")
@folder_option
@operator_option
@click.option(
    "--every", default=2.0, type=click.FloatRange(0.2, 600), help="Seconds between two looks."
)
@click.option(
    "--count", default=0, type=click.IntRange(0), help="Looks before it ends; 0: until Ctrl-C."
)
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="A line of JSON for each change of an instance's health.",
)
def watch(folder: Path, operator: str, every: float, count: int, as_json: bool) -> None:
    """Show the fleet as it is, again and again; what is well is summed up, what is not has a line."""
    client = operator_client(folder, operator, max(1.0, every))
    console = Console()
    if as_json or not console.is_terminal:
        show = None if as_json else console.print
        run_with_client(client, lambda fleet: _watch(fleet, every, count, show))
    else:
        with Live(console=console, auto_refresh=False) as live:
            update = functools.partial(live.update, refresh=True)
            run_with_client(client, lambda fleet: _watch(fleet, every, count, update))


async def _watch(
    client: FleetClient, interval_s: float, count: int, show: Callable[[Group], object] | None
) -> None:
    """Poll the fleet ``count`` times (0: for ever); without ``show``, print changes as JSON."""
    previous_health: dict[str, str] = {}
    for poll_number in itertools.count(1):
        responses = await client.call_all(messages.StatusRequest())
        rows = instance_rows(responses)
        if show is not None:
            show(fleet_view(responses, rows, all_rows=False))
        else:
            current_health = health_by_name(responses, rows)
            for change in health_changes(previous_health, current_health):
                click.echo(json.dumps(change))
            previous_health = current_health
        if poll_number == count:
            return
        await asyncio.sleep(interval_s)
