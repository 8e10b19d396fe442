"""Convert validation errors of pydantic to problems that say what was expected."""

from __future__ import annotations

from typing import Any

from pydantic_core import ErrorDetails

from oakbridge.config.field_types import Table
from oakbridge.sources.field_lines import FieldLines, nearest_line
from oakbridge.sources.problem import FieldPath, Problem

_EXPECTED = {
    "string_type": "expected a text",
    "int_type": "expected a whole number",
    "float_type": "expected a number",
    "bool_type": "expected true or false",
    "list_type": "expected a list",
    "model_type": "expected a table",
    "model_attributes_type": "expected a table",
    "string_pattern_mismatch": "expected a name without blanks, in ASCII",
}
_EXPECTED_LENGTH = {
    "too_short": "expected at least one",
    "string_too_short": "expected a text that is not empty",
    "too_long": "expected at most {max_length}",
    "string_too_long": "expected at most {max_length}",
}
_EXPECTED_RANGE = {
    "greater_than": "expected a number above {gt:g}",
    "greater_than_equal": "expected a number of at least {ge:g}",
    "less_than": "expected a number below {lt:g}",
    "less_than_equal": "expected a number of at most {le:g}",
}


def problem_of(file: str, details: ErrorDetails, lines: FieldLines, root: type[Table]) -> Problem:
    """Return the problem of one validation error; ``root`` is the definition of the whole file."""
    path = tuple(details["loc"])
    return Problem(file, path, _expected(details, path, root), nearest_line(lines, path))


def _expected(details: ErrorDetails, path: FieldPath, root: type[Table]) -> str:
    error_type, context = details["type"], details.get("ctx", {})
    if error_type == "value_error":
        return str(context["error"])
    if error_type == "missing":
        return "missing, expected a value"
    if error_type == "extra_forbidden":
        return "unknown key" + _expected_keys(path, root)
    if error_type in _EXPECTED_LENGTH:
        return _EXPECTED_LENGTH[error_type].format(**context)
    got = _got(details)
    if error_type in _EXPECTED_RANGE:
        return _EXPECTED_RANGE[error_type].format(**context) + got
    if error_type == "literal_error":
        return f"expected {context['expected']}{got}".replace("'", "")
    return _EXPECTED.get(error_type, details["msg"]) + got


def _got(details: ErrorDetails) -> str:
    """Return the end of a message, which shows the value; "" for tables and most lists."""
    value = details.get("input")
    if isinstance(value, dict | list) and details["type"] != "list_type":
        return ""
    return f", got {value!r:.60}"


def _expected_keys(path: FieldPath, root: type[Table]) -> str:
    """Return the end of a message on an unknown key, which names the valid keys of its table."""
    model: type[Table] | None = root
    for key in path[:-1]:
        if isinstance(key, str) and model is not None:
            model = _table_under(model, key)
    if model is None:
        return ""
    keys = sorted(field.alias or name for name, field in model.model_fields.items())
    return f"; expected one of {', '.join(keys)}"


def _table_under(model: type[Table], key: str) -> type[Table] | None:
    """Return the definition of the table or the array of tables under a key; None without one."""
    for name, field in model.model_fields.items():
        if (field.alias or name) == key:
            candidates: tuple[Any, ...] = getattr(field.annotation, "__args__", (field.annotation,))
            tables = [
                candidate
                for candidate in candidates
                if isinstance(candidate, type) and issubclass(candidate, Table)
            ]
            return tables[0] if tables else None
    return None
