"""The operator's journal of rollouts: SQLite, one transaction a step; what a killed tool had begun is read back.

It is a memory and not the truth: that is what the agents say.  A journal that is lost costs its rollouts their
history and a half-done one its ``resume``; a new rollout begins from what the agents run.
"""

from __future__ import annotations

import json
import sqlite3
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oakbridge.rollout import change as changes
from oakbridge.rollout.change import Change, ChangeError
from oakbridge.rollout.machine import InstanceOutcome, InstanceStatus, Phase, RolloutRecord
from oakbridge.rollout.plan import Target

FORMAT = 1


class JournalError(Exception):
    """The journal can't be used; the text says what was expected."""


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """One rollout."""

    id: int  # the token under which it began, and the generation that it brings
    operator: str
    began: float
    changed: float
    why: str
    change: Change
    record: RolloutRecord


def encode_record(record: RolloutRecord) -> str:
    """A record as the journal has it."""
    return json.dumps(
        {
            "waves": [
                [[t.agent, t.instance, t.zone, t.base, t.drained] for t in wave] for wave in record.waves
            ],
            "unavailable": record.max_unavailable,
            "undo": record.auto_rollback,
            "stage": record.phase.value,
            "wave": record.wave_index,
            "rows": [
                [name, row.outcome.value, row.reason, row.last_response_unix_s]
                for name, row in record.statuses
            ],
            "reason": record.reason,
        }
    )


def decode_record(text: str) -> RolloutRecord:
    """A record from the journal.  Raises :class:`JournalError`."""
    try:
        raw: dict[str, Any] = json.loads(text)
        waves = tuple(tuple(Target(*t) for t in wave) for wave in raw["waves"])
        rows = tuple(
            (name, InstanceStatus(InstanceOutcome(fate), reason, since))
            for name, fate, reason, since in raw["rows"]
        )
        stage = Phase(raw["stage"])
        return RolloutRecord(waves, raw["unavailable"], raw["undo"], stage, raw["wave"], rows, raw["reason"])
    except (ValueError, KeyError, TypeError) as e:
        raise JournalError(f"a record that can't be read: {e}") from None


class Journal:
    """The file ``journal.db`` of a fleet's folder."""

    def __init__(self, folder: Path) -> None:
        """Open it, or make it.  Raises :class:`JournalError`."""
        path = folder / "journal.db"
        try:
            self._db = sqlite3.connect(path, isolation_level=None, timeout=10)
            self._db.execute("PRAGMA journal_mode = WAL")
            self._db.execute("PRAGMA synchronous = FULL")
            version = self._db.execute("PRAGMA user_version").fetchone()[0]
            if version not in (0, FORMAT):
                raise JournalError(f"{path}: expected format {FORMAT}, got {version}")
            columns = "id INTEGER PRIMARY KEY, operator, began REAL, changed REAL, why, files, record"
            self._db.execute(f"CREATE TABLE IF NOT EXISTS rollouts ({columns})")
            self._db.execute(f"PRAGMA user_version = {FORMAT}")
        except sqlite3.DatabaseError as e:
            raise JournalError(f"{path}: {e}") from None

    def close(self) -> None:
        """Close it."""
        self._db.close()

    def add(self, entry: JournalEntry) -> None:
        """Write a new rollout down."""
        change = json.dumps(changes.encode_change(entry.change))
        values = (
            entry.id,
            entry.operator,
            entry.began,
            entry.changed,
            entry.why,
            change,
            encode_record(entry.record),
        )
        self._db.execute("INSERT INTO rollouts VALUES (?, ?, ?, ?, ?, ?, ?)", values)

    def keep(self, rollout: int, record: RolloutRecord) -> None:
        """Have a record on disk."""
        values = encode_record(record), time.time(), rollout
        self._db.execute("UPDATE rollouts SET record = ?, changed = ? WHERE id = ?", values)

    def entries(self, last: int = 20) -> list[JournalEntry]:
        """The newest rollouts, newest first.  Raises :class:`JournalError`."""
        return [
            _entry(row)
            for row in self._db.execute("SELECT * FROM rollouts ORDER BY id DESC LIMIT ?", (last,))
        ]

    def entry(self, rollout: int) -> JournalEntry:
        """One rollout.  Raises :class:`JournalError`."""
        row = self._db.execute("SELECT * FROM rollouts WHERE id = ?", (rollout,)).fetchone()
        if row is None:
            raise JournalError(f"there is no rollout {rollout}")
        return _entry(row)


def _entry(row: tuple[Any, ...]) -> JournalEntry:
    number, operator, began, changed, why, change, record = row
    try:
        return JournalEntry(
            number,
            operator,
            began,
            changed,
            why,
            changes.decode_change(json.loads(change)),
            decode_record(record),
        )
    except (ValueError, ChangeError) as e:
        raise JournalError(f"rollout {number}: {e}") from None
