"""What can go wrong on the control socket."""

from __future__ import annotations

from pathlib import Path


class ControlError(Exception):
    """Base of all errors of the control socket."""


class ProtocolError(ControlError, ValueError):
    """A line that the protocol does not allow."""

    def __init__(self, expected: str, *, field: str | None = None, got: str | None = None) -> None:
        """``field``: the field of the message that is wrong, None for the line as a whole."""
        self.expected = expected
        self.field = field
        self.got = got
        place = f"{field}: " if field is not None else ""
        found = f", got {got}" if got is not None else ""
        super().__init__(f"{place}expected {expected}{found}")


class RequestRejectedError(ControlError):
    """The node understood the request and does not carry it out."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class InvalidArgumentError(RequestRejectedError):
    """An argument of a request is missing, or is not what its command takes."""

    def __init__(self, field: str, expected: str) -> None:
        self.field = field
        self.expected = expected
        super().__init__(f"{field}: expected {expected}")


class NodeUnreachableError(ControlError):
    """No node answers at a socket."""

    def __init__(self, path: Path, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")


class SocketInUseError(ControlError, OSError):
    """The path of the control socket is taken by another node or by another kind of file."""

    def __init__(self, path: Path, reason: str) -> None:
        self.path = path
        self.reason = reason
        super().__init__(f"{path}: {reason}")
