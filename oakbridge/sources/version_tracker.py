"""Decide which version of the server files is used, and when; no I/O.

The tracker is told what a poll of the disk found, how a validation ended and when a version is in
use; it answers with the actions to carry out next.  There is at most one version in use and one on
its way; a version is used as a whole or not at all, and the last good one stays until another one
has replaced it.

    polled -> settling -> validating -> (rejected | pending approval | applying) -> in use -> saved

*Settling* guards against a file caught half written that reads well by chance: it must read the
same twice, ``settle_us`` apart, or state its own checksum.  Where a file never stands still for so
long, the wait shrinks, so that a hundred rewrites a second can't keep every new version out.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.sources.errors import NotAcceptedError
from oakbridge.sources.list_version import ListChange, ListVersion
from oakbridge.sources.problem import Problem
from oakbridge.sources.tracker_messages import (
    Action,
    ApplyVersion,
    FilesMissing,
    FilesRead,
    LogLevel,
    PollAfter,
    RetrySaveAfter,
    SaveVersion,
    ValidateFiles,
    ValidationResult,
    WriteLog,
)

DEFAULT_SETTLE_US = 30_000
DEFAULT_MAX_LOST_FRACTION = 0.5
BUSY_AFTER_US = 500_000  # files that have not stood still for so long are waited for less
BUSY_SETTLE_DIVISOR = 8  # by how much less
CHECKSUM_TIMEOUT_US = 2_000_000  # files whose checksum has not matched for so long are rejected
SAVE_BACKOFF_MIN_US = 1_000_000
SAVE_BACKOFF_MAX_US = 60_000_000
SHORT_DIGEST_LENGTH = 12


@dataclass(frozen=True, slots=True)
class PendingApproval:
    """A valid list that takes too many servers away at once, until an operator accepts it."""

    change: ListChange
    since_us: int


@dataclass(frozen=True, slots=True)
class RejectedFiles:
    """Files that hold no valid list."""

    digest: str
    problems: tuple[Problem, ...]
    since_us: int


@dataclass(frozen=True, slots=True)
class SettlingFiles:
    """What the last polls read, and since when it has been the same."""

    digest: str
    since_us: int


class VersionTracker:
    """The state machine.  Times are whole microseconds on one clock that only moves forward."""

    def __init__(
        self,
        settle_us: int = DEFAULT_SETTLE_US,
        max_lost_fraction: float = DEFAULT_MAX_LOST_FRACTION,
        saved: ListVersion | None = None,
    ) -> None:
        """Begin with ``saved``, the last good version of an earlier run, in use."""
        self._settle_us = settle_us
        self._max_lost_fraction = max_lost_fraction
        self.current = saved
        self.current_since_us = 0  # 0: the saved version, from before this run
        self.pending_approval: PendingApproval | None = None
        self.rejected: RejectedFiles | None = None
        self.missing_reason = ""
        self.applying: ListVersion | None = None
        self._validating: ValidateFiles | None = None
        self._settling: SettlingFiles | None = None
        self._busy_since_us: int | None = None
        self._saving = False
        self.saved_number = saved.number if saved is not None else 0  # 0: there is no saved copy
        self.save_error = ""
        self._save_backoff_us = SAVE_BACKOFF_MIN_US

    # ---- what a poll found

    def on_polled(self, now_us: int, found: FilesRead | FilesMissing) -> list[Action]:
        """Take the result of a poll of the disk."""
        if isinstance(found, FilesMissing):
            return self._on_missing(found)
        self.missing_reason = ""
        if self.current is not None and found.digest == self.current.digest:
            self.pending_approval = self.rejected = None  # the files are what they were
            self._stop_settling()
            return []
        if found.digest in self._decided_digests():
            self._stop_settling()
            return []
        return self._settle(now_us, found)

    def _on_missing(self, found: FilesMissing) -> list[Action]:
        self._stop_settling()
        if found.reason == self.missing_reason:
            return []
        self.missing_reason = found.reason
        if self.current is not None:
            consequence = f"version {self.current.number} stays in use"
        else:
            consequence = "there is no other version"
        return [WriteLog(LogLevel.WARNING, f"{found.reason}; {consequence}")]

    def _decided_digests(self) -> list[str]:
        digests = []
        if self.pending_approval is not None:
            digests.append(self.pending_approval.change.digest)
        if self.rejected is not None:
            digests.append(self.rejected.digest)
        return digests

    def _stop_settling(self) -> None:
        self._settling = None
        self._busy_since_us = None

    def _settle(self, now_us: int, found: FilesRead) -> list[Action]:
        """Wait until the files have stood still for long enough, then have them validated."""
        if self._busy_since_us is None:
            self._busy_since_us = now_us
        if self._settling is None or self._settling.digest != found.digest:
            self._settling = SettlingFiles(found.digest, now_us)
        if self._validating is not None or self.applying is not None:
            return []  # its end brings a poll
        needed_us = self._needed_settle_us(now_us - self._busy_since_us, found)
        stood_us = now_us - self._settling.since_us
        if stood_us < needed_us:
            return [PollAfter(min(needed_us - stood_us, self._settle_us))]
        self._stop_settling()
        self._validating = ValidateFiles(found.digest, self.current)
        return [self._validating]

    def _needed_settle_us(self, busy_us: int, found: FilesRead) -> int:
        if found.checksums_match is None:
            return self._settle_us // (BUSY_SETTLE_DIVISOR if busy_us > BUSY_AFTER_US else 1)
        # After the time-out, validation says what is wrong with the files.
        return 0 if found.checksums_match else CHECKSUM_TIMEOUT_US

    # ---- how a validation ended

    def on_validated(self, now_us: int, digest: str, result: ValidationResult) -> list[Action]:
        """Take the end of a validation: a change, the mistakes, or None if it was not made."""
        if self._validating is None or self._validating.digest != digest:
            return []
        self._validating = None
        if result is None:
            return [PollAfter(0)]
        if isinstance(result, list):
            return self._reject(now_us, digest, result)
        if result.base_number != self._current_number():
            return [PollAfter(0)]  # compared with a version that is no longer the one in use
        self.rejected = None
        if self.current is not None and result.lost_fraction > self._max_lost_fraction:
            return self._ask_approval(now_us, result)
        return self._apply(result)

    def _current_number(self) -> int:
        return self.current.number if self.current is not None else 0

    def _reject(self, now_us: int, digest: str, problems: list[Problem]) -> list[Action]:
        self.pending_approval = None
        self.rejected = RejectedFiles(digest, tuple(problems), now_us)
        text = f"not used: {problems[0]}"
        if len(problems) > 1:
            text += f" (and {len(problems) - 1} more)"
        if self.current is not None:
            text += f"; version {self.current.number} stays in use"
        return [WriteLog(LogLevel.ERROR, text), PollAfter(0)]

    def _ask_approval(self, now_us: int, change: ListChange) -> list[Action]:
        self.pending_approval = PendingApproval(change, now_us)
        text = (
            f"held: it takes {change.lost_ready} of {change.base_ready} ready servers away at once "
            f"(the most is {self._max_lost_fraction:.0%}); "
            f"version {self._current_number()} stays until `oakbridge servers accept`"
        )
        return [WriteLog(LogLevel.ERROR, text), PollAfter(0)]

    # ---- taking into use

    def accept(self, digest_prefix: str = "") -> list[Action]:
        """Take an operator's approval of the pending version.  Raises NotAcceptedError."""
        if self.pending_approval is None:
            raise NotAcceptedError("no version is held")
        change = self.pending_approval.change
        if not change.digest.startswith(digest_prefix):
            held = change.digest[:SHORT_DIGEST_LENGTH]
            raise NotAcceptedError(f"the version that is held is {held}, not {digest_prefix}")
        if self.applying is not None or self._validating is not None:
            raise NotAcceptedError("another version is on its way; ask again in a moment")
        text = f"accepted by word: {change.lost_ready} of {change.base_ready} ready servers go"
        return [WriteLog(LogLevel.WARNING, text), *self._apply(change)]

    def _apply(self, change: ListChange) -> list[Action]:
        self.pending_approval = None
        self.applying = ListVersion(self._current_number() + 1, change.digest, change.servers)
        return [ApplyVersion(self.applying, change)]

    def on_applied(self, now_us: int, number: int) -> list[Action]:
        """Note that the version which was on its way is in use from this moment."""
        if self.applying is None or self.applying.number != number:
            return []
        self.current = self.applying
        self.current_since_us = now_us
        self.applying = None
        text = f"version {number} is in use: {len(self.current.servers)} servers"
        return [WriteLog(LogLevel.INFO, text), *self._save(), PollAfter(0)]

    # ---- the saved copy

    def _save(self) -> list[Action]:
        """Save one copy at a time, of the newest version: not each of a hundred a second."""
        if self._saving or self.current is None or self.saved_number == self.current.number:
            return []
        self._saving = True
        return [SaveVersion(self.current)]

    def on_saved(self, number: int) -> list[Action]:
        """Note that a copy of this version is saved."""
        self._saving = False
        self.saved_number = number
        self.save_error = ""
        self._save_backoff_us = SAVE_BACKOFF_MIN_US
        return self._save()

    def on_save_failed(self, number: int, error: str) -> list[Action]:
        """Note that no copy was saved; retry with exponential backoff and log each error once."""
        self._saving = False
        actions: list[Action] = []
        if error != self.save_error:
            text = f"no copy of version {number} was kept: {error}; the one before it still is"
            actions.append(WriteLog(LogLevel.ERROR, text))
        self.save_error = error
        actions.append(RetrySaveAfter(self._save_backoff_us))
        self._save_backoff_us = min(2 * self._save_backoff_us, SAVE_BACKOFF_MAX_US)
        return actions

    def on_save_retry(self) -> list[Action]:
        """Try again to save a copy."""
        return self._save()
