"""``agent.db``: the agent's journal in SQLite, one transaction for each record.

facts       name, value             the format's number; the fencing token's record
instances   name, spec, record      how each instance is run; the state of its change
"""

from __future__ import annotations

import contextlib
import sqlite3
from pathlib import Path
from typing import Any

from oakbridge.agent.errors import StoreError, StoreUnavailableError
from oakbridge.agent.generations import check_name
from oakbridge.agent.lease import FencingTokenRecord
from oakbridge.agent.record_codec import (
    decode_record,
    decode_spec,
    decode_token_record,
    encode_record,
    encode_spec,
    encode_token_record,
)
from oakbridge.agent.records import InstanceRecord, InstanceSpec

FORMAT = 1
FORMAT_FACT = "format"
TOKEN_FACT = "promise"

INSTANCE_COLUMNS = "name TEXT PRIMARY KEY, spec TEXT NOT NULL, record TEXT NOT NULL"
SCHEMA = (
    "CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value TEXT NOT NULL)",
    f"CREATE TABLE IF NOT EXISTS instances ({INSTANCE_COLUMNS})",
)


class AgentJournal:
    """The open database; when a method returns, what it has written is on disk.

    Methods raise StoreUnavailableError if the disk fails.
    """

    def __init__(self, path: Path) -> None:
        """Open the database, or create it.

        Raises:
            StoreError: if the file is no database, or has another format.
            StoreUnavailableError: if the disk fails.
        """
        self._path = path
        try:
            self._database = sqlite3.connect(path, isolation_level=None)
            with contextlib.ExitStack() as on_failure:
                on_failure.callback(self.close)
                self._prepare(path)
                on_failure.pop_all()
        except sqlite3.OperationalError as error:
            raise StoreUnavailableError(path, str(error)) from None
        except sqlite3.DatabaseError as error:
            raise StoreError(path, str(error)) from None

    def _prepare(self, path: Path) -> None:
        self._database.execute("PRAGMA journal_mode = WAL")
        # A granted token must survive a power failure.
        self._database.execute("PRAGMA synchronous = FULL")
        for statement in SCHEMA:
            self._database.execute(statement)
        stored_format = self._read_fact(FORMAT_FACT)
        if stored_format is None:
            self._write_fact(FORMAT_FACT, str(FORMAT))
        elif stored_format != str(FORMAT):
            raise StoreError(
                path.parent, f"expected a state of format {FORMAT}, got {stored_format}"
            )

    def close(self) -> None:
        """Close the database."""
        self._database.close()

    # ---- the fencing token

    def load_token_record(self) -> FencingTokenRecord:
        """Return the fencing token's record that was saved last.

        Raises:
            StoreError: if it is invalid.
        """
        text = self._read_fact(TOKEN_FACT)
        return FencingTokenRecord() if text is None else decode_token_record(text)

    def save_token_record(self, record: FencingTokenRecord) -> None:
        """Save the fencing token's record."""
        self._write_fact(TOKEN_FACT, encode_token_record(record))

    # ---- instances

    def load_instances(self) -> dict[str, tuple[InstanceSpec, InstanceRecord]]:
        """Return the spec and the record of each instance, by name.

        Raises:
            StoreError: if one of them is invalid.
        """
        rows = self._read("SELECT name, spec, record FROM instances ORDER BY name")
        return {name: (decode_spec(spec), decode_record(record)) for name, spec, record in rows}

    def save_instance(self, name: str, spec: InstanceSpec, record: InstanceRecord) -> None:
        """Save an instance, new or changed.

        Raises:
            StoreError: if its name is not safe.
        """
        values = (check_name(name, "instance"), encode_spec(spec), encode_record(record))
        self._write("INSERT OR REPLACE INTO instances VALUES (?, ?, ?)", values)

    def save_record(self, name: str, record: InstanceRecord) -> None:
        """Save the record of an instance that is in the journal."""
        self._write("UPDATE instances SET record = ? WHERE name = ?", (encode_record(record), name))

    def delete_instance(self, name: str) -> None:
        """Delete an instance."""
        self._write("DELETE FROM instances WHERE name = ?", (name,))

    # ---- statements

    def _read_fact(self, name: str) -> str | None:
        rows = self._read("SELECT value FROM facts WHERE name = ?", (name,))
        return str(rows[0][0]) if rows else None

    def _read(self, query: str, values: tuple[str, ...] = ()) -> list[Any]:
        try:
            return self._database.execute(query, values).fetchall()
        except sqlite3.OperationalError as error:
            raise StoreUnavailableError(self._path, str(error)) from None

    def _write_fact(self, name: str, value: str) -> None:
        self._write("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value))

    def _write(self, statement: str, values: tuple[str, ...]) -> None:
        """Execute one statement, which is a transaction of its own.

        Raises StoreUnavailableError if the disk fails; then nothing was written.
        """
        try:
            self._database.execute(statement, values)
        except sqlite3.OperationalError as error:
            raise StoreUnavailableError(self._path, str(error)) from None
