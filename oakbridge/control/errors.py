"""The errors of the control socket."""

from __future__ import annotations

from pathlib import Path


class ControlError(Exception):
    """Base of all errors of the control socket."""


class ProtocolError(ControlError, ValueError):
    """A line is not a valid message of the protocol."""

    def __init__(self, expected: str, *, field: str | None = None, got: str | None = None) -> None:
        """``field``: the message's invalid field, None if the line as a whole is invalid."""
        self.expected = expected
        self.field = field
        self.got = got
        prefix = f"{field}: " if field is not None else ""
        suffix = f", got {got}" if got is not None else ""
        super().__init__(f"{prefix}expected {expected}{suffix}")


class RequestRejectedError(ControlError):
    """The node read the request and did not execute it."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class InvalidArgumentError(RequestRejectedError):
    """An argument of a request is missing or invalid."""

    def __init__(self, field: str, expected: str) -> None:
        self.field = field
        self.expected = expected
        super().__init__(f"{field}: expected {expected}")


class NodeUnreachableError(ControlError):
    """No node answers on a control socket."""

    def __init__(self, path: Path, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")


class SocketInUseError(ControlError, OSError):
    """Another node or another kind of file occupies the path of the control socket."""

    def __init__(self, path: Path, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")
