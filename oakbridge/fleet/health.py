"""How an instance is, in one word, by what its agent tells of it.  Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

WELL, DRAINED = "well", "drained"


def health(row: Mapping[str, Any]) -> str:
    """One word: well, drained, or what is wrong."""
    if row["crash_loop"]:
        return "crash loop"
    if row["change"] != "settled":
        return str(row["change"])
    if row.get("drained") and row["process"] == "stopped":
        return DRAINED
    if row["process"] != "running":
        return str(row["process"])
    return WELL if row["answers"] else "silent"


def in_order(word: str) -> bool:
    """Whether nobody has to look at it."""
    return word in (WELL, DRAINED)


def unwell_because(told: Mapping[str, Any] | None, generation: int) -> str:
    """What is wrong with a changed instance (None: its agent does not answer); "" if it is well."""
    if told is None:
        return "its agent does not answer"
    word = health(told)
    if not in_order(word):
        return f"{word} ({told['last_exit']})" if told["last_exit"] and word != "silent" else word
    return "" if told["generation"] == generation else f"it runs generation {told['generation']}"
