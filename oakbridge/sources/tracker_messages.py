"""What the version tracker is told of the disk, and the actions that it answers with."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from oakbridge.sources.list_version import ListChange, ListVersion
from oakbridge.sources.problem import Problem

# ---- events


@dataclass(frozen=True, slots=True)
class FilesRead:
    """The disk was polled and its files read."""

    digest: str  # stands for all bytes of all files, with their names
    checksums_match: bool | None = None  # None where a file has no checksum line


@dataclass(frozen=True, slots=True)
class FilesMissing:
    """The disk was polled and there was nothing that could be read."""

    reason: str


ValidationResult = ListChange | list[Problem] | None  # None: the files read are no longer at hand


# ---- actions


class LogLevel(IntEnum):
    """The severity of a log line, as the logging module counts it."""

    INFO = 20
    WARNING = 30
    ERROR = 40


@dataclass(frozen=True, slots=True)
class PollAfter:
    """Poll the disk after a delay, whether or not a change is notified."""

    delay_us: int


@dataclass(frozen=True, slots=True)
class ValidateFiles:
    """Parse the files read with this digest and compare them with the version in use."""

    digest: str
    base: ListVersion | None


@dataclass(frozen=True, slots=True)
class ApplyVersion:
    """Take a version into use, whole and at one moment; then report it by ``on_applied``."""

    version: ListVersion
    change: ListChange


@dataclass(frozen=True, slots=True)
class SaveVersion:
    """Save a copy that outlives the process; then call ``on_saved`` or ``on_save_failed``."""

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
