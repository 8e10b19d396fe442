"""``fleet.toml``: the fleet's agents and where its certificates are; written whole, read in full."""

from __future__ import annotations

import os
import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from oakbridge.node.address import Address, parse_address
from oakbridge.node.errors import ConfigError

FILE = "fleet.toml"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


class BadInventory(ValueError):
    """The file can't be used: each line is one mistake."""


@dataclass(slots=True)
class Inventory:
    """The fleet, as its operators know it."""

    name: str
    agents: dict[str, Address] = field(default_factory=dict)


def good_name(text: str) -> bool:
    """Whether this can name a fleet, an agent or an operator."""
    return _NAME.fullmatch(text) is not None


def read(folder: Path) -> Inventory:
    """Read it.  Raises :class:`BadInventory` with every mistake."""
    path = folder / FILE
    try:
        raw = tomllib.loads(path.read_text("utf-8"))
    except OSError as e:
        raise BadInventory(f"{path}: {e.strerror}; `oakbridge fleet init` makes one") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as e:
        raise BadInventory(f"{path}: expected TOML: {e}") from None
    problems: list[str] = []
    name = raw.get("fleet")
    if not isinstance(name, str) or not good_name(name):
        problems.append(f"{path}: fleet: expected a name, got {name!r:.60}")
    found = Inventory(str(name))
    rows = raw.get("agent", [])
    if not isinstance(rows, list):
        problems.append(f"{path}: agent: expected tables")
        rows = []
    for i, row in enumerate(rows):
        agent = row.get("name") if isinstance(row, dict) else None
        if not isinstance(agent, str) or not good_name(agent) or agent in found.agents:
            problems.append(f"{path}: agent[{i}].name: expected a name of its own, got {agent!r:.60}")
            continue
        try:
            found.agents[agent] = parse_address(row.get("address"))
        except ConfigError as e:
            problems.append(f"{path}: agent[{i}].address: {e}")
    if problems:
        raise BadInventory("\n".join(problems))
    return found


def write(folder: Path, inventory: Inventory) -> None:
    """Write it whole: a temporary file, fsync, rename."""
    lines = [f'fleet = "{inventory.name}"\n']
    for name, (host, port) in inventory.agents.items():
        lines.append(f'[[agent]]\nname = "{name}"\naddress = "{host}:{port}"\n')
    temporary = folder / f".{FILE}.tmp"
    with temporary.open("w", encoding="utf-8") as out:
        out.write("\n".join(lines))
        out.flush()
        os.fsync(out.fileno())
    os.rename(temporary, folder / FILE)
