"""Errors of reading server files."""

from __future__ import annotations

from pathlib import Path


class ServerFileError(Exception):
    """A server file that can't be used; the base of this package's errors."""


class ReadError(ServerFileError):
    """The file or directory ``path`` can't be read; ``reason`` says why."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DecodeError(ServerFileError):
    """A file that can't be decoded.

    ``expected`` says what was expected, ``line`` is the line of the mistake, if known.
    """

    def __init__(self, expected: str, line: int | None = None) -> None:
        super().__init__(expected)
        self.expected = expected
        self.line = line


class NotAcceptedError(ServerFileError, ValueError):
    """An operator's approval of a version can't be executed; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
