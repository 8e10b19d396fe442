"""Errors of reading server files."""

from __future__ import annotations

from pathlib import Path


class ServerFileError(Exception):
    """A server file that can't be used; the base of this package's errors."""


class ReadError(ServerFileError):
    """Nothing at ``path`` can be read; ``reason`` says what was found or expected."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class DecodeError(ServerFileError):
    """A file that can't be decoded.

    ``expected`` says what was expected, ``line`` where the text stops making sense, if known.
    """

    def __init__(self, expected: str, line: int | None = None) -> None:
        super().__init__(expected)
        self.expected = expected
        self.line = line


class NotAcceptedError(ServerFileError, ValueError):
    """An operator's approval that can't be carried out; ``reason`` says why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
