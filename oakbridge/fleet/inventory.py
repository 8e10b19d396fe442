"""``fleet.toml``: the fleet's name and its agents' addresses."""

from __future__ import annotations

import os
import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from oakbridge.fleet.errors import InventoryError
from oakbridge.node.address import Address, parse_address
from oakbridge.node.errors import ConfigError

INVENTORY_FILE = "fleet.toml"
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@dataclass(slots=True)
class Inventory:
    """The fleet's name, and the address of each agent by the agent's name."""

    name: str
    agents: dict[str, Address] = field(default_factory=dict)


def is_valid_name(text: str) -> bool:
    """Return whether a fleet, an agent or an operator may have this name."""
    return _NAME_PATTERN.fullmatch(text) is not None


def read_inventory(folder: Path) -> Inventory:
    """Read the inventory in a fleet's folder.

    Raises:
        InventoryError: with all problems of the file.
    """
    path = folder / INVENTORY_FILE
    try:
        document = tomllib.loads(path.read_text("utf-8"))
    except OSError as error:
        raise InventoryError(
            [f"{path}: {error.strerror}; `oakbridge fleet init` creates it"]
        ) from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise InventoryError([f"{path}: expected TOML: {error}"]) from None
    problems: list[str] = []
    inventory = _parse(document, problems)
    if problems:
        raise InventoryError([f"{path}: {problem}" for problem in problems])
    return inventory


def _parse(document: dict[str, Any], problems: list[str]) -> Inventory:
    name = document.get("fleet")
    if not isinstance(name, str) or not is_valid_name(name):
        problems.append(f"fleet: expected a name, got {name!r:.60}")
    inventory = Inventory(str(name))
    rows = document.get("agent", [])
    if not isinstance(rows, list):
        problems.append("agent: expected tables")
        rows = []
    for index, row in enumerate(rows):
        agent = row.get("name") if isinstance(row, dict) else None
        if not isinstance(agent, str) or not is_valid_name(agent) or agent in inventory.agents:
            problems.append(f"agent[{index}].name: expected a unique name, got {agent!r:.60}")
            continue
        try:
            inventory.agents[agent] = parse_address(row.get("address"))
        except ConfigError as error:
            problems.append(f"agent[{index}].address: {error}")
    return inventory


def write_inventory(folder: Path, inventory: Inventory) -> None:
    """Write the inventory atomically, by a temporary file, fsync and a rename.

    Raises OSError.
    """
    tables = [f'fleet = "{inventory.name}"\n']
    for name, (host, port) in inventory.agents.items():
        tables.append(f'[[agent]]\nname = "{name}"\naddress = "{host}:{port}"\n')
    temporary = folder / f".{INVENTORY_FILE}.tmp"
    with temporary.open("w", encoding="utf-8") as file:
        file.write("\n".join(tables))
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(folder / INVENTORY_FILE)
