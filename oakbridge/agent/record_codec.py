"""Encode and decode what ``agent.db`` stores: JSON with names of its own, not the code's."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from oakbridge.agent.errors import StoreError
from oakbridge.agent.lease import FencingTokenRecord
from oakbridge.agent.records import (
    ChangeState,
    Generation,
    InstanceRecord,
    InstanceSpec,
    Step,
    StepOutcome,
    Verdict,
)


def encode_record(record: InstanceRecord) -> str:
    """Return an instance's record as it is stored."""
    fields = {
        "state": record.state.value,
        "current": _encode_generation(record.current),
        "previous": _encode_generation(record.previous),
        "step": None if record.step is None else _encode_step(record.step),
        "reason": record.rollback_reason,
        "outcomes": [encode_outcome(outcome) for outcome in record.outcomes],
    }
    return json.dumps(fields, sort_keys=True)


def decode_record(text: str) -> InstanceRecord:
    """Return the record that is stored as this text.

    Raises:
        StoreError: if it is no record.
    """
    try:
        fields: dict[str, Any] = json.loads(text)
        step = fields["step"]
        return InstanceRecord(
            state=ChangeState(fields["state"]),
            current=_decode_generation(fields["current"]),
            previous=_decode_generation(fields["previous"]),
            step=None if step is None else _decode_step(step),
            rollback_reason=fields["reason"],
            outcomes=tuple(_decode_outcome(outcome) for outcome in fields["outcomes"]),
        )
    except (ValueError, KeyError, TypeError) as e:
        raise StoreError("journal", f"a record that can't be read: {e}") from None


def encode_outcome(outcome: StepOutcome) -> list[str]:
    """Return a step's outcome as it is stored; status answers have it in the same form."""
    return [outcome.step_id, outcome.verdict.value, outcome.reason]


def _decode_outcome(fields: list[str]) -> StepOutcome:
    step_id, verdict, reason = fields
    return StepOutcome(step_id, Verdict(verdict), reason)


def _encode_generation(generation: Generation) -> dict[str, Any]:
    return {"number": generation.number, "digest": generation.digest}


def _decode_generation(fields: dict[str, Any]) -> Generation:
    _refuse_unknown(fields, {"number", "digest"})
    return Generation(fields["number"], fields["digest"])


def _encode_step(step: Step) -> dict[str, Any]:
    return {
        "id": step.step_id,
        "token": step.token,
        "target": _encode_generation(step.target),
        "base": step.base_generation,
        "watch": step.watch_us,
    }


def _decode_step(fields: dict[str, Any]) -> Step:
    _refuse_unknown(fields, {"id", "token", "target", "base", "watch"})
    return Step(
        step_id=fields["id"],
        token=fields["token"],
        target=_decode_generation(fields["target"]),
        base_generation=fields["base"],
        watch_us=fields["watch"],
    )


def encode_token_record(record: FencingTokenRecord) -> str:
    """Return a fencing token's record as it is stored."""
    return json.dumps(token_record_fields(record))


def token_record_fields(record: FencingTokenRecord) -> dict[str, Any]:
    """Return the fields of a fencing token's record; status answers have them in the same form."""
    return {
        "token": record.token,
        "holder": record.holder,
        "since": record.granted_at_s,
        "released": record.released,
    }


def decode_token_record(text: str) -> FencingTokenRecord:
    """Return the fencing token's record that is stored as this text.

    Raises:
        StoreError: if it is no such record.
    """
    try:
        fields = json.loads(text)
        _refuse_unknown(fields, {"token", "holder", "since", "released"})
        return FencingTokenRecord(
            token=fields["token"],
            holder=fields["holder"],
            granted_at_s=fields["since"],
            released=fields["released"],
        )
    except (ValueError, KeyError, TypeError) as e:
        raise StoreError("journal", f"a promise that can't be read: {e}") from None


def encode_spec(spec: InstanceSpec) -> str:
    """Return an instance's spec as it is stored."""
    fields: dict[str, Any] = {"listen": list(spec.listen), "control": str(spec.control)}
    if spec.member:
        fields["member"] = spec.member
    return json.dumps(fields)


def decode_spec(text: str) -> InstanceSpec:
    """Return the spec that is stored as this text.

    Raises:
        StoreError: if it is no spec.
    """
    try:
        fields = json.loads(text)
        return InstanceSpec(
            listen=tuple(fields["listen"]),
            control=Path(fields["control"]),
            member=fields.get("member", ""),
        )
    except (ValueError, KeyError, TypeError) as e:
        raise StoreError("journal", f"an instance that can't be read: {e}") from None


def _refuse_unknown(fields: dict[str, Any], known: set[str]) -> None:
    """Raise ValueError for a field that is not of this format: a newer program may need it."""
    if unknown := fields.keys() - known:
        raise ValueError(f"unknown field {min(unknown)!r}")
