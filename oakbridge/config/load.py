"""Reads ``oakbridge.toml``: every mistake at once, each with its line, its field and what was expected."""

from __future__ import annotations

import hashlib
import re
import secrets
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from oakbridge.config import schema
from oakbridge.control.paths import default_socket_path
from oakbridge.node.config import Config
from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.policy.settings import Idempotency, Prices, RequestClass, Settings, Tenant, WeightSource
from oakbridge.sources.formats import Problem
from oakbridge.sources.locate import lines_of, nearest

T = TypeVar("T", bound=schema.Table)

MAX_BYTES = 4 * 1024 * 1024
DRAIN_GRACE = 250_000  # in which a drain ends new work
CROSSING = 0.02  # any price above 0 has the module prefer its own zone


class BadFile(ValueError):
    """A configuration that can't be used, with all its mistakes."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class Loaded:
    """A checked file, and what it means for a node."""

    path: Path
    file: schema.File
    config: Config
    control: Path | None  # of the control socket
    digest: str  # of the file's bytes
    member: tuple[str, tuple[str, int]] | None = (
        None  # name and address among members, in place of the file's
    )


def load(path: Path) -> Loaded:
    """Read and check a file.  Raises :class:`BadFile`."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise BadFile([Problem(str(path), (), f"expected at most {MAX_BYTES} bytes")])
        data = path.read_bytes()
    except OSError as e:
        raise BadFile([Problem(str(path), (), e.strerror or str(e))]) from None
    file = check(data, str(path))
    return Loaded(path, file, _node_config(file), control_socket(file), hashlib.sha256(data).hexdigest())


def check(data: bytes, name: str) -> schema.File:
    """Check a file's bytes.  Raises :class:`BadFile`."""
    return checked(data, name, schema.File)


def checked(data: bytes, name: str, model: type[T]) -> T:
    """Check a TOML file's bytes against a definition.  Raises :class:`BadFile` with every mistake."""
    try:
        raw = tomllib.loads(data.decode("utf-8-sig"))
    except UnicodeDecodeError as e:
        line = data[: e.start].count(b"\n") + 1
        raise BadFile(
            [Problem(name, (), f"expected UTF-8, got the byte 0x{data[e.start]:02x}", line)]
        ) from None
    except tomllib.TOMLDecodeError as e:
        at = re.search(r"\(at line (\d+)", str(e))
        line = int(at[1]) if at else data.count(b"\n") + 1
        text = re.sub(r" [(]at .*", "", str(e))
        raise BadFile([Problem(name, (), f"expected TOML: {text}", line)]) from None
    try:
        return model.model_validate(raw)
    except ValidationError as e:
        lines = lines_of(data, "toml")
        found = [_problem(name, error, lines, model) for error in e.errors(include_url=False)]
        raise BadFile(sorted(found, key=lambda p: (p.line or 0, p.where()))) from None


_EXPECTED = {
    "missing": "missing, expected a value",
    "extra_forbidden": "unknown key",
    "string_type": "expected a text",
    "int_type": "expected a whole number",
    "float_type": "expected a number",
    "bool_type": "expected true or false",
    "list_type": "expected a list",
    "model_type": "expected a table",
    "model_attributes_type": "expected a table",
    "string_pattern_mismatch": "expected a name without blanks, in ASCII",
}
_RELATIONS = {
    "greater_than": ("above", "gt"), "greater_than_equal": ("of at least", "ge"),
    "less_than": ("below", "lt"), "less_than_equal": ("of at most", "le"),
}  # fmt: skip


def _problem(
    name: str, error: ErrorDetails, lines: dict[tuple[str | int, ...], int], root: type[schema.Table]
) -> Problem:
    path = tuple(error["loc"])
    kind, context, got = error["type"], error.get("ctx", {}), error.get("input")
    shown = "" if isinstance(got, dict | list) and kind != "list_type" else f", got {got!r:.60}"
    if kind == "value_error":
        text = str(context["error"])
    elif kind in _RELATIONS:
        word, key = _RELATIONS[kind]
        text = f"expected a number {word} {context[key]:g}{shown}"
    elif kind == "literal_error":
        text = f"expected {context['expected']}{shown}".replace("'", "")
    elif kind in ("too_short", "string_too_short"):
        text = "expected at least one" if kind == "too_short" else "expected a text that is not empty"
    elif kind in ("too_long", "string_too_long"):
        text = f"expected at most {context['max_length']}"
    elif kind == "missing":
        text = _EXPECTED[kind]
    elif kind == "extra_forbidden":
        text = f"unknown key{_near(path, root)}"
    else:
        text = _EXPECTED.get(kind, error["msg"]) + shown
    return Problem(name, path, text, nearest(lines, path))


def _near(path: tuple[str | int, ...], root: type[schema.Table]) -> str:
    """What the key may have been meant to be."""
    model: Any = root
    for part in path[:-1]:
        if isinstance(part, int):
            continue
        field = next((f for n, f in model.model_fields.items() if (f.alias or n) == part), None)
        if field is None:
            return ""
        inner = getattr(field.annotation, "__args__", (field.annotation,))
        model = next((m for m in inner if isinstance(m, type) and issubclass(m, schema.Table)), None)
        if model is None:
            return ""
    names = sorted(f.alias or n for n, f in model.model_fields.items())
    return f"; expected one of {', '.join(names)}"


def control_socket(file: schema.File) -> Path | None:
    """Where the control socket is, by the file or by the user's runtime directory."""
    if not file.control.enabled:
        return None
    if file.control.socket is not None:
        return Path(file.control.socket).expanduser().absolute()
    return default_socket_path(file.node.name)


def _node_config(file: schema.File) -> Config:
    node, limits = file.node, file.limits
    first, *others = node.listen
    seed = secrets.randbits(64) if node.seed is None else node.seed
    return Config(
        node.name, first, file.servers.discovery, seed, limits.sockets, None, _settings(file), tuple(others)
    )


def _settings(file: schema.File) -> Settings:
    """The module's settings; a tick of 1 ms, as on the platform."""
    limits, budget, cold = file.limits, file.retry_budget, file.cold_start
    classes = tuple(
        RequestClass(
            c.name, c.aim, c.deadline, c.worth, c.late_worth, Idempotency(c.repeat), c.group, c.repeat_window
        )
        for c in file.classes
    )  # fmt: skip
    return Settings(
        classes=classes,
        tenants=tuple(Tenant(t.name, t.quota_per_s) for t in file.tenants),
        replica_count=file.node.instances,
        zone=file.node.zone,
        zones=(file.node.zone, "any other") if file.node.zone else (),
        prices=Prices(cross_zone=CROSSING if file.node.zone else 0.0),
        max_attempts=limits.attempts,
        cancellation_allowed=True,
        max_retry_after=limits.retry_after,
        weight_source=WeightSource.NOMINAL,
        drain_grace=DRAIN_GRACE,
        slow_start_minimum=cold.share,
        slow_start_window=cold.warm_up,
        overload_factor=cold.most,
        overload_window=cold.within,
        over_quota_weight=limits.over_quota_worth,
        connection_idle_timeout=limits.connection_idle,
        connect_timeout=limits.connect_timeout,
        max_open_requests=limits.open_requests,
        pin_endpoint_list=True,
        retry_ratio=budget.ratio,
        retry_floor=budget.floor_per_s,
        retry_window=budget.window_s,
    )


def inline_entries(file: schema.File) -> list[ListedEndpoint]:
    """The servers that the file itself holds."""
    return [
        ListedEndpoint(
            Endpoint(
                s.name, EndpointState.UP, s.zone, s.group, s.weight, 0, f"{s.address[0]}:{s.address[1]}"
            ),
            s.address,
        )
        for s in file.servers.inline
    ]
