"""Read the files of one version from the disk.  These functions block, so they run in threads."""

from __future__ import annotations

import hashlib
import os
import stat
import time
from dataclasses import dataclass
from pathlib import Path

from oakbridge.sources.checksum import checksum_matches
from oakbridge.sources.decoding import FILE_SUFFIXES, MAX_FILE_BYTES, SourceFile
from oakbridge.sources.errors import ReadError

MAX_FILES = 256  # server files in one directory
# A file that changed less than this ago may change again without another timestamp.
_TIMESTAMP_RESOLUTION_NS = 2_000_000_000


def read_regular_file(path: Path) -> bytes:
    """Return the bytes of a regular file of at most ``MAX_FILE_BYTES``; never block on a FIFO.

    Raises ReadError.
    """
    try:
        fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            data = _read_bounded(path, fd)
        finally:
            os.close(fd)
    except OSError as error:
        raise ReadError(path, error.strerror or str(error)) from None
    if len(data) > MAX_FILE_BYTES:
        raise ReadError(path, f"expected at most {MAX_FILE_BYTES} bytes")
    return data


def _read_bounded(path: Path, fd: int) -> bytes:
    """Return at most one byte more than ``MAX_FILE_BYTES``."""
    status = os.fstat(fd)
    if not stat.S_ISREG(status.st_mode):
        raise ReadError(path, "expected a regular file")
    if status.st_size > MAX_FILE_BYTES:
        raise ReadError(path, f"expected at most {MAX_FILE_BYTES} bytes, got {status.st_size}")
    with open(fd, "rb", closefd=False) as file:
        return file.read(MAX_FILE_BYTES + 1)


def list_files(path: Path, *, is_directory: bool) -> list[Path]:
    """Return the files of a version: the path itself, or a directory's server files by name.

    Raises ReadError.
    """
    if not is_directory:
        return [path]
    try:
        names = sorted(entry.name for entry in os.scandir(path) if _is_server_file_name(entry.name))
    except OSError as error:
        raise ReadError(path, error.strerror or str(error)) from None
    if not names:
        raise ReadError(path, f"expected files that end in {' or '.join(FILE_SUFFIXES)}")
    if len(names) > MAX_FILES:
        raise ReadError(path, f"expected at most {MAX_FILES} files, got {len(names)}")
    return [path / name for name in names]


def _is_server_file_name(name: str) -> bool:
    is_hidden_or_backup = name.startswith((".", "#"))
    return name.endswith(FILE_SUFFIXES) and not is_hidden_or_backup


def read_files(path: Path, *, is_directory: bool) -> list[SourceFile]:
    """Return all files of one version.  Raises ReadError."""
    files = []
    total_bytes = 0
    for file_path in list_files(path, is_directory=is_directory):
        data = read_regular_file(file_path)
        files.append(SourceFile(file_path.name, data))
        total_bytes += len(data)
        if total_bytes > MAX_FILE_BYTES:
            raise ReadError(path, f"expected at most {MAX_FILE_BYTES} bytes in all files")
    return files


def digest_of(files: list[SourceFile]) -> str:
    """Return one SHA-256 digest of the names and bytes of all files."""
    digest = hashlib.sha256()
    for file in files:
        name = file.name.encode(errors="replace")
        digest.update(b"%d %d %s\n" % (len(file.name), len(file.data), name))
        digest.update(file.data)
    return digest.hexdigest()


def checksums_match(files: list[SourceFile]) -> bool | None:
    """Return whether all checksum lines match; None if a file has none."""
    results = [checksum_matches(file.data) for file in files]
    if False in results:
        return False
    return None if None in results else True


@dataclass(frozen=True, slots=True)
class FileFingerprint:
    """Metadata of a file that change with its content."""

    name: str
    device: int
    inode: int
    size: int
    modified_ns: int
    status_changed_ns: int


Fingerprint = tuple[FileFingerprint, ...]


def fingerprint(path: Path, *, is_directory: bool) -> Fingerprint | None:
    """Return the fingerprint of all files; None if one can't be read or has just changed."""
    fingerprints = []
    try:
        for file_path in list_files(path, is_directory=is_directory):
            status = file_path.stat()
            if (
                time.time_ns() - max(status.st_mtime_ns, status.st_ctime_ns)
                < _TIMESTAMP_RESOLUTION_NS
            ):
                return None
            fingerprints.append(
                FileFingerprint(
                    name=file_path.name,
                    device=status.st_dev,
                    inode=status.st_ino,
                    size=status.st_size,
                    modified_ns=status.st_mtime_ns,
                    status_changed_ns=status.st_ctime_ns,
                )
            )
    except (OSError, ReadError):
        return None
    return tuple(fingerprints)
