"""The errors of the fleet's protocol, connections and files."""

from __future__ import annotations


class FleetError(Exception):
    """The base class of the fleet's errors."""


class FleetMessageError(FleetError, ValueError):
    """A message or certificate violates the protocol; an agent's response has this text."""

    def __init__(self, field: str, expected: str) -> None:
        """Name the field, what was expected of it, and what it has instead."""
        super().__init__(f"{field}: expected {expected}")
        self.field = field
        self.expected = expected


class CallError(FleetError):
    """An agent did not respond; it may have carried out the request or not."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class InventoryError(FleetError, ValueError):
    """``fleet.toml`` is invalid or can't be read."""

    def __init__(self, problems: list[str]) -> None:
        """``problems`` has one line for each problem."""
        super().__init__("\n".join(problems))
        self.problems = problems


class PkiError(FleetError):
    """A certificate or key can't be created or read."""
