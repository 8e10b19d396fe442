"""The record of one rollout, from which another process of the tool can resume it.

The operator's journal stores the record as JSON.  The stored keys and values differ from the names
in this module; only :func:`encode_record` and :func:`decode_record` map them.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from oakbridge.rollout.plan import Target, Wave


class RecordError(ValueError):
    """A stored record cannot be decoded; ``problem`` is the reason."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"a record that can't be read: {problem}")
        self.problem = problem


class Phase(Enum):
    """The phase of a rollout; the values are stored in the journal and shown to operators."""

    RUNNING = "running"
    GATING = "gating"
    HALTED = "halted"
    ROLLING_BACK = "undoing"
    ROLLED_BACK = "undone"
    DONE = "done"


class InstanceOutcome(Enum):
    """The outcome for one instance; the values are stored in the journal and shown to operators."""

    NOT_REACHED = "not reached"
    IN_PROGRESS = "under way"
    APPLIED = "took it"
    NOT_APPLIED = "did not"
    ROLLED_BACK = "undone"
    UNKNOWN = "unknown"


FINAL_OUTCOMES = frozenset(
    {
        InstanceOutcome.APPLIED,
        InstanceOutcome.NOT_APPLIED,
        InstanceOutcome.ROLLED_BACK,
    }
)
# Outcomes that count against the limit of unavailable instances.
UNAVAILABLE_OUTCOMES = frozenset({InstanceOutcome.IN_PROGRESS, InstanceOutcome.UNKNOWN})


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The outcome of a rollout for one instance, and the reason for it."""

    outcome: InstanceOutcome = InstanceOutcome.NOT_REACHED
    reason: str = ""
    last_response_unix_s: float = 0.0  # the last one of an unknown instance's agent


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The state of a rollout, from which it is resumed after the tool was killed."""

    waves: tuple[Wave, ...]
    max_unavailable: int
    auto_rollback: bool  # whether a halt rolls back the changed instances
    phase: Phase = Phase.RUNNING
    wave_index: int = 0
    statuses: tuple[tuple[str, InstanceStatus], ...] = ()
    reason: str = ""


def encode_record(record: RolloutRecord) -> str:
    """Return the JSON text that the journal stores."""
    return json.dumps(
        {
            "waves": [[_encode_target(target) for target in wave] for wave in record.waves],
            "unavailable": record.max_unavailable,
            "undo": record.auto_rollback,
            "stage": record.phase.value,
            "wave": record.wave_index,
            "rows": [[name, *_encode_status(status)] for name, status in record.statuses],
            "reason": record.reason,
        }
    )


def decode_record(text: str) -> RolloutRecord:
    """Return the record of a stored JSON text.  Raise :class:`RecordError` if it is invalid."""
    try:
        raw: dict[str, Any] = json.loads(text)
        return RolloutRecord(
            waves=tuple(tuple(_decode_target(target) for target in wave) for wave in raw["waves"]),
            max_unavailable=raw["unavailable"],
            auto_rollback=raw["undo"],
            phase=Phase(raw["stage"]),
            wave_index=raw["wave"],
            statuses=tuple((name, _decode_status(status)) for name, *status in raw["rows"]),
            reason=raw["reason"],
        )
    except (ValueError, KeyError, TypeError) as error:
        raise RecordError(str(error)) from None


def _encode_target(target: Target) -> list[Any]:
    return [target.agent, target.instance, target.zone, target.base_generation, target.is_drained]


def _decode_target(raw: Sequence[Any]) -> Target:
    agent, instance, *rest = raw
    return Target(agent, instance, *rest)


def _encode_status(status: InstanceStatus) -> list[Any]:
    return [status.outcome.value, status.reason, status.last_response_unix_s]


def _decode_status(raw: Sequence[Any]) -> InstanceStatus:
    outcome, reason, last_response_unix_s = raw
    return InstanceStatus(InstanceOutcome(outcome), reason, last_response_unix_s)
