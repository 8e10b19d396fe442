"""``agent.toml``: an agent's configuration, validated in full before the agent starts."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oakbridge.agent.errors import AgentConfigError, AgentConfigUnreadableError, StoreError
from oakbridge.agent.generations import check_name
from oakbridge.node.address import Address, parse_address
from oakbridge.node.errors import ConfigError
from oakbridge.node.system_errors import is_read_error

MAX_INSTANCES = 200
KEYS = (
    "name",
    "fleet",
    "zone",
    "listen",
    "state",
    "authority",
    "certificate",
    "instance",
)


@dataclass(frozen=True, slots=True)
class InstanceConfig:
    """One instance that the agent manages."""

    name: str
    listen: list[str]  # the addresses that its node listens on
    member: str = ""  # its node's address among members; "" if the node is not a member


@dataclass(frozen=True, slots=True)
class AgentConfig:
    """An agent's configuration; paths are absolute.

    ``state`` is the folder of the agent's store, ``authority`` the file of the fleet's certificate
    authority.
    """

    name: str
    fleet: str
    zone: str
    listen: Address
    state: Path
    authority: Path
    certificate: Path  # without the suffixes .crt and .key
    instances: list[InstanceConfig]


def read_agent_config(path: Path) -> AgentConfig:
    """Read an agent's configuration.

    Raises:
        AgentConfigError: with all problems of the file.
        AgentConfigUnreadableError: if reading fails with a transient error.
    """
    try:
        document = tomllib.loads(path.read_text("utf-8"))
    except OSError as error:
        error_type = AgentConfigUnreadableError if is_read_error(error) else AgentConfigError
        raise error_type([f"{path}: {error.strerror}"]) from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise AgentConfigError([f"{path}: expected TOML: {error}"]) from None
    parser = _Parser(document)
    config = parser.agent(path.absolute().parent)
    if parser.problems:
        raise AgentConfigError([f"{path}: {problem}" for problem in parser.problems])
    return config


class _Parser:
    """Parses a document field by field, and collects the problems of all fields."""

    def __init__(self, document: dict[str, Any]) -> None:
        self._document = document
        self.problems: list[str] = []

    def agent(self, folder: Path) -> AgentConfig:
        """Parse the whole document; its paths are relative to ``folder``."""
        document = self._document
        for key in document:
            if key not in KEYS:
                self._problem(key, f"unknown key; expected one of {', '.join(KEYS)}")
        return AgentConfig(
            name=self._text(document, "name"),
            fleet=self._text(document, "fleet"),
            listen=self._address(document.get("listen"), "listen"),
            state=folder / self._text(document, "state"),
            authority=folder / self._text(document, "authority"),
            certificate=folder / self._text(document, "certificate"),
            instances=self._instances(),
            zone=self._text(document, "zone") if "zone" in document else "",
        )

    def _instances(self) -> list[InstanceConfig]:
        rows = self._document.get("instance", [])
        if not _is_list_of_tables(rows) or len(rows) > MAX_INSTANCES:
            self._problem("instance", f"expected up to {MAX_INSTANCES} tables")
            return []
        instances: list[InstanceConfig] = []
        for index, row in enumerate(rows):
            instance = self._instance(row, f"instance[{index}].")
            if any(instance.name == other.name for other in instances):
                self._problem(
                    f"instance[{index}].name",
                    f"expected each name once, got {instance.name!r} again",
                )
            instances.append(instance)
        return instances

    def _instance(self, row: dict[str, Any], prefix: str) -> InstanceConfig:
        name = self._text(row, "name", prefix)
        try:
            check_name(name, "name")
        except StoreError as error:
            self._problem(f"{prefix}name", str(error))
        listen = row.get("listen")
        if not isinstance(listen, list) or not listen:
            self._problem(f"{prefix}listen", f"expected a list of addresses, got {listen!r:.60}")
            listen = []
        for address in listen:
            self._address(address, f"{prefix}listen")
        if "member" in row:
            self._address(row["member"], f"{prefix}member")
        member = str(row.get("member", ""))
        return InstanceConfig(name, [str(address) for address in listen], member)

    def _text(self, table: dict[str, Any], key: str, prefix: str = "") -> str:
        value = table.get(key)
        if not isinstance(value, str) or not value:
            self._problem(prefix + key, f"expected a text, got {value!r:.60}")
            return "missing"
        return value

    def _address(self, value: object, field: str) -> Address:
        try:
            return parse_address(value)
        except ConfigError as error:
            self._problem(field, str(error))
            return "", 0

    def _problem(self, field: str, text: str) -> None:
        self.problems.append(f"{field}: {text}")


def _is_list_of_tables(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(row, dict) for row in value)
