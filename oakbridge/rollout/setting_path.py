"""Single settings by path: ``limits.max_open`` or, of a class by name, ``class.car-nearby.aim``."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from typing import Any

import tomlkit

from oakbridge.rollout.change_error import ChangeError


def parse_setting(text: str) -> tuple[str, Any]:
    """Return path and value of ``PATH=VALUE``; a value that is not TOML is a string.

    Raise :class:`ChangeError` for another form.
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
    """Put a value at its path into a TOML document, with the tables that it needs.

    In an array of tables the next word of the path is the ``name`` of one of them.  Raise
    :class:`ChangeError` if the path leads to no table.
    """
    place, words = document, path.split(".")
    for depth, word in enumerate(words[:-1], 1):
        here = ".".join(words[:depth])
        if isinstance(place, list):
            place = _table_of_name(place, word, here)
        else:
            if word not in place:
                place[word] = tomlkit.table()
            place = place[word]
        if not isinstance(place, dict | list):
            raise ChangeError(f"expected a table at {here}, there is a value", path)
    if isinstance(place, list):
        raise ChangeError("expected a field behind the name, as in class.car-nearby.aim", path)
    place[words[-1]] = value


def _table_of_name(array: Iterable[Any], name: str, path: str) -> Any:
    tables = [table for table in array if isinstance(table, dict)]
    for table in tables:
        if table.get("name") == name:
            return table
    names = ", ".join(str(table.get("name")) for table in tables)
    raise ChangeError(f"there is none of that name; expected one of {names:.200}", path)
