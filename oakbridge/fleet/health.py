"""The health of an instance, by the row of its agent's status.  Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

HEALTHY = "well"
DRAINED = "drained"
UNRESPONSIVE = "silent"
CRASH_LOOP = "crash loop"


def instance_health(row: Mapping[str, Any]) -> str:
    """Return a constant of this module, or the state of an unsettled change or process."""
    if row["crash_loop"]:
        return CRASH_LOOP
    if row["change"] != "settled":
        return str(row["change"])
    if row.get("drained") and row["process"] == "stopped":
        return DRAINED
    if row["process"] != "running":
        return str(row["process"])
    return HEALTHY if row["answers"] else UNRESPONSIVE


def is_healthy(health: str) -> bool:
    """Return whether nobody has to look at an instance of this health."""
    return health in (HEALTHY, DRAINED)


def health_problem(row: Mapping[str, Any] | None, generation: int) -> str:
    """Return what is wrong with an instance that should run a generation; "" if nothing is.

    ``row`` is None where its agent does not answer.
    """
    if row is None:
        return "its agent does not answer"
    health = instance_health(row)
    if not is_healthy(health):
        show_exit = row["last_exit"] and health != UNRESPONSIVE
        return f"{health} ({row['last_exit']})" if show_exit else health
    if row["generation"] != generation:
        return f"it runs generation {row['generation']}"
    return ""
