"""Write the reference page of the configuration from the definitions that check the file."""

from __future__ import annotations

from typing import Any

from pydantic.fields import FieldInfo

from oakbridge.config import schema
from oakbridge.config.field_types import Table

HEAD = """# Configuration reference

`oakbridge serve --config FILE` reads one TOML file; `oakbridge check FILE` lists every problem in
it with its line. `oakbridge check --reference` writes this page from the definitions that check the
file: edit those, not this page. Times are texts with a unit (`"250ms"`, `"2.5s"`, `"1m"`).
Relative paths start at the directory of the file. Unknown keys are errors.
"""

_TABLE_HEAD = [
    "| key | description | kind | default |",
    "| --- | --- | --- | --- |",
]
_ARRAYS_OF_TABLES = ("classes", "tenants")
_NESTED_ARRAYS: dict[str, dict[str, type[Table]]] = {
    "servers": {"servers.inline": schema.InlineServer},
    "sip": {"sip.route": schema.SipRoute},
}

# The first of these keys that the text of a field's annotation contains gives its kind.
_KINDS_BY_ANNOTATION = {
    "InlineServer": "tables",
    "SipRoute": "tables",
    "Annotated[str": "list of texts",
    "list[": "list of IPv4:port",
    "tuple": "IPv4:port",
    "bool": "true or false",
    "float": "number",
    "int": "whole number",
    "str": "text",
}
_BOUNDS = {
    "gt": "above",
    "ge": "at least",
    "lt": "below",
    "le": "at most",
}
_TIME_UNITS_US = {
    "s": 1_000_000,
    "ms": 1_000,
    "us": 1,
}


def reference_page() -> str:
    """Return the complete page as Markdown."""
    parts = [HEAD]
    for name, field in schema.ConfigFile.model_fields.items():
        # The annotation is a table, a list of tables, or an optional table.
        model: Any = getattr(field.annotation, "__args__", (field.annotation,))[0]
        key = field.alias or name
        title = f"[[{key}]]" if name in _ARRAYS_OF_TABLES else f"[{key}]"
        parts += _section(f"## `{title}`", model)
        for nested_key, nested_model in _NESTED_ARRAYS.get(name, {}).items():
            parts += _section(f"### `[[{nested_key}]]`", nested_model)
    return "\n".join(parts)


def _section(title: str, model: type[Table]) -> list[str]:
    rows = [_row(field.alias or name, field) for name, field in model.model_fields.items()]
    return [
        f"{title}\n\n{_one_line(model.__doc__ or '')}\n",
        "\n".join(_TABLE_HEAD + rows) + "\n",
    ]


def _one_line(text: str) -> str:
    return " ".join(text.split())


def _row(key: str, field: FieldInfo) -> str:
    kind, bounds = _kind(field), _bounds(field)
    kind_and_bounds = f"{kind}, {bounds}" if bounds else kind
    return f"| `{key}` | {field.description} | {kind_and_bounds} | {_default(field, kind)} |"


def _kind(field: FieldInfo) -> str:
    extra = field.json_schema_extra
    if isinstance(extra, dict) and "kind" in extra:
        return str(extra["kind"])
    annotation = str(field.annotation)
    if "Literal" in annotation:
        return " or ".join(f"`{value}`" for value in getattr(field.annotation, "__args__", ()))
    for part, kind in _KINDS_BY_ANNOTATION.items():
        if part in annotation:
            return kind
    return annotation


def _bounds(field: FieldInfo) -> str:
    found = [
        f"{words} {getattr(bound, attribute):g}"
        for bound in field.metadata
        for attribute, words in _BOUNDS.items()
        if hasattr(bound, attribute)
    ]
    return ", ".join(found)


def _default(field: FieldInfo, kind: str) -> str:
    if field.is_required():
        return "required"
    value: Any = field.get_default(call_default_factory=True)
    if value is None or value == []:
        return "none"
    if kind.startswith("time"):
        return f'`"{_format_time(value)}"`'
    if isinstance(value, list):
        return "`[" + ", ".join(f'"{host}:{port}"' for host, port in value) + "]`"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    return f'`"{value}"`' if isinstance(value, str) else f"`{value}`"


def _format_time(time_us: int) -> str:
    """Return a time in the largest unit that gives a whole number."""
    for unit, size_us in _TIME_UNITS_US.items():
        if time_us % size_us == 0:
            return f"{time_us // size_us}{unit}"
    raise AssertionError(time_us)
