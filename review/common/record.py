"""The record of a case: what was sent, answered and run, with times since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> float:
        """Write a line; return its time."""
        now = self.now()
        self._file.write(f"{now:8.3f} {text}\n")
        return now
