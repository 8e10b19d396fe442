"""The agent's disk: its journal in SQLite, and a folder for each generation with one link that shows the current.

    STATE/agent.db                          promises, records, outcomes
    STATE/lock                              held by the agent that runs
    STATE/instances/NAME/gen-00000012/      the files of a generation, written once
    STATE/instances/NAME/current -> gen-00000012

Whatever is written is whole: files are synced before the folder gets its name, and links are renamed.
"""

from __future__ import annotations

import fcntl
import hashlib
import json
import os
import re
import shutil
import sqlite3
from dataclasses import asdict
from pathlib import Path
from typing import Any

from oakbridge.agent.instance import NOTHING, Generation, Outcome, Record, State, Step, Verdict
from oakbridge.agent.lease import Promise

FORMAT = 1
KEPT = 8  # generations of an instance that stay on disk, for a way back
MAX_FILES, MAX_BYTES = 64, 32 * 1024 * 1024
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")

Files = dict[str, str]


class StoreError(Exception):
    """The state on disk can't be used; the text says what was expected."""


def check_name(name: str, what: str) -> str:
    """A name that is safe as a part of a path."""
    if not _NAME.fullmatch(name) or name.endswith(".tmp"):
        raise StoreError(f"{what}: expected up to 100 letters, digits, dots or dashes, got {name!r:.120}")
    return name


def check_files(files: Files) -> None:
    """A generation's files, before anything is written."""
    if not files or len(files) > MAX_FILES:
        raise StoreError(f"files: expected 1 to {MAX_FILES}, got {len(files)}")
    for name in files:
        check_name(name, "files")
    if (total := sum(len(text.encode()) for text in files.values())) > MAX_BYTES:
        raise StoreError(f"files: expected at most {MAX_BYTES} bytes, got {total}")


def digest_of(files: Files) -> str:
    """A generation's digest: over all names and contents."""
    return hashlib.sha256(json.dumps(files, sort_keys=True, separators=(",", ":")).encode()).hexdigest()


def encode(record: Record) -> str:
    """A record as the journal has it."""
    raw = asdict(record)
    raw["state"] = record.state.value
    raw["outcomes"] = [[o.step, o.verdict.value, o.reason] for o in record.outcomes]
    return json.dumps(raw, sort_keys=True)


def decode(text: str) -> Record:
    """A record from the journal.  Raises :class:`StoreError`."""
    try:
        raw: dict[str, Any] = json.loads(text)
        step = raw["step"]
        if step is not None:
            step = Step(**{**step, "target": Generation(**step["target"])})
        outcomes = tuple(Outcome(s, Verdict(v), reason) for s, v, reason in raw["outcomes"])
        current, previous = Generation(**raw["current"]), Generation(**raw["previous"])
        return Record(State(raw["state"]), current, previous, step, raw["reason"], outcomes)
    except (ValueError, KeyError, TypeError) as e:
        raise StoreError(f"journal: a record that can't be read: {e}") from None


class Store:
    """The state of one agent, held by a lock for as long as it is open."""

    def __init__(self, folder: Path) -> None:
        """Open it, or make it.  Raises :class:`StoreError` where another agent has it or it can't be used."""
        self.folder = folder
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as e:
            raise StoreError(f"{folder}: {e.strerror}") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise StoreError(f"{folder}: another agent runs here (it holds {folder / 'lock'})") from None
        try:
            self._db = sqlite3.connect(folder / "agent.db", isolation_level=None)
            self._open()
        except sqlite3.DatabaseError as e:
            self.close()
            raise StoreError(f"{folder / 'agent.db'}: {e}") from None

    def _open(self) -> None:
        self._db.execute("PRAGMA journal_mode = WAL")
        self._db.execute("PRAGMA synchronous = FULL")  # a promise that a crash forgets is none
        self._db.execute("CREATE TABLE IF NOT EXISTS facts (name TEXT PRIMARY KEY, value TEXT NOT NULL)")
        columns = "name TEXT PRIMARY KEY, spec TEXT NOT NULL, record TEXT NOT NULL"
        self._db.execute(f"CREATE TABLE IF NOT EXISTS instances ({columns})")
        found = self._fact("format")
        if found is None:
            self._put("format", str(FORMAT))
        elif found != str(FORMAT):
            raise StoreError(f"{self.folder}: expected a state of format {FORMAT}, got {found}")

    def close(self) -> None:
        """Close it, and let another agent have it."""
        if hasattr(self, "_db"):
            self._db.close()
        os.close(self._lock)

    # ---- the journal

    def _fact(self, name: str) -> str | None:
        row = self._db.execute("SELECT value FROM facts WHERE name = ?", (name,)).fetchone()
        return None if row is None else str(row[0])

    def _put(self, name: str, value: str) -> None:
        self._write("INSERT OR REPLACE INTO facts VALUES (?, ?)", (name, value))

    def _write(self, statement: str, values: tuple[str | None, ...]) -> None:
        """One transaction; on disk when this returns."""
        self._db.execute(statement, values)

    def promise(self) -> Promise:
        """What was promised last."""
        text = self._fact("promise")
        return Promise() if text is None else Promise(**json.loads(text))

    def keep_promise(self, promise: Promise) -> None:
        """Have a promise on disk."""
        self._put("promise", json.dumps(asdict(promise)))

    def instances(self) -> dict[str, tuple[dict[str, Any], Record]]:
        """All instances: how each is run, and where its change-over stands."""
        rows = self._db.execute("SELECT name, spec, record FROM instances ORDER BY name")
        return {name: (json.loads(spec), decode(record)) for name, spec, record in rows}

    def keep_instance(self, name: str, spec: dict[str, Any], record: Record) -> None:
        """Have an instance on disk, new or changed."""
        values = check_name(name, "instance"), json.dumps(spec), encode(record)
        self._write("INSERT OR REPLACE INTO instances VALUES (?, ?, ?)", values)

    def keep_record(self, name: str, record: Record) -> None:
        """Have an instance's record on disk."""
        self._write("UPDATE instances SET record = ? WHERE name = ?", (encode(record), name))

    def forget_instance(self, name: str) -> None:
        """Have an instance no more."""
        self._write("DELETE FROM instances WHERE name = ?", (name,))
        shutil.rmtree(self._home(name), ignore_errors=True)

    # ---- generations

    def _home(self, name: str) -> Path:
        return self.folder / "instances" / check_name(name, "instance")

    def place(self, name: str, generation: Generation) -> Path:
        """The folder of a generation."""
        return self._home(name) / f"gen-{generation.number:08d}"

    def current(self, name: str) -> Path:
        """The link that shows the generation in use."""
        return self._home(name) / "current"

    def shown(self, name: str) -> int:
        """The number of the generation that the link shows; 0 without one."""
        try:
            return int(os.readlink(self.current(name)).removeprefix("gen-"))
        except FileNotFoundError:
            return 0

    def stage(self, name: str, generation: Generation, files: Files) -> None:
        """Write a generation's files; its folder has its name only once all of them are on disk."""
        check_files(files)
        if digest_of(files) != generation.digest:
            raise StoreError("files: they are not those of the digest that was told")
        final = self.place(name, generation)
        if final.exists():
            shutil.rmtree(final)  # of a step that did not come through: nothing shows it
        temporary = final.with_suffix(".tmp")
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir(mode=0o700, parents=True)
        for file, text in files.items():
            with (temporary / file).open("w", encoding="utf-8") as out:
                out.write(text)
                out.flush()
                os.fsync(out.fileno())
        _sync(temporary)
        os.rename(temporary, final)
        _sync(final.parent)

    def unstage(self, name: str, generation: Generation) -> None:
        """Throw a generation away, unless it is the one that is shown."""
        if self.shown(name) != generation.number:
            shutil.rmtree(self.place(name, generation), ignore_errors=True)

    def flip(self, name: str, generation: Generation) -> None:
        """Show a generation, by one rename; with ``NOTHING``, show none."""
        link = self.current(name)
        if generation.digest == NOTHING:
            link.unlink(missing_ok=True)
        else:
            place = self.place(name, generation)
            if not place.is_dir():
                raise StoreError(f"{place}: expected a staged generation")
            temporary = link.with_suffix(".tmp")
            temporary.unlink(missing_ok=True)
            os.symlink(place.name, temporary)
            os.rename(temporary, link)
        _sync(link.parent)

    def read(self, name: str, generation: Generation) -> Files:
        """A generation's files, as they are on disk."""
        place = self.place(name, generation)
        try:
            return {p.name: p.read_text("utf-8") for p in sorted(place.iterdir())}
        except OSError as e:
            raise StoreError(f"{place}: {e.strerror}") from None

    def tidy(self, name: str, record: Record) -> None:
        """Keep the newest generations, and whatever the record speaks of."""
        needed = {record.current.number, record.previous.number, self.shown(name)}
        if record.step is not None:
            needed.add(record.step.target.number)
        for place in sorted(self._home(name).glob("gen-*"))[:-KEPT]:
            number = place.name.removeprefix("gen-")
            if not number.isdigit() or int(number) not in needed:
                shutil.rmtree(place, ignore_errors=True)


def _sync(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
