"""Watch server files for one node: poll the disk, validate files in a thread, apply versions.

:mod:`oakbridge.sources.version_tracker` makes all decisions.  The disk is read in threads, since
reading a file on a network mount can take long.
"""

from __future__ import annotations

import asyncio
import functools
import gc
import logging
from collections.abc import Callable, Coroutine, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from oakbridge.node.endpoint_list import NO_ADDRESS, EndpointList, ListedEndpoint
from oakbridge.node.endpoint_source import EndpointListener
from oakbridge.node.errors import ConfigError
from oakbridge.policy.events import Endpoint, EndpointState
from oakbridge.sources.change_notifier import ChangeNotifier
from oakbridge.sources.decoding import SourceFile
from oakbridge.sources.field_lines import with_lines
from oakbridge.sources.file_poller import FilePoller
from oakbridge.sources.list_version import ListVersion, compare
from oakbridge.sources.pacing import let_event_loop_run, no_pause
from oakbridge.sources.parsing import parse
from oakbridge.sources.saved_copy import load_saved_version, save_version
from oakbridge.sources.source_status import JsonObject, encode_status
from oakbridge.sources.tracker_messages import (
    Action,
    ApplyVersion,
    FilesMissing,
    PollAfter,
    RetrySaveAfter,
    SaveVersion,
    ValidateFiles,
    ValidationResult,
    WriteLog,
)
from oakbridge.sources.version_tracker import VersionTracker

PREPARE_BATCH_SIZE = 200  # servers that are prepared in one iteration of the event loop
POLL_INTERVAL_WITHOUT_INOTIFY_S = 0.1
POLL_RESTART_DELAY_S = 1.0  # delay before polling starts again after an unexpected exception
_THREAD_COUNT = 4  # one each to poll, to validate, to save, and to verify the watched directories
# Problems of longer files get no line numbers: finding these would delay the event loop.
_MAX_BYTES_WITH_LINES = 64 * 1024
# Longer files are validated with pauses in which the event loop runs.
_MAX_BYTES_WITHOUT_PAUSES = 16 * 1024

logger = logging.getLogger(__name__)
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class FileOptions:
    """Where server files are and how they are watched."""

    path: Path
    is_directory: bool = False
    settle_s: float = 0.03
    poll_interval_s: float = 1.0
    # A version that loses a larger fraction of the ready servers needs an operator's approval.
    max_lost_fraction: float = 0.5
    saved_path: Path | None = None  # path of the saved copy; None: no copy is saved
    use_inotify: bool = True


class FileSource:
    """An endpoint source that watches a server file or a directory of server files."""

    def __init__(self, options: FileOptions, now: Callable[[], int]) -> None:
        """Read the saved copy, if there is one.  ``now`` returns the time in microseconds."""
        self.options = options
        # Set when a poll finds no files, a validation finishes or a version is applied.
        self.state_changed = asyncio.Event()
        self._now = now
        saved = load_saved_version(options.saved_path) if options.saved_path else None
        self._tracker = VersionTracker(
            int(options.settle_s * 1e6), options.max_lost_fraction, saved
        )
        self._poller = FilePoller(options.path, is_directory=options.is_directory)
        self._poll_requested = asyncio.Event()
        # Time on the loop's clock at which the next poll is due, even if inotify reports no change.
        self._poll_due_s: float | None = 0.0
        self._notifier = ChangeNotifier(
            options.path,
            is_directory=options.is_directory,
            poll_interval_s=options.poll_interval_s,
            run_in_thread=self._run_in_thread,
            on_change=self._poll_requested.set,
        )
        self._listener: EndpointListener | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._threads = ThreadPoolExecutor(_THREAD_COUNT, "server-file")
        self._started = False

    # ---- called by the node

    def attach(self, listener: EndpointListener) -> None:
        """Set the listener that is notified of versions, and notify it of the saved version."""
        self._listener = listener
        saved = self._tracker.current
        if saved is not None:
            listener.on_endpoint_list(
                EndpointList(saved.number, True, list(saved.servers.values())), saved=True
            )
            logger.info("saved version in use until the files are read: version=%d", saved.number)

    async def ready(self) -> None:
        """Wait until a version is in use.  Raises ConfigError if the first poll finds none."""
        while self._tracker.current is None:
            if self._tracker.rejected is not None:
                raise ConfigError("\n".join(map(str, self._tracker.rejected.problems)))
            if self._tracker.missing_reason:
                raise ConfigError(self._tracker.missing_reason)
            await self.state_changed.wait()
            self.state_changed.clear()

    def describe(self) -> JsonObject:
        """Return the status as JSON for the control socket; see ``source_status``."""
        return encode_status(
            self._tracker,
            self._now(),
            path=str(self.options.path),
            is_directory=self.options.is_directory,
            inotify_active=self._notifier.is_active,
        )

    def start(self) -> None:
        """Start to watch the files; further calls do nothing."""
        if self._started:
            return
        self._started = True
        self._spawn(self._keep_polling())
        if self.options.use_inotify:
            self._spawn(self._notifier.run())

    def watch(self, on: bool) -> None:
        """Do nothing: files are always watched."""

    def fetch(self) -> None:
        """Poll now."""
        self._poll_requested.set()

    def stop(self) -> None:
        """Stop watching the files."""
        for task in self._tasks:
            task.cancel()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def accept(self, digest_prefix: str = "") -> None:
        """Apply the version that is held for approval.  Raises NotAcceptedError.

        ``digest_prefix`` is the start of the digest that this version must have; "": any.
        """
        self._execute(self._tracker.accept(digest_prefix))

    # ---- tasks and threads

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(self._run_logged(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_logged(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine and log its exception: the node keeps the version that is in use."""
        try:
            await coroutine
        except Exception:
            logger.exception(
                "watching server files failed, the version in use stays: path=%s", self.options.path
            )

    async def _run_in_thread(self, function: Callable[[], T]) -> T:
        return await asyncio.get_running_loop().run_in_executor(self._threads, function)

    # ---- polling

    async def _keep_polling(self) -> None:
        """Poll until cancelled; start again after a delay if polling raises an exception."""
        while True:
            await self._run_logged(self._poll_forever())
            await asyncio.sleep(POLL_RESTART_DELAY_S)

    async def _poll_forever(self) -> None:
        while True:
            await self._wait_for_poll()
            found = await self._run_in_thread(self._poller.poll)
            self._execute(self._tracker.on_polled(self._now(), found))
            if isinstance(found, FilesMissing):
                self.state_changed.set()

    async def _wait_for_poll(self) -> None:
        """Wait until a poll is requested or due."""
        loop = asyncio.get_running_loop()
        interval_s = self.options.poll_interval_s
        if not self._notifier.is_active:
            interval_s = min(interval_s, POLL_INTERVAL_WITHOUT_INOTIFY_S)
        due_s = loop.time() + interval_s
        if self._poll_due_s is not None:
            due_s = min(due_s, self._poll_due_s)
        if not self._poll_requested.is_set():
            timer = loop.call_at(due_s, self._poll_requested.set)
            await self._poll_requested.wait()
            timer.cancel()
        self._poll_requested.clear()
        self._poll_due_s = None

    def _poll_after(self, delay_us: int) -> None:
        if not delay_us:
            self._poll_requested.set()
        due_s = asyncio.get_running_loop().time() + delay_us / 1e6
        self._poll_due_s = due_s if self._poll_due_s is None else min(self._poll_due_s, due_s)

    # ---- executing the tracker's actions

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case PollAfter():
                    self._poll_after(action.delay_us)
                case ValidateFiles():
                    self._spawn(self._validate(action))
                case ApplyVersion():
                    self._spawn(self._apply(action))
                case SaveVersion():
                    self._spawn(self._save(action.version))
                case RetrySaveAfter():
                    self._spawn(self._retry_save(action.delay_us))
                case WriteLog():
                    logger.log(
                        action.level, "server files at %s: %s", self.options.path, action.text
                    )

    async def _validate(self, action: ValidateFiles) -> None:
        files = self._poller.files_with(action.digest)
        started_us = self._now()
        result: ValidationResult = None
        if files is not None:
            validate = functools.partial(_validate_files, files, action, started_us)
            with _garbage_collection_paused():
                result = await self._run_in_thread(validate)
        self._execute(self._tracker.on_validated(self._now(), action.digest, result))
        self.state_changed.set()

    async def _apply(self, action: ApplyVersion) -> None:
        """Prepare servers in batches, then apply the version at once.

        No request uses a part of a version.
        """
        assert self._listener is not None
        change = action.change
        entries = change.delta_entries()
        for start in range(0, len(entries), PREPARE_BATCH_SIZE):
            self._listener.prepare(entries[start : start + PREPARE_BATCH_SIZE])
            await asyncio.sleep(0)
        removed_servers = [Endpoint(name, EndpointState.REMOVED) for name in change.removed]
        removed = [ListedEndpoint(server, NO_ADDRESS) for server in removed_servers]
        new = EndpointList(
            version=action.version.number,
            complete=change.base_number == 0,
            endpoints=entries + removed,
        )
        self._listener.on_endpoint_list(new)
        self._execute(self._tracker.on_applied(self._now(), action.version.number))
        self.state_changed.set()

    async def _save(self, version: ListVersion) -> None:
        path = self.options.saved_path
        if path is None:
            return
        try:
            await self._run_in_thread(lambda: save_version(path, version))
        except OSError as error:
            text = f"{path}: {error.strerror or error}"
            self._execute(self._tracker.on_save_failed(version.number, text))
        else:
            self._execute(self._tracker.on_saved(version.number))

    async def _retry_save(self, delay_us: int) -> None:
        await asyncio.sleep(delay_us / 1e6)
        self._execute(self._tracker.on_save_retry())


@contextmanager
def _garbage_collection_paused() -> Iterator[None]:
    """Disable the cyclic garbage collector while a list is parsed.

    The tens of thousands of objects of a long list would trigger a collection that holds the
    interpreter lock for 20 ms, delays the event loop and frees nothing, as all of them are in use.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _validate_files(
    files: list[SourceFile],
    action: ValidateFiles,
    now_us: int,
) -> ValidationResult:
    """Parse the files and return their changes or their problems; runs in a thread."""
    total_bytes = sum(len(file.data) for file in files)
    pause = let_event_loop_run if total_bytes > _MAX_BYTES_WITHOUT_PAUSES else no_pause
    parsed = parse(files, pause)
    if not parsed.problems:
        return compare(action.base, action.digest, parsed, now_us, pause)
    if total_bytes > _MAX_BYTES_WITH_LINES:
        return parsed.problems
    return with_lines(files, parsed.problems)
