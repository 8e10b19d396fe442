"""The health of an instance, from its row in its agent's status.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

HEALTHY = "well"
DRAINED = "drained"
UNRESPONSIVE = "silent"
CRASH_LOOP = "crash loop"


def instance_health(row: Mapping[str, Any]) -> str:
    """Return an instance's health.

    It is a constant of this module, the state of a change that is not settled, or the state of a
    process that does not run.
    """
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
    """Return whether an instance of this health needs no attention."""
    return health in (HEALTHY, DRAINED)


def health_problem(row: Mapping[str, Any] | None, generation: int) -> str:
    """Return the problem of an instance that should run a generation; "" if there is none.

    ``row`` is None if the instance's agent does not respond.
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
