"""Errors of the protocol between the two processes of a node."""

from __future__ import annotations


class HandoverMessageError(ValueError):
    """The other process sent a packet or a message that is invalid.

    Attributes:
        expected: What was expected, in words.
        field: The wrong field, as ``kind.field``; empty if the message as a whole is invalid.
        received: The received value, as a shortened ``repr``; empty if it would not help.
    """

    def __init__(self, expected: str, *, field: str = "", received: str = "") -> None:
        self.expected = expected
        self.field = field
        self.received = received
        super().__init__(expected, field, received)

    def __str__(self) -> str:
        """Return the field, the expected and the received value on one line."""
        where = f"{self.field}: " if self.field else ""
        instead = f", got {self.received}" if self.received else ""
        return f"{where}expected {self.expected}{instead}"
