"""Server files: discovery's JSON, TOML and Prometheus ``file_sd`` JSON, read as a whole or not at all.

Nothing in here does I/O.  A file is bytes under a name; what comes back is either every server that the files
hold, or every mistake in them, each with the path of its field.
"""

from __future__ import annotations

import hashlib
import json
import math
import re
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from oakbridge.node.address import Address, parse_address
from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.node.errors import ConfigError
from oakbridge.policy.events import Endpoint, EndpointState

MAX_BYTES = 16 * 1024 * 1024  # of one file
MAX_FILES = 256  # of one directory
MAX_SERVERS = 100_000
MAX_PROBLEMS = 100  # that are told; a file with more of them is as broken
BATCH = 64  # entries between two pauses
MAX_WEIGHT = 1e6
ENDINGS = (".json", ".toml")

_CHECKSUM = re.compile(rb"\n?#[ \t]*sha256:[ \t]*([0-9a-fA-F]{64})[ \t]*\r?\n?\Z")
_STATES = {"ready": EndpointState.UP, "up": EndpointState.UP, "draining": EndpointState.DRAINING}
BOM = b"\xef\xbb\xbf"

Path = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake: where it is, what was expected there, and what stands there instead."""

    file: str
    path: Path
    expected: str
    line: int | None = None

    def where(self) -> str:
        """The field, as ``endpoints[3].weight``."""
        text = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in self.path)
        return text.removeprefix(".")

    def __str__(self) -> str:
        """One line: file, line, field and what was expected."""
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        return ": ".join(part for part in (place, self.where(), self.expected) if part)


@dataclass(frozen=True, slots=True)
class File:
    """One file's bytes as they were read."""

    name: str
    data: bytes


@dataclass(slots=True)
class Parsed:
    """What the files of one reading hold: servers by name, or the mistakes; never a part of either."""

    servers: dict[str, ListedEndpoint] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)
    dated: set[str] = field(default_factory=set)  # the servers whose start the file tells


def split_checksum(data: bytes) -> tuple[bytes, str | None]:
    """The content, and the checksum that its last line states (``# sha256: ...``), if it has such a line."""
    match = _CHECKSUM.search(data[-200:])
    if match is None:
        return data, None
    cut = max(0, len(data) - 200) + match.start()
    # The line end before the comment belongs to the content: `sha256sum` over the file so far gives the sum.
    end = cut + 1 if data[cut : cut + 1] == b"\n" else cut
    return data[:end], match[1].decode().lower()


def checksum_holds(data: bytes) -> bool | None:
    """Whether the content is what its last line says; None without such a line."""
    content, stated = split_checksum(data)
    return None if stated is None else hashlib.sha256(content).hexdigest() == stated


def _got(value: Any) -> str:
    return f", got {value!r:.60}"


class _Reader:
    """Collects the rows of one file; each row is checked in full."""

    def __init__(self, file: str, into: Parsed) -> None:
        self.file, self.into = file, into

    def problem(self, path: Path, expected: str) -> None:
        if len(self.into.problems) < MAX_PROBLEMS:
            self.into.problems.append(Problem(self.file, path, expected))

    def text(self, raw: dict[str, Any], path: Path, key: str, needed: bool = False) -> str:
        value = raw.get(key)
        if value is None and not needed:
            return ""
        if not isinstance(value, str) or (needed and not value) or len(value) > 200:
            self.problem((*path, key), "expected a text of 1 to 200 characters" + _got(value))
            return ""
        return value

    def number(self, raw: dict[str, Any], path: Path, key: str, default: float) -> float:
        value = raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            self.problem((*path, key), "expected a number" + _got(value))
            return default
        return value

    def weight(self, raw: dict[str, Any], path: Path) -> float:
        value = self.number(raw, path, "weight", 1.0)
        if not 0 < value <= MAX_WEIGHT:
            told = "; a server that is to get nothing has the state draining" if value == 0 else ""
            self.problem(
                (*path, "weight"), f"expected a number above 0 (at most {MAX_WEIGHT:.0f}){_got(value)}{told}"
            )
            return 1.0
        return float(value)

    def group(self, raw: dict[str, Any], path: Path) -> int:
        value = raw.get("group", 0)
        if isinstance(value, bool) or not isinstance(value, int):
            self.problem((*path, "group"), "expected a whole number" + _got(value))
            return 0
        return value

    def state(self, raw: dict[str, Any], path: Path, key: str) -> EndpointState:
        value = raw.get(key, "ready")
        if not isinstance(value, str) or value not in _STATES:
            self.problem((*path, key), "expected ready or draining" + _got(value))
            return EndpointState.UP
        return _STATES[value]

    def since(self, raw: dict[str, Any], path: Path) -> int | None:
        """When the server started, in microseconds of Unix time; None if that is not told."""
        value = raw.get("since")
        if value is None:
            return None
        if isinstance(value, datetime):
            if value.tzinfo is not None:
                return int(value.timestamp() * 1e6)
            self.problem((*path, "since"), "expected a time with an offset from UTC" + _got(str(value)))
            return None
        return int(self.number(raw, path, "since", 0) * 1e6)

    def row(self, raw: Any, path: Path, names: dict[str, str], since: int | None = None) -> None:
        """One server; ``names`` gives the keys that this format has for address and state."""
        if not isinstance(raw, dict):
            return self.problem(path, "expected a table of one server" + _got(raw))
        name = self.text(raw, path, "name", needed=True)
        address: Address = ("", 0)
        try:
            address = parse_address(raw.get("address"))
            if not address[1]:
                raise ConfigError(f"expected a port above 0, got {raw.get('address')!r:.60}")
        except ConfigError as e:
            self.problem((*path, names.get("address", "address")), str(e))
        if since is None:
            since = self.since(raw, path)
        server = Endpoint(
            name,
            self.state(raw, path, names.get("state", "state")),
            self.text(raw, path, "zone"),
            self.group(raw, path),
            self.weight(raw, path),
            since or 0,
            f"{address[0]}:{address[1]}",
        )
        if name in self.into.servers:
            return self.problem((*path, names.get("name", "name")), f"expected a new name{_got(name)} again")
        self.into.servers[name] = ListedEndpoint(server, address)
        if since is not None:
            self.into.dated.add(name)

    # ---- formats

    def rows(self, raw: Any) -> Iterator[None]:
        """Read a decoded file; yields after every server."""
        if isinstance(raw, list):
            yield from self._file_sd(raw)
        elif isinstance(raw, dict) and "endpoints" in raw:
            yield from self._discovery(raw)
        elif isinstance(raw, dict) and "server" in raw:
            yield from self._toml(raw)
        else:
            self.problem((), "expected `endpoints` (discovery), `[[server]]` (TOML) or a list (file_sd)")

    def _discovery(self, raw: dict[str, Any]) -> Iterator[None]:
        endpoints = raw["endpoints"]
        if raw.get("snapshot") is False:
            self.problem(("snapshot",), "expected true: a file holds the whole list")
        if not isinstance(endpoints, list):
            return self.problem(("endpoints",), "expected a list" + _got(endpoints))
        names = {"state": "status"}
        for i, entry in enumerate(endpoints):
            path: Path = ("endpoints", i)
            since = None
            if isinstance(entry, dict) and "since_ms" in entry:
                since = int(self.number(entry, path, "since_ms", 0) * 1000)
            self.row(entry, path, names, since)
            yield

    def _toml(self, raw: dict[str, Any]) -> Iterator[None]:
        servers = raw["server"]
        for key in raw.keys() - {"server"}:
            self.problem((key,), "unknown key; expected `[[server]]` tables alone")
        if not isinstance(servers, list):
            return self.problem(("server",), "expected `[[server]]` tables" + _got(servers))
        known = {"name", "address", "weight", "zone", "group", "state", "since"}
        for i, entry in enumerate(servers):
            for key in entry.keys() - known if isinstance(entry, dict) else ():
                self.problem(("server", i, key), f"unknown key; expected one of {', '.join(sorted(known))}")
            self.row(entry, ("server", i), {})
            yield

    def _file_sd(self, raw: list[Any]) -> Iterator[None]:
        """Prometheus' file-based discovery: groups of targets that share labels; labels are all text."""
        for i, group in enumerate(raw):
            targets = group.get("targets") if isinstance(group, dict) else None
            labels = group.get("labels", {}) if isinstance(group, dict) else None
            if not isinstance(targets, list) or not isinstance(labels, dict):
                self.problem((i,), "expected an object with a list of `targets` and an object of `labels`")
                continue
            shared = self._labels(labels, (i, "labels"))
            if "name" in shared and len(targets) != 1:
                self.problem((i, "labels", "name"), "expected one target in a group that has a name")
            for j, target in enumerate(targets):
                named = {"name": target, **shared, "address": target}
                place = f"targets[{j}]"
                self.row(named, (i,), {"name": place, "address": place})
                yield

    def _labels(self, labels: dict[str, Any], path: Path) -> dict[str, Any]:
        """The labels that mean something here, as the values that the other formats have."""
        got: dict[str, Any] = {k: labels[k] for k in ("name", "zone", "state") if k in labels}
        for key, kind in (("weight", float), ("group", int), ("since", float)):
            if key in labels:
                try:
                    got[key] = kind(labels[key])
                except (TypeError, ValueError, OverflowError):
                    self.problem((*path, key), "expected a number as text" + _got(labels[key]))
        return got


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is no JSON number")


def decode(file: File) -> Any:
    """A file's value; raises Problem's text with the line where the text stops making sense."""
    if len(file.data) > MAX_BYTES:
        raise Unreadable(f"expected at most {MAX_BYTES} bytes, got {len(file.data)}")
    content, stated = split_checksum(file.data.removeprefix(BOM))
    if stated is not None and checksum_holds(file.data) is False:
        raise Unreadable("the content is not what its checksum line says: changed or cut")
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as e:
        line = content[: e.start].count(b"\n") + 1
        raise Unreadable(f"expected UTF-8, got the byte 0x{content[e.start]:02x}", line) from None
    if not text.strip():
        raise Unreadable("expected a list of servers, got an empty file")
    try:
        return (
            tomllib.loads(text)
            if file.name.endswith(".toml")
            else json.loads(text, parse_constant=_no_constant)
        )
    except json.JSONDecodeError as e:
        raise Unreadable(f"expected JSON: {e.msg}, column {e.colno}", e.lineno) from None
    except tomllib.TOMLDecodeError as e:
        at = re.search(r"\(at line (\d+)", str(e))
        line = int(at[1]) if at else text.count("\n") + 1
        raise Unreadable(f"expected TOML: {re.sub(r' [(]at .*', '', str(e))}", line) from None
    except (ValueError, RecursionError) as e:
        raise Unreadable(f"expected {'TOML' if file.name.endswith('.toml') else 'JSON'}: {e}") from None


class Unreadable(Exception):
    """A file that can't be decoded; the text says what was expected."""

    def __init__(self, text: str, line: int | None = None) -> None:
        super().__init__(text)
        self.line = line


def parse(files: list[File], pause: Callable[[], None] = lambda: None) -> Parsed:
    """All files of one version, checked together: names and addresses are told apart over all of them.

    ``pause`` is called between batches, so that whoever parses beside an event loop can let it run.
    """
    parsed = Parsed()
    for file in files:
        pause()
        try:
            raw = decode(file)
        except Unreadable as e:
            parsed.problems.append(Problem(file.name, (), str(e), e.line))
            continue
        pause()
        before = len(parsed.problems)
        for count, _ in enumerate(_Reader(file.name, parsed).rows(raw)):
            if count % BATCH == 0:
                pause()
            if len(parsed.servers) > MAX_SERVERS or len(parsed.problems) - before >= MAX_PROBLEMS:
                break
    name = files[-1].name if files else ""
    _check_addresses(parsed, name)
    if len(parsed.servers) > MAX_SERVERS:
        parsed.problems.append(Problem(name, (), f"expected at most {MAX_SERVERS} servers"))
    if not parsed.problems and not any(e.server.state == EndpointState.UP for e in parsed.servers.values()):
        parsed.problems.append(Problem(name, (), "expected at least one server that is ready"))
    if parsed.problems:
        parsed.servers = {}
    return parsed


def _check_addresses(parsed: Parsed, file: str) -> None:
    """Two names at one address would each get a server's part of the calls."""
    by_address: dict[Address, str] = {}
    for name, entry in parsed.servers.items():
        other = by_address.setdefault(entry.address, name)
        if other != name and entry.address[1] and len(parsed.problems) < MAX_PROBLEMS:
            expected = f"expected an address of its own, got {entry.server.address}"
            parsed.problems.append(Problem(file, (), f"{name}: {expected}, which {other} has"))
