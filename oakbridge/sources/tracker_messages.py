"""The events that the version tracker handles, and the actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from oakbridge.sources.list_version import ListChange, ListVersion
from oakbridge.sources.problem import Problem

# ---- events


@dataclass(frozen=True, slots=True)
class FilesRead:
    """A poll has read the files."""

    digest: str  # digest of the names and bytes of all files
    checksums_match: bool | None = None  # None if a file has no checksum line


@dataclass(frozen=True, slots=True)
class FilesMissing:
    """A poll has found no files that can be read."""

    reason: str


# None: the poller has read other files since and no longer keeps these.
ValidationResult = ListChange | list[Problem] | None


# ---- actions


class LogLevel(IntEnum):
    """The severity of a log line, with the values of the logging module."""

    INFO = 20
    WARNING = 30
    ERROR = 40


@dataclass(frozen=True, slots=True)
class PollAfter:
    """Poll the disk after a delay, even if inotify reports no change."""

    delay_us: int


@dataclass(frozen=True, slots=True)
class ValidateFiles:
    """Parse the files read with this digest and compare them with the version in use."""

    digest: str
    base: ListVersion | None


@dataclass(frozen=True, slots=True)
class ApplyVersion:
    """Apply a complete version at once; then call ``on_applied``."""

    version: ListVersion
    change: ListChange


@dataclass(frozen=True, slots=True)
class SaveVersion:
    """Save a copy for the next start; then call ``on_saved`` or ``on_save_failed``."""

    version: ListVersion


@dataclass(frozen=True, slots=True)
class RetrySaveAfter:
    """Call ``on_save_retry`` after a delay."""

    delay_us: int


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the log."""

    level: LogLevel
    text: str


Action = PollAfter | ValidateFiles | ApplyVersion | SaveVersion | RetrySaveAfter | WriteLog
