"""Poll the server files on the disk, and keep the files read last for their validation."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from oakbridge.sources.decoding import SourceFile
from oakbridge.sources.errors import ReadError
from oakbridge.sources.reading import (
    Fingerprint,
    checksums_match,
    digest_of,
    fingerprint,
    read_files,
)
from oakbridge.sources.tracker_messages import FilesMissing, FilesRead


@dataclass(frozen=True, slots=True)
class _CachedResult:
    fingerprint: Fingerprint
    result: FilesRead


@dataclass(frozen=True, slots=True)
class _LastRead:
    digest: str
    files: list[SourceFile]


class FilePoller:
    """Reads the files of one path.  ``poll`` blocks and runs in a thread, one at a time."""

    def __init__(self, path: Path, *, is_directory: bool) -> None:
        self._path = path
        self._is_directory = is_directory
        self._cached: _CachedResult | None = None
        self._last_read: _LastRead | None = None

    def poll(self) -> FilesRead | FilesMissing:
        """Return the state of the files; files with an unchanged fingerprint are not read again."""
        before = self._fingerprint()
        if before is not None and self._cached is not None and self._cached.fingerprint == before:
            return self._cached.result
        self._cached = None
        try:
            files = read_files(self._path, is_directory=self._is_directory)
        except ReadError as error:
            return FilesMissing(str(error))
        result = FilesRead(digest_of(files), checksums_match(files))
        self._last_read = _LastRead(result.digest, files)
        if before is not None and self._fingerprint() == before:
            self._cached = _CachedResult(before, result)
        return result

    def files_with(self, digest: str) -> list[SourceFile] | None:
        """Return the files that were read last; None if their digest is another one."""
        if self._last_read is None or self._last_read.digest != digest:
            return None
        return self._last_read.files

    def _fingerprint(self) -> Fingerprint | None:
        return fingerprint(self._path, is_directory=self._is_directory)
