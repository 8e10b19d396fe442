"""Check the rows of a server file, one server each, field by field."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from oakbridge.node.address import Address, parse_address
from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.node.errors import ConfigError
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources.problem import FieldPath, Problem

MAX_PROBLEMS = 100  # problems that are reported; a file with more is just as invalid
MAX_WEIGHT = 1e6
MAX_TEXT_LENGTH = 200  # characters

_STATES = {
    "ready": EndpointState.UP,
    "up": EndpointState.UP,
    "draining": EndpointState.DRAINING,
}


@dataclass(slots=True)
class ParsedServers:
    """The parsed files of one version: all servers by name, or the problems."""

    servers: dict[str, ListedEndpoint] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)
    with_start_time: set[str] = field(default_factory=set)  # names of servers whose row has it

    def add_problem(self, file: str, path: FieldPath, expected: str) -> None:
        """Add a problem, unless there are ``MAX_PROBLEMS`` already."""
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(Problem(file, path, expected))


@dataclass(frozen=True, slots=True)
class RowFields:
    """The names of a row's fields in one format, for look-up and error messages."""

    name: str = "name"
    address: str = "address"
    state: str = "state"


def got(value: Any) -> str:
    """Return the end of an error message, which shows the value found."""
    return f", got {value!r:.60}"


class ServerRowReader:
    """Checks the rows of one file and adds the servers or the problems to the result."""

    def __init__(self, file: str, result: ParsedServers) -> None:
        """``file`` is the file's name in problems."""
        self._file = file
        self._result = result

    def add_problem(self, path: FieldPath, expected: str) -> None:
        """Add a problem of this file."""
        self._result.add_problem(self._file, path, expected)

    def read_row(
        self, raw: Any, path: FieldPath, fields: RowFields, started_at_us: int | None = None
    ) -> None:
        """Check and add one server.

        ``started_at_us`` is its start in microseconds of Unix time; None: the row's ``since`` if it
        has one.
        """
        if not isinstance(raw, dict):
            self.add_problem(path, "expected a table of one server" + got(raw))
            return
        name = self._text(raw, path, "name", required=True)
        address = self._address(raw, path, fields.address)
        if started_at_us is None:
            started_at_us = self._started_at_us(raw, path)
        server = Endpoint(
            name,
            self._state(raw, path, fields.state),
            self._text(raw, path, "zone"),
            self._group(raw, path),
            self._weight(raw, path),
            started_at_us or 0,
            f"{address[0]}:{address[1]}",
        )
        if name in self._result.servers:
            self.add_problem((*path, fields.name), f"expected a new name{got(name)} again")
            return
        self._result.servers[name] = ListedEndpoint(server, address)
        if started_at_us is not None:
            self._result.with_start_time.add(name)

    def number(self, raw: dict[str, Any], path: FieldPath, key: str, default: float) -> float:
        """Return the value of a key as a finite number; the default if it is missing or invalid."""
        value = raw.get(key, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not (is_number and math.isfinite(value)):
            self.add_problem((*path, key), "expected a number" + got(value))
            return default
        number: float = value
        return number

    def _address(self, raw: dict[str, Any], path: FieldPath, key: str) -> Address:
        try:
            address = parse_address(raw.get("address"))
        except ConfigError as error:
            self.add_problem((*path, key), str(error))
            return "", 0
        if not address[1]:
            self.add_problem((*path, key), "expected a port above 0" + got(raw.get("address")))
        return address

    def _text(
        self,
        raw: dict[str, Any],
        path: FieldPath,
        key: str,
        *,
        required: bool = False,
    ) -> str:
        value = raw.get(key)
        if value is None and not required:
            return ""
        if not isinstance(value, str) or (required and not value) or len(value) > MAX_TEXT_LENGTH:
            expected = f"expected a text of 1 to {MAX_TEXT_LENGTH} characters"
            self.add_problem((*path, key), expected + got(value))
            return ""
        return value

    def _weight(self, raw: dict[str, Any], path: FieldPath) -> float:
        value = self.number(raw, path, "weight", 1.0)
        if not 0 < value <= MAX_WEIGHT:
            hint = "; a server that is to get nothing has the state draining" if value == 0 else ""
            expected = f"expected a number above 0 (at most {MAX_WEIGHT:.0f})"
            self.add_problem((*path, "weight"), expected + got(value) + hint)
            return 1.0
        return float(value)

    def _group(self, raw: dict[str, Any], path: FieldPath) -> int:
        value = raw.get("group", 0)
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_problem((*path, "group"), "expected a whole number" + got(value))
            return 0
        return value

    def _state(self, raw: dict[str, Any], path: FieldPath, key: str) -> EndpointState:
        value = raw.get(key, "ready")
        if not isinstance(value, str) or value not in _STATES:
            self.add_problem((*path, key), "expected ready or draining" + got(value))
            return EndpointState.UP
        return _STATES[value]

    def _started_at_us(self, raw: dict[str, Any], path: FieldPath) -> int | None:
        """Return the start time in microseconds of Unix time; None if the row has none."""
        value = raw.get("since")
        if value is None:
            return None
        if isinstance(value, datetime):
            if value.tzinfo is not None:
                return int(value.timestamp() * 1e6)
            expected = "expected a time with an offset from UTC"
            self.add_problem((*path, "since"), expected + got(str(value)))
            return None
        return int(self.number(raw, path, "since", 0) * 1e6)
