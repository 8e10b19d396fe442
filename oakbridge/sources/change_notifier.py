"""Notify of changes of files by inotify, through watchfiles.

A notification only triggers a poll.  Where inotify is not available or fails, regular polling finds
the same changes.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import stat
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

_STEP_MS = 10  # interval at which watchfiles looks for new changes
_DEBOUNCE_MS = 20  # time for which watchfiles collects changes before it reports them
_RUST_TIMEOUT_MS = 1_000  # interval at which watchfiles checks whether to stop
_RETRY_DELAY_S = 5.0  # delay before inotify is tried again after an error
_MAX_VERIFY_INTERVAL_S = 0.5  # longest time between two checks for replaced directories
_MAX_LINKS = 16  # symbolic links that are followed; more are a loop

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class DirectoryIdentity:
    """Device and inode of a directory; they differ once another directory has replaced it."""

    device: int
    inode: int


WatchedDirectories = dict[str, DirectoryIdentity]
RunInThread = Callable[[Callable[[], WatchedDirectories]], Awaitable[WatchedDirectories]]


def directories_to_watch(path: Path, *, is_directory: bool) -> WatchedDirectories:
    """Return the directories, by path, in which a change of the files can be seen.

    These are the path itself if it is a directory, the directories that hold the path and each
    symbolic link on the way to it, and their parents.  This covers a mounted volume, whose files
    are links through ``..data``, and a directory that is replaced.
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
    """Watches the directories of one path and calls ``on_change`` at each change in them."""

    def __init__(
        self,
        path: Path,
        *,
        is_directory: bool,
        poll_interval_s: float,
        run_in_thread: RunInThread,
        on_change: Callable[[], None],
    ) -> None:
        """``run_in_thread`` runs a blocking function without blocking the event loop."""
        self._path = path
        self._is_directory = is_directory
        self._verify_interval_s = min(_MAX_VERIFY_INTERVAL_S, poll_interval_s)
        self._run_in_thread = run_in_thread
        self._on_change = on_change
        self.is_active = False  # whether inotify is in use; if not, only polling finds changes

    async def run(self) -> None:
        """Watch until cancelled; start a new watch when a directory has been replaced."""
        try:
            import watchfiles  # noqa: F401 - an optional dependency
        except ImportError as error:
            logger.warning(
                "watchfiles is not available, only polling finds changes: path=%s error=%s",
                self._path,
                error,
            )
            return
        while True:
            try:
                await self._watch_once()
            except (OSError, RuntimeError) as error:
                self.is_active = False
                reason = _error_text(error)
                message = "inotify failed, only polling finds changes for now: path=%s error=%s"
                logger.warning(message, self._path, reason)
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _watch_once(self) -> None:
        """Watch until a directory is replaced.  Raises OSError or RuntimeError if inotify fails."""
        from watchfiles import awatch

        watched = await self._current_directories()
        replaced = asyncio.Event()
        verify_task = asyncio.get_running_loop().create_task(self._verify(watched, replaced))
        try:
            self.is_active = bool(watched)
            self._on_change()  # for changes before the watch started
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
            verify_task.cancel()

    async def _verify(self, watched: WatchedDirectories, replaced: asyncio.Event) -> None:
        """Set ``replaced`` once the path leads through other directories than ``watched``."""
        while not replaced.is_set():
            await asyncio.sleep(self._verify_interval_s)
            if await self._current_directories() != watched:
                replaced.set()

    async def _current_directories(self) -> WatchedDirectories:
        return await self._run_in_thread(
            lambda: directories_to_watch(self._path, is_directory=self._is_directory)
        )


def _error_text(error: Exception) -> str:
    watches_exhausted = isinstance(error, OSError) and error.errno in (errno.ENOSPC, errno.EMFILE)
    return "the limit of inotify watches is reached" if watches_exhausted else str(error)
