"""Hear of changes of files by inotify, through watchfiles.

A notification is only a hint to poll: where inotify can't be had, or is lost, polling finds the
same.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import stat
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

_STEP_MS = 10  # how often watchfiles wakes
_DEBOUNCE_MS = 20  # for how long watchfiles gathers changes
_RUST_TIMEOUT_MS = 1_000  # after which watchfiles sees whether it is to stop
_RETRY_S = 5.0
_MAX_VERIFY_INTERVAL_S = 0.5
_MAX_LINKS = 16

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DirectoryIdentity:
    """The directory that a path leads to; another one if it has been replaced."""

    device: int
    inode: int


WatchedDirectories = dict[str, DirectoryIdentity]
RunInThread = Callable[[Callable[[], WatchedDirectories]], Awaitable[WatchedDirectories]]


def directories_to_watch(path: Path, *, is_directory: bool) -> WatchedDirectories:
    """Return the directories in which a change can show, by path.

    They are those of the path, of each link on the way, and of their parents.  Guards a mounted
    directory, whose files are links through ``..data``, and a directory that is replaced.
    """
    found: WatchedDirectories = {}
    current = path.absolute()
    for _ in range(_MAX_LINKS):
        candidates = [current.parent, current.parent.parent]
        if is_directory:
            candidates.insert(0, current)
        for candidate in candidates:
            identity = _directory_identity(candidate)
            if identity is not None:
                found[str(candidate)] = identity
        try:
            current = current.parent / current.readlink()
        except OSError:
            break
    return found


def _directory_identity(path: Path) -> DirectoryIdentity | None:
    try:
        status = path.stat()
    except OSError:
        return None
    return DirectoryIdentity(status.st_dev, status.st_ino) if stat.S_ISDIR(status.st_mode) else None


class ChangeNotifier:
    """Watch the directories of one path, and call back at each change in them."""

    def __init__(
        self,
        path: Path,
        *,
        is_directory: bool,
        poll_interval_s: float,
        run_in_thread: RunInThread,
        on_change: Callable[[], None],
    ) -> None:
        """``run_in_thread`` runs a function that blocks."""
        self._path = path
        self._is_directory = is_directory
        self._verify_interval_s = min(_MAX_VERIFY_INTERVAL_S, poll_interval_s)
        self._run_in_thread = run_in_thread
        self._on_change = on_change
        self.active = False  # whether changes are notified, or found by polling alone

    async def run(self) -> None:
        """Watch until cancelled; watch anew where a directory has been replaced."""
        try:
            import watchfiles  # noqa: F401 - an optional dependency
        except ImportError as error:
            logger.warning("changes of %s are found by looking alone: %s", self._path, error)
            return
        while True:
            try:
                await self._watch_once()
            except (OSError, RuntimeError) as error:
                self.active = False
                reason = _describe(error)
                message = "changes of %s are found by looking alone for now: %s"
                logger.warning(message, self._path, reason)
                await asyncio.sleep(_RETRY_S)

    async def _watch_once(self) -> None:
        """Watch until a directory is replaced.  Raises OSError or RuntimeError without inotify."""
        from watchfiles import awatch

        watched = await self._current_directories()
        replaced = asyncio.Event()
        verifying = asyncio.get_running_loop().create_task(self._verify(watched, replaced))
        try:
            self.active = bool(watched)
            self._on_change()  # for what changed before the watch was there
            changes = awatch(
                *watched,
                watch_filter=None,
                debounce=_DEBOUNCE_MS,
                step=_STEP_MS,
                rust_timeout=_RUST_TIMEOUT_MS,
                stop_event=replaced,
                recursive=False,
                yield_on_timeout=False,
            )
            async for _ in changes:
                self._on_change()
        finally:
            verifying.cancel()

    async def _verify(self, watched: WatchedDirectories, replaced: asyncio.Event) -> None:
        """End a watch whose directories are no longer those that the path leads through."""
        while not replaced.is_set():
            await asyncio.sleep(self._verify_interval_s)
            if await self._current_directories() != watched:
                replaced.set()

    async def _current_directories(self) -> WatchedDirectories:
        return await self._run_in_thread(
            lambda: directories_to_watch(self._path, is_directory=self._is_directory)
        )


def _describe(error: Exception) -> str:
    watches_exhausted = isinstance(error, OSError) and error.errno in (errno.ENOSPC, errno.EMFILE)
    return "no inotify watches are left" if watches_exhausted else str(error)
