"""The state of one agent on disk, held by a lock for as long as it is open.

STATE/agent.db      the journal
STATE/lock          held by the agent that runs
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

CHECK_FOLDER_PREFIX = "check-"  # of folders in which files are checked before they are a generation


class Store:
    """The journal and the generations of one agent."""

    def __init__(self, folder: Path) -> None:
        """Open the state in a folder, or create it.

        Raises:
            StoreError: if another agent has it, or it can't be used.
            StoreUnavailableError: if the disk fails at the moment.
        """
        self.folder = folder
        self._lock = _lock(folder)
        try:
            self.journal = AgentJournal(folder / "agent.db")
        except StoreError:
            os.close(self._lock)
            raise
        for leftover in folder.glob(f"{CHECK_FOLDER_PREFIX}*"):  # of an agent that was killed
            shutil.rmtree(leftover, ignore_errors=True)
        self.generations = GenerationFolders(folder / "instances")

    def close(self) -> None:
        """Close the state, and let another agent have it."""
        self.journal.close()
        os.close(self._lock)

    def delete_instance(self, name: str) -> None:
        """Delete an instance and its generations."""
        self.journal.delete_instance(name)
        self.generations.delete(name)


def _lock(folder: Path) -> int:
    """Lock a state's folder, and return the lock's file descriptor."""
    path = folder / "lock"
    try:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        lock = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except PermissionError as e:
        raise StoreError(folder, str(e.strerror)) from None
    except OSError as e:
        raise StoreUnavailableError(folder, str(e.strerror)) from None
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        raise StoreError(folder, f"another agent runs here (it holds {path})") from None
    return lock
