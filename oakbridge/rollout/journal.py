"""The operator's journal of rollouts, an SQLite file from which a killed tool resumes.

The agents' reports are authoritative, not the journal.  If the journal is lost, so is the history
of its rollouts, and a rollout in progress cannot be resumed; a new rollout starts from what the
agents run.

The columns and the JSON keys keep their first names; column ``files`` holds a change of any kind.
"""

from __future__ import annotations

import json
import sqlite3
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

from oakbridge.rollout.change import Change, decode_change, encode_change
from oakbridge.rollout.record import RolloutRecord, decode_record, encode_record

FORMAT = 1
BUSY_TIMEOUT_S = 10.0  # how long a statement waits for another process that writes
_COLUMNS = "id INTEGER PRIMARY KEY, operator, began REAL, changed REAL, why, files, record"


class JournalError(Exception):
    """The journal cannot be used.  ``place`` is the file or rollout that is invalid, or ""."""

    def __init__(self, problem: str, place: str = "") -> None:
        super().__init__(f"{place}: {problem}" if place else problem)
        self.problem, self.place = problem, place


class JournalUnavailableError(JournalError):
    """A transient error of the disk; a retry of the same call may succeed."""


class UnknownRolloutError(JournalError):
    """The journal has no rollout with this number."""

    def __init__(self, rollout: int) -> None:
        super().__init__(f"there is no rollout {rollout}")
        self.rollout = rollout


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """One rollout in the journal."""

    id: int  # the fencing token under which it started, and the generation that it rolls out
    operator: str
    started_unix_s: float
    updated_unix_s: float
    why: str
    change: Change
    record: RolloutRecord


class Journal:
    """The file ``journal.db`` of a fleet's folder; ``with`` closes it."""

    def __init__(self, folder: Path) -> None:
        """Open or create the file.  Raise :class:`JournalError` if it has another format."""
        path = self._path = folder / "journal.db"
        try:
            self._db = sqlite3.connect(path, isolation_level=None, timeout=BUSY_TIMEOUT_S)
        except sqlite3.DatabaseError as error:
            raise JournalError(str(error), str(path)) from None
        try:
            self._prepare(path)
        except BaseException:
            self._db.close()
            raise

    def _prepare(self, path: Path) -> None:
        try:
            self._db.execute("PRAGMA journal_mode = WAL")
            self._db.execute("PRAGMA synchronous = FULL")
            version = self._db.execute("PRAGMA user_version").fetchone()[0]
            if version not in (0, FORMAT):
                raise JournalError(f"expected format {FORMAT}, got {version}", str(path))
            self._db.execute(f"CREATE TABLE IF NOT EXISTS rollouts ({_COLUMNS})")
            self._db.execute(f"PRAGMA user_version = {FORMAT}")
        except sqlite3.DatabaseError as error:
            raise JournalError(str(error), str(path)) from None

    def __enter__(self) -> Self:
        """Return the journal itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the file."""
        self.close()

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    def add(self, entry: JournalEntry) -> None:
        """Write a new rollout.  Raise :class:`JournalUnavailableError` if the disk fails."""
        row = (
            entry.id,
            entry.operator,
            entry.started_unix_s,
            entry.updated_unix_s,
            entry.why,
            json.dumps(encode_change(entry.change)),
            encode_record(entry.record),
        )
        self._execute("INSERT INTO rollouts VALUES (?, ?, ?, ?, ?, ?, ?)", row)

    def update(self, rollout: int, record: RolloutRecord) -> None:
        """Replace the record of a rollout.

        Raise :class:`JournalUnavailableError` if the disk fails.
        """
        row = encode_record(record), time.time(), rollout
        self._execute("UPDATE rollouts SET record = ?, changed = ? WHERE id = ?", row)

    def entries(self, limit: int = 20) -> list[JournalEntry]:
        """Return at most ``limit`` rollouts, newest first.

        Raise :class:`JournalError` if one of them is not valid or the disk fails.
        """
        rows = self._execute("SELECT * FROM rollouts ORDER BY id DESC LIMIT ?", (limit,))
        return [_entry(row) for row in rows]

    def entry(self, rollout: int) -> JournalEntry:
        """Return one rollout.

        Raise :class:`UnknownRolloutError` if it is missing, and :class:`JournalError` if it is not
        valid or the disk fails.
        """
        rows = self._execute("SELECT * FROM rollouts WHERE id = ?", (rollout,))
        if not rows:
            raise UnknownRolloutError(rollout)
        return _entry(rows[0])

    def _execute(self, statement: str, values: tuple[Any, ...]) -> list[Any]:
        """Execute one statement as a transaction of its own; return its rows.

        Raises JournalUnavailableError if the disk fails; nothing was written then.
        """
        try:
            return self._db.execute(statement, values).fetchall()
        except sqlite3.OperationalError as error:
            raise JournalUnavailableError(str(error), str(self._path)) from None


def _entry(row: tuple[Any, ...]) -> JournalEntry:
    rollout, operator, started_unix_s, updated_unix_s, why, change, record = row
    try:
        return JournalEntry(
            id=rollout,
            operator=operator,
            started_unix_s=started_unix_s,
            updated_unix_s=updated_unix_s,
            why=why,
            change=decode_change(json.loads(change)),
            record=decode_record(record),
        )
    except ValueError as error:
        raise JournalError(str(error), f"rollout {rollout}") from None
