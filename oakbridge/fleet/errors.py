"""The errors that the fleet's protocol, connections and files raise."""

from __future__ import annotations


class FleetError(Exception):
    """The base of the fleet's errors."""


class FleetMessageError(FleetError, ValueError):
    """A message or certificate that the protocol does not allow."""

    def __init__(self, field: str, expected: str) -> None:
        """Name the field, what was expected of it, and what there was."""
        super().__init__(f"{field}: expected {expected}")
        self.field = field
        self.expected = expected


class CallError(FleetError):
    """An agent gave no answer; what it was asked may or may not have been done."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class InventoryError(FleetError, ValueError):
    """``fleet.toml`` can't be used."""

    def __init__(self, problems: list[str]) -> None:
        """``problems``: one line for each mistake."""
        super().__init__("\n".join(problems))
        self.problems = problems


class PkiError(FleetError):
    """A certificate or key can't be made or used."""
