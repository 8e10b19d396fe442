"""The state of one agent on disk, locked while it is open.

STATE/agent.db      the journal
STATE/lock          the lock of the running agent
STATE/instances/    the folders of generations
"""

from __future__ import annotations

import fcntl
import os
import shutil
from pathlib import Path

from oakbridge.agent.errors import StoreError, StoreUnavailableError
from oakbridge.agent.generations import GenerationFolders
from oakbridge.agent.journal import AgentJournal

CHECK_FOLDER_PREFIX = "check-"  # of folders in which a step's files are checked before staging


class Store:
    """The journal and the generations of one agent."""

    def __init__(self, folder: Path) -> None:
        """Open the state in a folder, or create it.

        Raises:
            StoreError: if another agent has the lock, or the state is invalid.
            StoreUnavailableError: if the disk fails.
        """
        self.folder = folder
        self._lock = _lock(folder)
        try:
            self.journal = AgentJournal(folder / "agent.db")
        except StoreError:
            os.close(self._lock)
            raise
        # An agent that was killed leaves folders behind.
        for leftover in folder.glob(f"{CHECK_FOLDER_PREFIX}*"):
            shutil.rmtree(leftover, ignore_errors=True)
        self.generations = GenerationFolders(folder / "instances")

    def close(self) -> None:
        """Close the state, and release its lock."""
        self.journal.close()
        os.close(self._lock)

    def delete_instance(self, name: str) -> None:
        """Delete an instance from the journal, and its generations."""
        self.journal.delete_instance(name)
        self.generations.delete(name)


def _lock(folder: Path) -> int:
    """Lock a state's folder, and return the lock's file descriptor.

    Raises:
        StoreError: if another agent has the lock, or the folder may not be written.
        StoreUnavailableError: if the disk fails.
    """
    path = folder / "lock"
    try:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        lock = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except PermissionError as error:
        raise StoreError(folder, str(error.strerror)) from None
    except OSError as error:
        raise StoreUnavailableError(folder, str(error.strerror)) from None
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        raise StoreError(folder, f"another agent runs here (it holds {path})") from None
    return lock
