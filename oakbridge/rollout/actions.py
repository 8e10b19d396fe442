"""Actions that the state machine of a rollout returns and the coordinator carries out."""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import Phase, RolloutRecord


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the record to the journal before any of the actions that follow it."""

    record: RolloutRecord


@dataclass(frozen=True, slots=True)
class SendStep:
    """Send this instance its step; the step may have been sent before.

    The coordinator answers with ``on_step_ended`` or ``on_outcome_unknown``.
    """

    target: Target


@dataclass(frozen=True, slots=True)
class RollBack:
    """Return this instance to the generation that it ran before the rollout.

    The coordinator answers with ``on_rolled_back`` or ``on_outcome_unknown``.
    """

    target: Target


@dataclass(frozen=True, slots=True)
class ResolveStep:
    """Find out how the step of this instance ended, without sending the step.

    The coordinator answers with ``on_step_ended`` or ``on_outcome_unknown``.
    """

    target: Target


@dataclass(frozen=True, slots=True)
class EvaluateGate:
    """Compare the changed instances with the unchanged ones over a window.

    The coordinator answers with ``on_gate_result``.
    """

    changed: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Finish:
    """Stop carrying out the rollout, which is in this phase."""

    phase: Phase


Action = Persist | SendStep | RollBack | ResolveStep | EvaluateGate | Finish
