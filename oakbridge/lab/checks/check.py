"""The result of one check."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

NEVER_S = 1e9  # in place of a time: what was wanted never came


@dataclass(frozen=True, slots=True)
class Check:
    """One figure, and what was wanted of it."""

    name: str
    figure: float | None  # None: nothing to judge by
    wanted: str
    holds: bool
    note: str = ""


def encode_check(check: Check) -> dict[str, Any]:
    """Return a check as ``summary.json`` stores it."""
    return {
        "name": check.name,
        "figure": check.figure,
        "wanted": check.wanted,
        "holds": check.holds,
        "note": check.note,
    }
