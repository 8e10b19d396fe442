"""Reads and checks a node's configuration: environment variables and one JSON file."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from oakbridge.node.address import Address, parse_address
from oakbridge.node.endpoint_list_json import JsonObject
from oakbridge.node.errors import ConfigError, ConfigUnreadableError
from oakbridge.node.settings import missing_key, read_settings
from oakbridge.node.system_errors import is_read_error
from oakbridge.policy.settings import Settings, SettingsError

DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 128
MAX_MEMORY_MB = 1e9


@dataclass(frozen=True, slots=True)
class Config:
    """A node's configuration."""

    name: str
    listen: Address
    discovery: Address | None  # None: endpoint lists come from another source
    seed: int  # of the balancer's random numbers
    sockets: int  # maximum number of file descriptors
    saved_list: JsonObject | None  # the last known endpoint list, in discovery's JSON format
    settings: Settings
    also_listen: tuple[Address, ...] = ()  # more listen addresses; not set by the platform's file
    control: Address | None = None  # listen address for operators' commands; None: disabled
    memory_mb: int = 0  # memory limit of the node in megabytes; 0: unknown
    # ``raw`` is the file's content without the saved endpoint list.
    raw: JsonObject = field(default_factory=dict, compare=False)


def load_config(environment: Mapping[str, str], before: Config | None = None) -> Config:
    """Read the node's configuration; variables take precedence over the file.  Raise ConfigError.

    ``before``: the running node's configuration, on a reload.  The environment of a running process
    doesn't change, so the file's address of discovery then takes precedence.  The file must have
    all keys that it had before: otherwise it is truncated or half edited, and a missing setting
    would silently get its default.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: missing, expected the path of the configuration")
    raw = _read_file(path)
    if before is not None and (missing := missing_key(before.raw, raw)):
        raise ConfigError(
            f"NODE_CONFIG: {path}: {missing}: missing, expected it as in the previous file"
        )
    return parse_config(environment, raw, reloading=before is not None)


def parse_config(
    environment: Mapping[str, str], raw: JsonObject, *, reloading: bool = False
) -> Config:
    """Return the configuration in a file's JSON object.  Raise ConfigError.

    ``reloading``: the node is running; see :func:`load_config`.
    """
    try:
        settings = read_settings(raw.get("settings"))
    except SettingsError as error:
        raise ConfigError(str(error)) from None
    saved_list = raw.get("known")
    file_takes_precedence = reloading and raw.get("discovery")
    return Config(
        name=str(environment.get("NODE_NAME") or raw.get("name") or "node"),
        listen=_address(environment, raw, "listen"),
        discovery=_address({} if file_takes_precedence else environment, raw, "discovery"),
        seed=_seed(raw.get("seed", "0")),
        sockets=_max_sockets(raw),
        saved_list=None if saved_list is None else _object(saved_list, "known"),
        settings=settings,
        control=_address(environment, raw, "control") if _has_control(environment, raw) else None,
        memory_mb=_memory_mb(raw),
        raw={name: value for name, value in raw.items() if name != "known"},
    )


def has_control_address(environment: Mapping[str, str]) -> bool:
    """Return whether an address for operators' commands is configured.

    If the file can't be read, only the environment variable counts.
    """
    try:
        return _has_control(environment, _read_file(environment.get("NODE_CONFIG", "")))
    except ConfigError:
        return bool(environment.get("NODE_CONTROL"))


def _read_file(path: str) -> JsonObject:
    try:
        return _object(json.loads(Path(path).read_text("utf-8")), path)
    except OSError as error:
        problem = f"NODE_CONFIG: {path}: {error.strerror}"
        raise (ConfigUnreadableError if is_read_error(error) else ConfigError)(problem) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"NODE_CONFIG: {path}: {str(error) or 'not JSON'}") from None


def _object(value: Any, place: str) -> JsonObject:
    if not isinstance(value, dict):
        raise ConfigError(f"{place}: expected an object, got {value!r:.80}")
    return value


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: expected a hexadecimal number, got {value!r:.80}") from None


def _address(environment: Mapping[str, str], raw: JsonObject, name: str) -> Address:
    variable = f"NODE_{name.upper()}"
    value = environment.get(variable) or raw.get(name)
    if not value:
        raise ConfigError(f"{variable}: missing, and the configuration has no {name!r}")
    try:
        return parse_address(value)
    except ConfigError as error:
        raise ConfigError(f"{variable}: {error}") from None


def _has_control(environment: Mapping[str, str], raw: JsonObject) -> bool:
    return bool(environment.get("NODE_CONTROL") or raw.get("control"))


def _limit(raw: JsonObject, name: str, default: int) -> Any:
    return _object(raw.get("limits") or {}, "limits").get(name, default)


def _max_sockets(raw: JsonObject) -> int:
    """Return the maximum number of descriptors: the configured limit, or RLIMIT_NOFILE if lower."""
    limit = _limit(raw, "sockets", DEFAULT_SOCKETS)
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < MIN_SOCKETS:
        raise ConfigError(
            f"limits.sockets: expected a whole number of {MIN_SOCKETS} or more, got {limit!r:.80}"
        )
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit if soft == resource.RLIM_INFINITY else min(limit, soft)


def _memory_mb(raw: JsonObject) -> int:
    limit = _limit(raw, "memory_mb", 0)
    if (
        isinstance(limit, bool)
        or not isinstance(limit, int | float)
        or not 0 <= limit < MAX_MEMORY_MB
    ):
        raise ConfigError(f"limits.memory_mb: expected a number of megabytes, got {limit!r:.80}")
    return int(limit)
