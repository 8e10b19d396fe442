"""Single settings by path: ``limits.max_open``, or ``class.car-nearby.aim`` of a named class."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from typing import Any

import tomlkit

from oakbridge.rollout.change_error import ChangeError


def parse_setting(text: str) -> tuple[str, Any]:
    """Return the path and the value of ``PATH=VALUE``; a value that is not TOML is a string.

    Raise :class:`ChangeError` for text of another form.
    """
    path, equals, value = text.partition("=")
    path, value = path.strip(), value.strip()
    if not equals or not value or not all(path.split(".")):
        raise ChangeError(
            "expected PATH=VALUE, as in class.car-nearby.aim=3s", f"--set {text!r:.80}"
        )
    try:
        return path, tomllib.loads(f"v = {value}")["v"]
    except tomllib.TOMLDecodeError:
        return path, value


def put_setting(document: Any, path: str, value: Any) -> None:
    """Set the value at a path of a TOML document, and create missing tables.

    For an array of tables, the next key of the path is the ``name`` of one of them.  Raise
    :class:`ChangeError` if the path does not lead to a table.
    """
    table, keys = document, path.split(".")
    for depth, key in enumerate(keys[:-1], 1):
        prefix = ".".join(keys[:depth])
        if isinstance(table, list):
            table = _table_by_name(table, key, prefix)
        else:
            if key not in table:
                table[key] = tomlkit.table()
            table = table[key]
        if not isinstance(table, dict | list):
            raise ChangeError(f"expected a table at {prefix}, there is a value", path)
    if isinstance(table, list):
        raise ChangeError("expected a field behind the name, as in class.car-nearby.aim", path)
    table[keys[-1]] = value


def _table_by_name(array: Iterable[Any], name: str, path: str) -> Any:
    tables = [table for table in array if isinstance(table, dict)]
    for table in tables:
        if table.get("name") == name:
            return table
    names = ", ".join(str(table.get("name")) for table in tables)
    raise ChangeError(f"there is none of that name; expected one of {names:.200}", path)
