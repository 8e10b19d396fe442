"""The three formats of a server file: discovery's JSON, TOML and Prometheus' ``file_sd`` JSON.

Each reader yields after every server, so that the parser can pause while an event loop runs.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from oakbridge.sources.problem import FieldPath
from oakbridge.sources.server_row import RowFields, ServerRowReader, got

_TOML_KEYS = {"name", "address", "weight", "zone", "group", "state", "since"}
_TEXT_LABELS = ("name", "zone", "state")
_NUMBER_LABELS = {"weight": float, "group": int, "since": float}


def read_rows(raw: Any, reader: ServerRowReader) -> Iterator[None]:
    """Read a decoded file of any format; yield after every server."""
    if isinstance(raw, list):
        yield from _read_file_sd(raw, reader)
    elif isinstance(raw, dict) and "endpoints" in raw:
        yield from _read_discovery(raw, reader)
    elif isinstance(raw, dict) and "server" in raw:
        yield from _read_toml(raw, reader)
    else:
        expected = "expected `endpoints` (discovery), `[[server]]` (TOML) or a list (file_sd)"
        reader.add_problem((), expected)


def _read_discovery(raw: dict[str, Any], reader: ServerRowReader) -> Iterator[None]:
    endpoints = raw["endpoints"]
    if raw.get("snapshot") is False:
        reader.add_problem(("snapshot",), "expected true: a file holds the whole list")
    if not isinstance(endpoints, list):
        reader.add_problem(("endpoints",), "expected a list" + got(endpoints))
        return
    fields = RowFields(state="status")
    for index, entry in enumerate(endpoints):
        path: FieldPath = ("endpoints", index)
        started_at_us = None
        if isinstance(entry, dict) and "since_ms" in entry:
            started_at_us = int(reader.number(entry, path, "since_ms", 0) * 1000)
        reader.read_row(entry, path, fields, started_at_us)
        yield


def _read_toml(raw: dict[str, Any], reader: ServerRowReader) -> Iterator[None]:
    servers = raw["server"]
    for key in raw.keys() - {"server"}:
        reader.add_problem((key,), "unknown key; expected `[[server]]` tables alone")
    if not isinstance(servers, list):
        reader.add_problem(("server",), "expected `[[server]]` tables" + got(servers))
        return
    fields = RowFields()
    expected_keys = ", ".join(sorted(_TOML_KEYS))
    for index, entry in enumerate(servers):
        unknown = entry.keys() - _TOML_KEYS if isinstance(entry, dict) else ()
        for key in unknown:
            reader.add_problem(
                ("server", index, key), f"unknown key; expected one of {expected_keys}"
            )
        reader.read_row(entry, ("server", index), fields)
        yield


def _read_file_sd(raw: list[Any], reader: ServerRowReader) -> Iterator[None]:
    """Read groups of targets that share labels; the values of all labels are strings."""
    for index, group in enumerate(raw):
        targets = group.get("targets") if isinstance(group, dict) else None
        labels = group.get("labels", {}) if isinstance(group, dict) else None
        if not isinstance(targets, list) or not isinstance(labels, dict):
            expected = "expected an object with a list of `targets` and an object of `labels`"
            reader.add_problem((index,), expected)
            continue
        shared = _read_labels(labels, (index, "labels"), reader)
        if "name" in shared and len(targets) != 1:
            expected = "expected one target in a group that has a name"
            reader.add_problem((index, "labels", "name"), expected)
        for target_index, target in enumerate(targets):
            row = {"name": target, **shared, "address": target}
            field_name = f"targets[{target_index}]"
            reader.read_row(row, (index,), RowFields(name=field_name, address=field_name))
            yield


def _read_labels(
    labels: dict[str, Any],
    path: FieldPath,
    reader: ServerRowReader,
) -> dict[str, Any]:
    """Return the labels that describe a server, with values of the types in the other formats."""
    values: dict[str, Any] = {key: labels[key] for key in _TEXT_LABELS if key in labels}
    for key, number_type in _NUMBER_LABELS.items():
        if key not in labels:
            continue
        try:
            values[key] = number_type(labels[key])
        except (TypeError, ValueError, OverflowError):
            reader.add_problem((*path, key), "expected a number as text" + got(labels[key]))
    return values
