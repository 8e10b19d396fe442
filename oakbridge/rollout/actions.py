"""What the state machine of a rollout asks the coordinator to do."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import Phase, RolloutRecord


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the record to disk before any of the actions that follow."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class SendStep:
    """Send the step to this instance, perhaps again.

    ``on_step_ended`` or ``on_outcome_unknown`` follows.
    """

    target: Target


@dataclass(frozen=True, slots=True)
class RollBack:
    """Have this instance run what it ran before.

    ``on_rolled_back`` or ``on_outcome_unknown`` follows.
    """

    target: Target


@dataclass(frozen=True, slots=True)
class ResolveStep:
    """Find out how the step of this instance ended, without sending it.

    ``on_step_ended`` or ``on_outcome_unknown`` follows.
    """

    target: Target


@dataclass(frozen=True, slots=True)
class EvaluateGate:
    """Compare the changed instances with the unchanged ones over a window.

    ``on_gate_result`` follows.
    """

    changed: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """End the rollout, or leave it halted, in this phase."""

    phase: Phase


Action = Persist | SendStep | RollBack | ResolveStep | EvaluateGate | Finish
