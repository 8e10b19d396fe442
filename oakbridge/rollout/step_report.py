"""Reads the results of a rollout's steps from agents' reports on instances.  Pure.

The verdicts and the step ids are part of the protocol, and agents store them.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from oakbridge.rollout.record import InstanceOutcome

Report = Mapping[str, Any]  # one instance in the response of its agent

OUTCOME_OF_VERDICT = {
    "took it": InstanceOutcome.APPLIED,
    "did not": InstanceOutcome.NOT_APPLIED,
    "undone": InstanceOutcome.ROLLED_BACK,
}
_STEP_ID = re.compile(r"r(\d+)-(back-)?(.+)")


@dataclass(frozen=True, slots=True)
class StepResult:
    """How a step ended, and the reason."""

    outcome: InstanceOutcome
    reason: str


@dataclass(frozen=True, slots=True)
class StepOrigin:
    """The rollout to which a step belongs, and whether the step rolls it back."""

    rollout: int
    is_rollback: bool


def step_id(rollout: int, instance: str) -> str:
    """Return the id of a rollout's step, by which an agent recognizes a repeated send."""
    return f"r{rollout}-{instance}"


def rollback_step_id(rollout: int, instance: str) -> str:
    """Return the id of the step that returns an instance to its generation before a rollout."""
    return f"r{rollout}-back-{instance}"


def step_origin(step: str) -> StepOrigin | None:
    """Return the origin of a step id, or None for an id of another form."""
    match = _STEP_ID.fullmatch(step)
    return None if match is None else StepOrigin(int(match[1]), bool(match[2]))


def step_result(report: Report | None, step: str) -> StepResult | None:
    """Return how a step ended, or None if the report has no result of it."""
    for ended_step, verdict, reason in report["outcomes"] if report is not None else ():
        if ended_step == step:
            return StepResult(OUTCOME_OF_VERDICT[verdict], reason)
    return None


def resolved_result(
    report: Report | None, step: str, *, promised_token: int, own_token: int
) -> StepResult | None:
    """Return how a step ended that is no longer sent, or None while the result is open.

    ``promised_token`` is the highest fencing token that the agent has promised.  If it is at least
    ``own_token``, the agent refuses steps under earlier tokens, so that a step that has not begun
    never begins.
    """
    if report is None:
        return None
    if (result := step_result(report, step)) is not None:
        return result
    in_progress = report["step"] is not None and report["step"]["id"] == step
    if in_progress or promised_token < own_token:
        return None
    reason = "its step had not come, and is refused from now on"
    return StepResult(InstanceOutcome.NOT_APPLIED, reason)
