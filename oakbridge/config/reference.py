"""The reference page of the configuration, made from the definitions that check it."""

from __future__ import annotations

from typing import Any

from pydantic.fields import FieldInfo

from oakbridge.config import schema

HEAD = """# Configuration reference

`oakbridge serve --config FILE` reads one TOML file; `oakbridge check FILE` lists every mistake in it with its
line. This page is made from the definitions that check the file (`oakbridge check --reference`): edit those,
not this. Times are texts with a unit (`"250ms"`, `"2.5s"`, `"1m"`). Paths that are not absolute start at the
folder of the file. A key that is not listed here is a mistake.
"""


def _kind(info: FieldInfo) -> str:
    extra = info.json_schema_extra
    if isinstance(extra, dict) and "kind" in extra:
        return str(extra["kind"])
    text = str(info.annotation)
    if "Literal" in text:
        return " or ".join(f"`{a}`" for a in getattr(info.annotation, "__args__", ()))
    if "InlineServer" in text or "SipRoute" in text:
        return "tables"
    if "Annotated[str" in text:
        return "list of texts"
    for word, kind in (("list[", "list of IPv4:port"), ("tuple", "IPv4:port"), ("bool", "true or false"),
                       ("float", "number"), ("int", "whole number"), ("str", "text")):  # fmt: skip
        if word in text:
            return kind
    return text


def _bounds(info: FieldInfo) -> str:
    signs = {"gt": "above", "ge": "at least", "lt": "below", "le": "at most"}
    found = [f"{signs[k]} {getattr(m, k):g}" for m in info.metadata for k in signs if hasattr(m, k)]
    return ", ".join(found)


def _default(info: FieldInfo, kind: str) -> str:
    if info.is_required():
        return "required"
    value: Any = info.get_default(call_default_factory=True)
    if value is None or value == []:
        return "none"
    if kind.startswith("time"):
        return f'`"{_time(value)}"`'
    if isinstance(value, list):
        return "`[" + ", ".join(f'"{h}:{p}"' for h, p in value) + "]`"
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    return f'`"{value}"`' if isinstance(value, str) else f"`{value}`"


def _time(micros: int) -> str:
    for unit, size in (("s", 1_000_000), ("ms", 1_000), ("us", 1)):
        if micros % size == 0 and (micros or unit == "s"):
            return f"{micros // size}{unit}"
    raise AssertionError(micros)


def _rows(model: type[schema.Table]) -> list[str]:
    rows = ["| key | what | kind | default |", "| --- | --- | --- | --- |"]
    for name, info in model.model_fields.items():
        kind, bounds = _kind(info), _bounds(info)
        told = f"{kind}, {bounds}" if bounds else kind
        rows.append(f"| `{info.alias or name}` | {info.description} | {told} | {_default(info, kind)} |")
    return rows


def page() -> str:
    """The whole page, as Markdown."""
    parts = [HEAD]
    for name, info in schema.File.model_fields.items():
        many = name in ("classes", "tenants")
        # A list of tables, or a table that may be left out.
        model: Any = getattr(info.annotation, "__args__", (info.annotation,))[0]
        key = info.alias or name
        parts.append(f"## `{'[[' if many else '['}{key}{']]' if many else ']'}`\n\n{model.__doc__}\n")
        parts.append("\n".join(_rows(model)) + "\n")
        if name == "servers":
            parts.append(f"### `[[servers.inline]]`\n\n{schema.InlineServer.__doc__}\n")
            parts.append("\n".join(_rows(schema.InlineServer)) + "\n")
        if name == "sip":
            parts.append(f"### `[[sip.route]]`\n\n{schema.SipRoute.__doc__}\n")
            parts.append("\n".join(_rows(schema.SipRoute)) + "\n")
    return "\n".join(parts)
