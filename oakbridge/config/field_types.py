"""Types of fields in configuration files: durations, addresses, numbers, names and tables."""

from __future__ import annotations

import math
import re
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field

from oakbridge.node.address import parse_address
from oakbridge.node.errors import ConfigError

_UNITS_US = {
    "us": 1,
    "ms": 1_000,
    "s": 1_000_000,
    "m": 60_000_000,
    "h": 3_600_000_000,
}
_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(us|ms|s|m|h)")
MAX_DURATION_US = 24 * _UNITS_US["h"]


def parse_duration_us(value: object) -> int:
    """Return a text such as ``"2.5s"`` or ``"250ms"`` in whole microseconds.  Raises ValueError."""
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f'expected a time such as "250ms" or "2.5s", got {value!r:.60}')
    duration_us = round(float(match[1]) * _UNITS_US[match[2]])
    if duration_us > MAX_DURATION_US:
        raise ValueError(f'expected a time of at most "24h", got {value!r:.60}')
    return duration_us


def _parse_positive_duration_us(value: object) -> int:
    duration_us = parse_duration_us(value)
    if duration_us <= 0:
        raise ValueError(f"expected a time above 0, got {value!r:.60}")
    return duration_us


def _parse_address(value: object) -> tuple[str, int]:
    try:
        return parse_address(value)
    except ConfigError as error:
        raise ValueError(str(error)) from None


def _require_finite(value: object) -> object:
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"expected a finite number, got {value!r}")
    return value


# The reference page shows the ``kind`` in ``json_schema_extra``.  Durations are in microseconds.
Duration = Annotated[
    int,
    BeforeValidator(parse_duration_us),
    Field(json_schema_extra={"kind": "time"}),
]
PositiveDuration = Annotated[
    int,
    BeforeValidator(_parse_positive_duration_us),
    Field(json_schema_extra={"kind": "time above 0"}),
]
Address = Annotated[
    tuple[str, int],
    BeforeValidator(_parse_address),
    Field(json_schema_extra={"kind": "IPv4:port"}),
]
Number = Annotated[float, BeforeValidator(_require_finite)]
Name = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[\x21-\x7e]+$")]


class Table(BaseModel):
    """A table of a configuration file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)
