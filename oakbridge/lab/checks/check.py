"""The result of one check."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

NEVER_S = 1e9  # instead of a time: the expected event never happened


@dataclass(frozen=True, slots=True)
class Check:
    """One figure, its bound and whether it holds."""

    name: str
    figure: float | None  # None: the run has no data for it
    wanted: str  # the bound, in words; empty if the plan has none
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
