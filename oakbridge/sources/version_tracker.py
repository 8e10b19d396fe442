"""Decide which version of the server files is used, and when.  No I/O.

The tracker handles the results of polls and validations and the application of versions, and
returns the actions to execute next.  At most one version is in use and at most one other is being
validated or applied.  Versions are applied as a whole, and the version in use stays until another
one replaces it.

    polled -> settling -> validating -> (rejected | pending approval | applying) -> in use -> saved

*Settling* guards against a half-written file that is valid by chance: two reads, ``settle_us``
apart, must be equal, or the file must match its checksum line.  If files keep changing for
``SHORT_SETTLE_AFTER_US``, the settle time is shortened, as otherwise a hundred rewrites a second
would keep every new version from use.
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
SHORT_SETTLE_AFTER_US = 500_000  # time without settled files after which settling is shortened
SHORT_SETTLE_DIVISOR = 8  # divides the settle time when it is shortened
CHECKSUM_TIMEOUT_US = 2_000_000  # time after which files with a wrong checksum are rejected
SAVE_BACKOFF_MIN_US = 1_000_000
SAVE_BACKOFF_MAX_US = 60_000_000
SHORT_DIGEST_LENGTH = 12  # digits of a digest in messages


@dataclass(frozen=True, slots=True)
class PendingApproval:
    """A valid list that loses too many servers at once; an operator has to accept it."""

    change: ListChange
    since_us: int


@dataclass(frozen=True, slots=True)
class RejectedFiles:
    """Files without a valid list."""

    digest: str
    problems: tuple[Problem, ...]
    since_us: int


@dataclass(frozen=True, slots=True)
class SettlingFiles:
    """Files that the last polls have read, and since when they are unchanged."""

    digest: str
    since_us: int


class VersionTracker:
    """The state machine.  Times are whole microseconds of one monotonic clock."""

    def __init__(
        self,
        settle_us: int = DEFAULT_SETTLE_US,
        max_lost_fraction: float = DEFAULT_MAX_LOST_FRACTION,
        saved: ListVersion | None = None,
    ) -> None:
        """Start with ``saved``, the saved version of an earlier run, in use; None: with none.

        A version that loses more than ``max_lost_fraction`` of the ready servers needs approval.
        """
        self._settle_us = settle_us
        self._max_lost_fraction = max_lost_fraction
        self.current = saved
        self.current_since_us = 0  # 0: the saved version of an earlier run
        self.pending_approval: PendingApproval | None = None
        self.rejected: RejectedFiles | None = None
        self.missing_reason = ""
        self.applying: ListVersion | None = None
        self._validating: ValidateFiles | None = None
        self._settling: SettlingFiles | None = None
        self._unsettled_since_us: int | None = None
        self._saving = False
        self.saved_number = saved.number if saved is not None else 0  # 0: there is no saved copy
        self.save_error = ""
        self._save_backoff_us = SAVE_BACKOFF_MIN_US

    # ---- polls

    def on_polled(self, now_us: int, found: FilesRead | FilesMissing) -> list[Action]:
        """Handle the result of a poll of the disk."""
        if isinstance(found, FilesMissing):
            return self._on_missing(found)
        self.missing_reason = ""
        if self.current is not None and found.digest == self.current.digest:
            self.pending_approval = self.rejected = None  # the files hold the version in use again
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
            consequence = "no version is in use"
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
        self._unsettled_since_us = None

    def _settle(self, now_us: int, found: FilesRead) -> list[Action]:
        """Request validation of the files once they have been unchanged for long enough."""
        if self._unsettled_since_us is None:
            self._unsettled_since_us = now_us
        if self._settling is None or self._settling.digest != found.digest:
            self._settling = SettlingFiles(found.digest, now_us)
        if self._validating is not None or self.applying is not None:
            return []  # a poll follows when the validation or application finishes
        needed_us = self._needed_settle_us(now_us - self._unsettled_since_us, found)
        unchanged_us = now_us - self._settling.since_us
        if unchanged_us < needed_us:
            return [PollAfter(min(needed_us - unchanged_us, self._settle_us))]
        self._stop_settling()
        self._validating = ValidateFiles(found.digest, self.current)
        return [self._validating]

    def _needed_settle_us(self, unsettled_us: int, found: FilesRead) -> int:
        if found.checksums_match is None:
            return self._settle_us // (
                SHORT_SETTLE_DIVISOR if unsettled_us > SHORT_SETTLE_AFTER_US else 1
            )
        # After the timeout, validation rejects the files with the reason.
        return 0 if found.checksums_match else CHECKSUM_TIMEOUT_US

    # ---- validation

    def on_validated(self, now_us: int, digest: str, result: ValidationResult) -> list[Action]:
        """Handle the result of a validation; None: the files could not be validated."""
        if self._validating is None or self._validating.digest != digest:
            return []
        self._validating = None
        if result is None:
            return [PollAfter(0)]
        if isinstance(result, list):
            return self._reject(now_us, digest, result)
        if result.base_number != self._current_number():
            return [PollAfter(0)]  # the base of the change is no longer the version in use
        self.rejected = None
        if self.current is not None and result.lost_fraction > self._max_lost_fraction:
            return self._hold_for_approval(now_us, result)
        return self._apply(result)

    def _current_number(self) -> int:
        return self.current.number if self.current is not None else 0

    def _reject(self, now_us: int, digest: str, problems: list[Problem]) -> list[Action]:
        self.pending_approval = None
        self.rejected = RejectedFiles(digest, tuple(problems), now_us)
        text = f"files rejected: error={problems[0]}"
        if len(problems) > 1:
            text += f" ({len(problems) - 1} more problems)"
        if self.current is not None:
            text += f"; version {self.current.number} stays in use"
        return [WriteLog(LogLevel.ERROR, text), PollAfter(0)]

    def _hold_for_approval(self, now_us: int, change: ListChange) -> list[Action]:
        self.pending_approval = PendingApproval(change, now_us)
        text = (
            f"version held for approval: lost_ready={change.lost_ready} "
            f"base_ready={change.base_ready} max_lost_fraction={self._max_lost_fraction:.0%}; "
            f"version {self._current_number()} stays in use until `oakbridge servers accept`"
        )
        return [WriteLog(LogLevel.ERROR, text), PollAfter(0)]

    # ---- applying

    def accept(self, digest_prefix: str = "") -> list[Action]:
        """Handle an operator's approval of the pending version.  Raises NotAcceptedError."""
        if self.pending_approval is None:
            raise NotAcceptedError("no version is held")
        change = self.pending_approval.change
        if not change.digest.startswith(digest_prefix):
            short_digest = change.digest[:SHORT_DIGEST_LENGTH]
            raise NotAcceptedError(
                f"the version that is held is {short_digest}, not {digest_prefix}"
            )
        if self.applying is not None or self._validating is not None:
            raise NotAcceptedError("another version is on its way; ask again in a moment")
        text = (
            f"version accepted by an operator: lost_ready={change.lost_ready} "
            f"base_ready={change.base_ready}; it is being applied"
        )
        return [WriteLog(LogLevel.WARNING, text), *self._apply(change)]

    def _apply(self, change: ListChange) -> list[Action]:
        self.pending_approval = None
        self.applying = ListVersion(self._current_number() + 1, change.digest, change.servers)
        return [ApplyVersion(self.applying, change)]

    def on_applied(self, now_us: int, number: int) -> list[Action]:
        """Handle that the version being applied is in use from now on."""
        if self.applying is None or self.applying.number != number:
            return []
        self.current = self.applying
        self.current_since_us = now_us
        self.applying = None
        text = f"version applied: number={number} ({len(self.current.servers)} servers)"
        return [WriteLog(LogLevel.INFO, text), *self._save(), PollAfter(0)]

    # ---- the saved copy

    def _save(self) -> list[Action]:
        """Save the version in use, one copy at a time; versions replaced meanwhile are skipped."""
        if self._saving or self.current is None or self.saved_number == self.current.number:
            return []
        self._saving = True
        return [SaveVersion(self.current)]

    def on_saved(self, number: int) -> list[Action]:
        """Handle that a copy of this version is saved."""
        self._saving = False
        self.saved_number = number
        self.save_error = ""
        self._save_backoff_us = SAVE_BACKOFF_MIN_US
        return self._save()

    def on_save_failed(self, number: int, error: str) -> list[Action]:
        """Handle a failed save: retry it with exponential backoff, and log each error once."""
        self._saving = False
        actions: list[Action] = []
        if error != self.save_error:
            text = f"saving a copy failed: version={number} error={error}; the previous copy stays"
            actions.append(WriteLog(LogLevel.ERROR, text))
        self.save_error = error
        actions.append(RetrySaveAfter(self._save_backoff_us))
        self._save_backoff_us = min(2 * self._save_backoff_us, SAVE_BACKOFF_MAX_US)
        return actions

    def on_save_retry(self) -> list[Action]:
        """Retry a failed save."""
        return self._save()
