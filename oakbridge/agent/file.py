"""``agent.toml``: what an agent is told at its start, checked in full before anything is made."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from oakbridge.agent.store import StoreError, check_name
from oakbridge.node.address import Address, parse_address
from oakbridge.node.errors import ConfigError

MAX_INSTANCES = 200
KEYS = ("name", "fleet", "zone", "listen", "state", "authority", "certificate", "instance")


class BadAgentFile(ValueError):
    """The file can't be used: each line is one mistake."""


@dataclass(frozen=True, slots=True)
class AgentFile:
    """What ``agent.toml`` says; paths are absolute."""

    name: str
    fleet: str
    listen: Address
    state: Path
    authority: Path
    certificate: Path  # without its ending
    instances: dict[str, list[str]]
    zone: str = ""
    members: dict[str, str] = field(default_factory=dict)  # an instance's address among members


class _Reader:
    """Reads field by field, and gathers what is wrong."""

    def __init__(self, path: Path, raw: dict[str, Any]) -> None:
        self.path, self.raw = path, raw
        self.members: dict[str, str] = {}
        self.problems = [
            f"{path}: {key}: unknown key; expected one of {', '.join(KEYS)}" for key in raw if key not in KEYS
        ]

    def problem(self, field: str, expected: str) -> None:
        self.problems.append(f"{self.path}: {field}: {expected}")

    def text(self, where: dict[str, Any], key: str, what: str = "") -> str:
        value = where.get(key)
        if not isinstance(value, str) or not value:
            self.problem(what + key, f"expected a text, got {value!r:.60}")
            return "missing"
        return value

    def address(self, value: object, field: str) -> Address:
        try:
            return parse_address(value)
        except ConfigError as e:
            self.problem(field, str(e))
            return "", 0

    def instances(self) -> dict[str, list[str]]:
        rows = self.raw.get("instance", [])
        found: dict[str, list[str]] = {}
        if (
            not isinstance(rows, list)
            or len(rows) > MAX_INSTANCES
            or not all(isinstance(r, dict) for r in rows)
        ):
            self.problem("instance", f"expected up to {MAX_INSTANCES} tables")
            return found
        for i, row in enumerate(rows):
            what = f"instance[{i}]."
            name = self.text(row, "name", what)
            try:
                check_name(name, "name")
            except StoreError as e:
                self.problem(f"{what}name", str(e))
            if name in found:
                self.problem(f"{what}name", f"expected each name once, got {name!r} again")
            listen = row.get("listen")
            if not isinstance(listen, list) or not listen:
                self.problem(f"{what}listen", f"expected a list of addresses, got {listen!r:.60}")
                listen = []
            for each in listen:
                self.address(each, f"{what}listen")
            found[name] = [str(each) for each in listen]
            if "member" in row:
                self.address(row["member"], f"{what}member")
                self.members[name] = str(row["member"])
        return found


def read(path: Path) -> AgentFile:
    """Read the file.  Raises :class:`BadAgentFile` with every mistake."""
    try:
        raw = tomllib.loads(path.read_text("utf-8"))
    except OSError as e:
        raise BadAgentFile(f"{path}: {e.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as e:
        raise BadAgentFile(f"{path}: expected TOML: {e}") from None
    reader, beside = _Reader(path, raw), path.absolute().parent
    found = AgentFile(
        reader.text(raw, "name"), reader.text(raw, "fleet"), reader.address(raw.get("listen"), "listen"),
        beside / reader.text(raw, "state"), beside / reader.text(raw, "authority"),
        beside / reader.text(raw, "certificate"), reader.instances(),
        reader.text(raw, "zone") if "zone" in raw else "", reader.members,
    )  # fmt: skip
    if reader.problems:
        raise BadAgentFile("\n".join(reader.problems))
    return found
