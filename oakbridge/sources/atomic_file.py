"""Write a file atomically."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

Write = Callable[[int, memoryview], int]


def write_atomically(path: Path, data: bytes, write: Write = os.write) -> None:
    """Write a temporary file, fsync and rename it, and fsync the directory.

    Raises OSError; the previous file, if any, is then unchanged.  Tests pass another ``write``.
    """
    path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    temporary = path.with_name(f".{path.name}.{os.getpid()}.tmp")
    fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        _write_and_close(fd, data, write)
        temporary.rename(path)
    except BaseException:
        temporary.unlink(missing_ok=True)
        raise
    _sync_directory(path.parent)


def _write_and_close(fd: int, data: bytes, write: Write) -> None:
    try:
        remaining = memoryview(data)
        while remaining:
            written = write(fd, remaining)
            remaining = remaining[written:]
        os.fsync(fd)
    finally:
        os.close(fd)


def _sync_directory(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
