"""What an agent's account of an instance says of a rollout's steps.  Pure."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from oakbridge.rollout.machine import InstanceOutcome

OUTCOMES = {
    "took it": InstanceOutcome.APPLIED,
    "did not": InstanceOutcome.NOT_APPLIED,
    "undone": InstanceOutcome.ROLLED_BACK,
}


def step_id(rollout: int, instance: str) -> str:
    """The same at every sending: an agent knows a step by it."""
    return f"r{rollout}-{instance}"


def rollback_step_id(rollout: int, instance: str) -> str:
    """Of the step that takes a rollout back."""
    return f"r{rollout}-back-{instance}"


def step_result(row: Mapping[str, Any] | None, step: str) -> tuple[InstanceOutcome, str] | None:
    """How a step ended, if the agent says so."""
    for name, verdict, reason in row["outcomes"] if row is not None else ():
        if name == step:
            return OUTCOMES[verdict], reason
    return None


def resolved_result(
    row: Mapping[str, Any] | None, step: str, promised: int, token: int
) -> tuple[InstanceOutcome, str] | None:
    """How a step ended that is sent no more; None while that is open.

    ``promised`` is the highest token that the agent has promised and ``token`` ours: once ours is promised, a step of
    an earlier token that has not begun never will.
    """
    if row is None or (known := step_result(row, step)) is not None:
        return None if row is None else known
    under_way = row["step"] is not None and row["step"]["id"] == step
    if under_way or promised < token:
        return None
    return InstanceOutcome.NOT_APPLIED, "its step had not come, and is refused from now on"
