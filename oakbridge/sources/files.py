"""The shell round :mod:`versions`: looks at the disk, parses beside the loop, hands whole versions to a node.

Nothing is decided in here.  The disk is read in threads, since a file on a network mount can take its time;
what is heard of changes (inotify, through watchfiles) is only a hint to look, and where it can't be had,
or is lost, looking now and then finds the same.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import hashlib
import json
import logging
import os
import stat
import time
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.node.endpoint_source import EndpointListener
from oakbridge.node.errors import ConfigError
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources import versions as v
from oakbridge.sources.formats import (
    ENDINGS,
    MAX_BYTES,
    MAX_FILES,
    File,
    Problem,
    checksum_holds,
    parse,
    split_checksum,
)
from oakbridge.sources.locate import located

log = logging.getLogger(__name__)
T = TypeVar("T")

SLICE = 200  # servers that are made ready in one turn of the loop
THREADS = 4  # one to look, one to check, one to save, one to see whether the directories are the same
PAUSE_S = 0.0002  # for which a parsing thread lets the loop run, between two batches
STEP_MS, BATCH_MS = 10, 20  # of watchfiles: how often it wakes, and for how long it gathers
POLL_ALONE_S = 0.1  # how often to look where no changes are told
RACY_NS = 2_000_000_000  # a file changed so lately may change again within its time stamp's grain
SAVED_FORMAT = 1
LINES_UP_TO = 64 * 1024  # bytes in which a mistake's line is found: longer texts would hold the loop up


class CantRead(Exception):
    """The disk has nothing that can be used; the text says what was found."""


def rest() -> None:
    """Let the loop's thread run: it would otherwise wait for the interpreter's switch interval."""
    time.sleep(PAUSE_S)


# ---- looking


def read_file(path: Path) -> bytes:
    """A regular file's bytes, within the bound.  Never blocks on a FIFO, and follows links once."""
    try:
        fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            status = os.fstat(fd)
            if not stat.S_ISREG(status.st_mode):
                raise CantRead(f"{path}: expected a regular file")
            if status.st_size > MAX_BYTES:
                raise CantRead(f"{path}: expected at most {MAX_BYTES} bytes, got {status.st_size}")
            with open(fd, "rb", closefd=False) as file:
                data = file.read(MAX_BYTES + 1)
        finally:
            os.close(fd)
    except OSError as e:
        raise CantRead(f"{path}: {e.strerror or e}") from None
    if len(data) > MAX_BYTES:
        raise CantRead(f"{path}: expected at most {MAX_BYTES} bytes")
    return data


def files_of(path: Path, directory: bool) -> list[Path]:
    """The files that make up a version: the path itself, or what a directory holds, by name."""
    if not directory:
        return [path]
    try:
        names = sorted(e.name for e in os.scandir(path) if e.name.endswith(ENDINGS) and e.name[0] not in ".#")
    except OSError as e:
        raise CantRead(f"{path}: {e.strerror or e}") from None
    if not names:
        raise CantRead(f"{path}: expected files that end in {' or '.join(ENDINGS)}")
    if len(names) > MAX_FILES:
        raise CantRead(f"{path}: expected at most {MAX_FILES} files, got {len(names)}")
    return [path / name for name in names]


def digest_of(files: list[File]) -> str:
    """One name for all bytes of all files."""
    total = hashlib.sha256()
    for file in files:
        total.update(b"%d %d %s\n" % (len(file.name), len(file.data), file.name.encode(errors="replace")))
        total.update(file.data)
    return total.hexdigest()


def read_all(path: Path, directory: bool) -> list[File]:
    """All files of one version.  Raises :class:`CantRead`."""
    paths = files_of(path, directory)
    files = []
    for each in paths:
        files.append(File(each.name, read_file(each)))
        if sum(len(f.data) for f in files) > MAX_BYTES:
            raise CantRead(f"{path}: expected at most {MAX_BYTES} bytes in all files")
    return files


def wholeness(files: list[File]) -> bool | None:
    """Whether all checksum lines fit; None if a file has none, for then it has to stand still."""
    held = [checksum_holds(file.data) for file in files]
    return False if False in held else None if None in held else True


def stamp(path: Path, directory: bool) -> tuple[Any, ...] | None:
    """What changes with the files, short of their bytes; None where that can't be relied on yet."""
    marks: list[Any] = []
    try:
        for each in files_of(path, directory):
            s = os.stat(each)
            if time.time_ns() - max(s.st_mtime_ns, s.st_ctime_ns) < RACY_NS:
                return None
            marks.append((each.name, s.st_dev, s.st_ino, s.st_size, s.st_mtime_ns, s.st_ctime_ns))
    except (OSError, CantRead):
        return None
    return tuple(marks)


def places(path: Path, directory: bool) -> dict[str, tuple[int, int]]:
    """The directories in which a change can show: of the path, of each link on the way, and of its parent.

    Guards a mounted directory, whose files are links through ``..data``, and a directory that is replaced.
    """
    found: dict[str, tuple[int, int]] = {}

    def add(place: Path) -> None:
        try:
            s = os.stat(place)
        except OSError:
            return
        if stat.S_ISDIR(s.st_mode):
            found[str(place)] = s.st_dev, s.st_ino

    current = path.absolute()
    for _ in range(16):
        if directory:
            add(current)
        add(current.parent)
        add(current.parent.parent)
        try:
            current = current.parent / os.readlink(current)
        except OSError:
            break
    return found


# ---- the saved copy


def save(path: Path, version: v.Version, write: Callable[[int, memoryview], int] = os.write) -> None:
    """Keep a copy, written whole: a temporary file, fsync, rename, fsync of the directory."""
    head = {"format": SAVED_FORMAT, "number": version.number, "digest": version.digest}
    parts = [json.dumps(head)]
    for count, entry in enumerate(version.servers.values()):
        if count % 64 == 0:
            rest()
        s = entry.server
        row = [s.id, s.state, s.zone, s.cell, s.weight, s.started_at, *entry.address]
        parts.append(json.dumps(row))
    data = "\n".join(parts).encode() + b"\n"
    data += b"# sha256: " + hashlib.sha256(data).hexdigest().encode() + b"\n"
    write_whole(path, data, write)


def write_whole(path: Path, data: bytes, write: Callable[[int, memoryview], int] = os.write) -> None:
    """A temporary file, fsync, rename, fsync of the directory.  Raises OSError, and then nothing has changed."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}.tmp")
    path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        try:
            view = memoryview(data)
            while view:
                view = view[write(fd, view) :]
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(temporary, path)
    except BaseException:
        temporary.unlink(missing_ok=True)
        raise
    fd = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def load_saved(path: Path) -> v.Version | None:
    """The copy of the last good version, if there is one that can be read."""
    try:
        data = read_file(path)
    except CantRead:
        return None
    try:
        if not checksum_holds(data):
            raise ValueError("its checksum does not fit")
        head, *rows = [json.loads(line) for line in split_checksum(data)[0].decode().splitlines()]
        if head["format"] != SAVED_FORMAT:
            raise ValueError(f"expected format {SAVED_FORMAT}, got {head['format']!r}")
        servers = {}
        for name, state, zone, cell, size, started, host, port in rows:
            server = Endpoint(name, state, zone, cell, size, started, f"{host}:{port}")
            servers[name] = ListedEndpoint(server, (host, port))
        return v.Version(head["number"], head["digest"], servers)
    except (ValueError, KeyError, TypeError) as e:
        log.warning("%s: the saved list is not used: %s", path, e)
        return None


# ---- the source


@dataclass(frozen=True, slots=True)
class FileOptions:
    """How files are watched; times in seconds."""

    path: Path
    directory: bool = False
    settle: float = 0.03
    poll: float = 1.0
    most_lost: float = 0.5
    saved: Path | None = None
    notify: bool = True


class FileSource:
    """Watches a server file or a directory of them for one node."""

    def __init__(self, options: FileOptions, now: Callable[[], int]) -> None:
        self.options, self.now = options, now
        saved = load_saved(options.saved) if options.saved else None
        self.versions = v.Versions(int(options.settle * 1e6), options.most_lost, saved)
        self._listener: EndpointListener | None = None
        self._hint = asyncio.Event()
        self._due: float | None = 0.0  # on the loop's clock: when to look even if nothing is heard
        self._read: tuple[str, list[File]] | None = None
        self._stamped: tuple[tuple[Any, ...], v.Reading] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._threads = ThreadPoolExecutor(THREADS, "server-file")
        self._started = False
        self.notified = False  # whether changes are told, or found by looking alone
        self.decided = asyncio.Event()  # set once the first look has led to something

    # ---- the node's side

    def attach(self, listener: EndpointListener) -> None:
        """Name the node that is told of versions, and tell it what is in use already."""
        self._listener = listener
        if (used := self.versions.used) is not None:
            listener.on_endpoint_list(
                EndpointList(used.number, True, list(used.servers.values())), saved=True
            )
            log.info("version %d, as saved, is in use until the file is read", used.number)

    async def ready(self) -> None:
        """Wait for a version to be in use.  Raises ConfigError where the first look finds none to use."""
        while self.versions.used is None:
            if (refused := self.versions.refused) is not None:
                raise ConfigError("\n".join(map(str, refused.problems)))
            if self.versions.missing:
                raise ConfigError(self.versions.missing)
            await self.decided.wait()
            self.decided.clear()

    def describe(self) -> dict[str, Any]:
        """What is in use, and why nothing newer is, for whoever asks."""
        s, now = self.versions.status(), self.now()
        told: dict[str, Any] = {
            "kind": "directory" if self.options.directory else "file",
            "path": str(self.options.path),
            "told_of_changes": self.notified,
            "missing": s.missing,
            "saved": s.saved,
            "save_error": s.save_error,
            "used": None,
            "held": None,
            "refused": None,
        }
        if s.used is not None:
            age = (now - s.used_at) / 1e6 if s.used_at else None
            told["used"] = {
                "number": s.used.number, "digest": s.used.digest, "servers": len(s.used.servers), "for_s": age
            }  # fmt: skip
        if s.held is not None:
            change = s.held.change
            told["held"] = {
                "digest": change.digest, "lost": change.lost, "of": change.of, "for_s": (now - s.held.since) / 1e6
            }  # fmt: skip
        if s.refused is not None:
            told["refused"] = {
                "digest": s.refused.digest,
                "problems": [str(p) for p in s.refused.problems],
                "for_s": (now - s.refused.since) / 1e6,
            }
        return told

    def start(self) -> None:
        """Begin to look and to listen; calling it again changes nothing."""
        if self._started:
            return
        self._started = True
        self._spawn(self._looking())
        if self.options.notify:
            self._spawn(self._listening())

    def watch(self, on: bool) -> None:
        """Files are always watched; there is nothing to ask."""

    def fetch(self) -> None:
        """Look now."""
        self._hint.set()

    def stop(self) -> None:
        """Look no more."""
        for task in self._tasks:
            task.cancel()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def accept(self, digest: str = "") -> None:
        """Take the held version over; ValueError says why there is none."""
        self._do(self.versions.accept(self.now(), digest))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._contained(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _contained(self, work: Awaitable[None]) -> None:
        """Guards the node: a fault in here leaves the last good version in use, and says so."""
        try:
            await work
        except Exception:
            log.exception("watching %s failed; the list in use stays", self.options.path)

    async def _beside(self, what: Callable[[], T]) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._threads, what)

    # ---- looking and listening

    async def _looking(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            poll = self.options.poll if self.notified else min(self.options.poll, POLL_ALONE_S)
            due = loop.time() + poll if self._due is None else min(self._due, loop.time() + poll)
            if not self._hint.is_set():
                timer = loop.call_at(due, self._hint.set)
                await self._hint.wait()
                timer.cancel()
            self._hint.clear()
            self._due = None
            found = await self._beside(self._look)
            self._do(self.versions.looked(self.now(), found))
            if isinstance(found, v.Missing):
                self.decided.set()

    def _look(self) -> v.Reading | v.Missing:
        """In a thread: what the disk has now."""
        path, directory = self.options.path, self.options.directory
        mark = stamp(path, directory)
        if mark is not None and self._stamped is not None and self._stamped[0] == mark:
            return self._stamped[1]
        self._stamped = None
        try:
            files = read_all(path, directory)
        except CantRead as e:
            return v.Missing(str(e))
        found = v.Reading(digest_of(files), wholeness(files))
        self._read = found.digest, files
        if mark is not None and stamp(path, directory) == mark:
            self._stamped = mark, found
        return found

    async def _listening(self) -> None:
        """Turn what inotify tells into hints to look; watch anew where a directory has been replaced."""
        try:
            from watchfiles import awatch
        except ImportError as e:
            log.warning("changes of %s are found by looking alone: %s", self.options.path, e)
            return
        while True:
            watched = await self._beside(lambda: places(self.options.path, self.options.directory))
            stop = asyncio.Event()
            mover = asyncio.get_running_loop().create_task(self._moved(watched, stop))
            try:
                self.notified = bool(watched)
                self._hint.set()  # what changed before the watch was there
                async for _ in awatch(
                    *watched, watch_filter=None, debounce=BATCH_MS, step=STEP_MS, rust_timeout=1_000,
                    stop_event=stop, recursive=False, yield_on_timeout=False,
                ):  # fmt: skip
                    self._hint.set()
            except (OSError, RuntimeError) as e:
                self.notified = False
                exhausted = isinstance(e, OSError) and e.errno in (errno.ENOSPC, errno.EMFILE)
                why = "no inotify watches are left" if exhausted else str(e)
                log.warning("changes of %s are found by looking alone for now: %s", self.options.path, why)
                await asyncio.sleep(5)
            finally:
                mover.cancel()

    async def _moved(self, watched: dict[str, tuple[int, int]], stop: asyncio.Event) -> None:
        """End a watch whose directories are no longer those that the path leads through."""
        while True:
            await asyncio.sleep(min(0.5, self.options.poll))
            if await self._beside(lambda: places(self.options.path, self.options.directory)) != watched:
                stop.set()
                return

    # ---- carrying out

    def _do(self, actions: list[v.Action]) -> None:
        for action in actions:
            if isinstance(action, v.LookAgain):
                due = asyncio.get_running_loop().time() + action.delay / 1e6
                self._due = due if self._due is None else min(self._due, due)
                if not action.delay:
                    self._hint.set()
            elif isinstance(action, v.Check):
                self._spawn(self._check(action))
            elif isinstance(action, v.Apply):
                self._spawn(self._apply(action))
            elif isinstance(action, v.Save):
                self._spawn(self._save(action.version))
            else:
                level = {"info": logging.INFO, "warning": logging.WARNING}.get(action.level, logging.ERROR)
                log.log(level, "%s: %s", self.options.path, action.text)

    async def _check(self, action: v.Check) -> None:
        read, now = self._read, self.now()
        outcome: v.Change | list[Problem] | None = None
        if read is not None and read[0] == action.digest:  # else the file has moved on: that reading is gone
            files = read[1]
            self._unhurried(True)
            try:
                outcome = await self._beside(lambda: self._compare(files, action, now))
            finally:
                self._unhurried(False)
        self._do(self.versions.checked(self.now(), action.digest, outcome))
        self.decided.set()

    @staticmethod
    def _unhurried(on: bool) -> None:
        """Put the collector of cycles off while a list is parsed.

        Guards the loop: the tens of thousands of objects that a long list makes set the collector off, and it
        would hold the interpreter for 20 ms to find that all of them are in use.
        """
        (gc.disable if on else gc.enable)()

    @staticmethod
    def _compare(files: list[File], action: v.Check, now: int) -> v.Change | list[Problem]:
        """In a thread: parse, and find what changes."""
        total = sum(len(f.data) for f in files)
        pause = rest if total > 16_384 else lambda: None
        parsed = parse(files, pause)
        if parsed.problems and total <= LINES_UP_TO:
            return located(files, parsed.problems)
        return parsed.problems or v.compare(action.base, action.digest, parsed, now, pause)

    async def _apply(self, action: v.Apply) -> None:
        """Make ready in slices, then flip at once: no request sees a part of a version."""
        assert self._listener is not None
        change, whole = action.change, action.change.base == 0
        entries = change.entries()
        for start in range(0, len(entries), SLICE):
            self._listener.prepare(entries[start : start + SLICE])
            await asyncio.sleep(0)
        gone = [ListedEndpoint(Endpoint(name, EndpointState.GONE), ("0.0.0.0", 0)) for name in change.gone]
        self._listener.on_endpoint_list(EndpointList(action.version.number, whole, entries + gone))
        self._do(self.versions.applied(self.now(), action.version.number))
        self.decided.set()

    async def _save(self, version: v.Version) -> None:
        error, path = "", self.options.saved
        if path is None:
            return
        try:
            await self._beside(lambda: save(path, version))
        except OSError as e:
            error = f"{path}: {e.strerror or e}"
        actions, wait = self.versions.save_ended(self.now(), version.number, error)
        self._do(actions)
        if wait:
            await asyncio.sleep(wait / 1e6)
            self._do(self.versions.save_due())


class InlineSource:
    """A list that the configuration itself holds: it is told once."""

    def __init__(self, entries: list[ListedEndpoint]) -> None:
        self._entries = entries

    def attach(self, listener: EndpointListener) -> None:
        """Tell the whole list."""
        listener.on_endpoint_list(EndpointList(1, True, self._entries))

    def start(self) -> None:
        """Nothing changes."""

    def watch(self, on: bool) -> None:
        """Nothing changes."""

    def fetch(self) -> None:
        """Nothing changes."""

    def stop(self) -> None:
        """Nothing changes."""
