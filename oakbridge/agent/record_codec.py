"""Encode and decode the records in ``agent.db``: JSON, whose keys do not depend on the code."""

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
    """Return the stored form of an instance's record."""
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
    """Return an instance's record from its stored form.

    Raises:
        StoreError: if the text is no such record.
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
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError("journal", f"expected the record of an instance: {error}") from None


def encode_outcome(outcome: StepOutcome) -> list[str]:
    """Return the stored form of a step's outcome; an agent's status has the same form."""
    return [outcome.step_id, outcome.verdict.value, outcome.reason]


def _decode_outcome(fields: list[str]) -> StepOutcome:
    step_id, verdict, reason = fields
    return StepOutcome(step_id, Verdict(verdict), reason)


def _encode_generation(generation: Generation) -> dict[str, Any]:
    return {"number": generation.number, "digest": generation.digest}


def _decode_generation(fields: dict[str, Any]) -> Generation:
    _reject_unknown(fields, {"number", "digest"})
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
    _reject_unknown(fields, {"id", "token", "target", "base", "watch"})
    return Step(
        step_id=fields["id"],
        token=fields["token"],
        target=_decode_generation(fields["target"]),
        base_generation=fields["base"],
        watch_us=fields["watch"],
    )


def encode_token_record(record: FencingTokenRecord) -> str:
    """Return the stored form of a fencing token's record."""
    return json.dumps(token_record_fields(record))


def token_record_fields(record: FencingTokenRecord) -> dict[str, Any]:
    """Return the fields of a fencing token's record; an agent's status has the same fields."""
    return {
        "token": record.token,
        "holder": record.holder,
        "since": record.granted_at_s,
        "released": record.released,
    }


def decode_token_record(text: str) -> FencingTokenRecord:
    """Return a fencing token's record from its stored form.

    Raises:
        StoreError: if the text is no such record.
    """
    try:
        fields = json.loads(text)
        _reject_unknown(fields, {"token", "holder", "since", "released"})
        return FencingTokenRecord(
            token=fields["token"],
            holder=fields["holder"],
            granted_at_s=fields["since"],
            released=fields["released"],
        )
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError("journal", f"expected the record of a fencing token: {error}") from None


def encode_spec(spec: InstanceSpec) -> str:
    """Return the stored form of an instance's spec."""
    fields: dict[str, Any] = {"listen": list(spec.listen), "control": str(spec.control)}
    if spec.member:
        fields["member"] = spec.member
    return json.dumps(fields)


def decode_spec(text: str) -> InstanceSpec:
    """Return an instance's spec from its stored form.

    Raises:
        StoreError: if the text is no spec.
    """
    try:
        fields = json.loads(text)
        return InstanceSpec(
            listen=tuple(fields["listen"]),
            control=Path(fields["control"]),
            member=fields.get("member", ""),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise StoreError("journal", f"expected the spec of an instance: {error}") from None


def _reject_unknown(fields: dict[str, Any], known: set[str]) -> None:
    """Raise ValueError for an unknown field, which a newer release may depend on."""
    if unknown := fields.keys() - known:
        raise ValueError(f"unknown field {min(unknown)!r}")
