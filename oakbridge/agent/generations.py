"""The folders of generations, and each instance's link to its current generation.

    instances/NAME/gen-00000012/      the files of a generation, written once
    instances/NAME/current -> gen-00000012

A folder with this name is always complete: its files are synced before a rename gives it the name.
The link is replaced by a rename.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import re
import shutil
from pathlib import Path

from oakbridge.agent.errors import StoreError, StoreUnavailableError
from oakbridge.agent.records import Generation, InstanceRecord

MAX_FILES = 64
MAX_TOTAL_BYTES = 32 * 1024 * 1024
RETAINED_GENERATIONS = 8  # the newest ones of an instance stay on disk, for rollbacks
FOLDER_PREFIX = "gen-"
TEMPORARY_SUFFIX = ".tmp"
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")

Files = dict[str, str]  # a generation's files: text by name


def check_name(name: str, field: str) -> str:
    """Return the name if it is safe as a part of a path; ``field`` is where it comes from.

    Raises:
        StoreError: if the name is not safe.
    """
    if not _NAME_PATTERN.fullmatch(name) or name.endswith(TEMPORARY_SUFFIX):
        raise StoreError(
            field, f"expected up to 100 letters, digits, dots or dashes, got {name!r:.120}"
        )
    return name


def check_files(files: Files) -> None:
    """Check a generation's files before they are written.

    Raises:
        StoreError: if there are none, too many or too large ones, or a name is not safe.
    """
    if not files or len(files) > MAX_FILES:
        raise StoreError("files", f"expected 1 to {MAX_FILES}, got {len(files)}")
    for name in files:
        check_name(name, "files")
    total = sum(len(text.encode()) for text in files.values())
    if total > MAX_TOTAL_BYTES:
        raise StoreError("files", f"expected at most {MAX_TOTAL_BYTES} bytes, got {total}")


def digest_of(files: Files) -> str:
    """Return a generation's digest: the SHA-256 of the names and contents of all files."""
    canonical = json.dumps(files, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


class GenerationFolders:
    """The generations of all instances of an agent."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def instance_folder(self, instance: str) -> Path:
        """Return the folder of an instance."""
        return self._folder / check_name(instance, "instance")

    def generation_folder(self, instance: str, generation: Generation) -> Path:
        """Return the folder of a generation."""
        return self.instance_folder(instance) / f"{FOLDER_PREFIX}{generation.number:08d}"

    def current_link(self, instance: str) -> Path:
        """Return the link to the current generation's folder."""
        return self.instance_folder(instance) / "current"

    def current_number(self, instance: str) -> int:
        """Return the number of the generation that the link points at; 0 without a link."""
        try:
            target = self.current_link(instance).readlink()
        except FileNotFoundError:
            return 0
        return int(target.name.removeprefix(FOLDER_PREFIX))

    def stage(self, instance: str, generation: Generation, files: Files) -> None:
        """Write a generation's files; the folder gets its final name once all of them are on disk.

        Raises:
            StoreError: if the files are invalid, or do not match the generation's digest.
            OSError: if the files can't be written.
        """
        check_files(files)
        if digest_of(files) != generation.digest:
            raise StoreError("files", "they are not those of the digest that was told")
        final = self.generation_folder(instance, generation)
        if final.exists():
            shutil.rmtree(final)  # left by a step that was not applied; no link points at it
        temporary = final.with_suffix(TEMPORARY_SUFFIX)
        shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir(mode=0o700, parents=True)
        for name, text in files.items():
            _write_synced(temporary / name, text)
        _sync_folder(temporary)
        temporary.rename(final)
        _sync_folder(final.parent)

    def discard(self, instance: str, generation: Generation) -> None:
        """Delete a generation, unless the link points at it."""
        if self.current_number(instance) != generation.number:
            shutil.rmtree(self.generation_folder(instance, generation), ignore_errors=True)

    def activate(self, instance: str, generation: Generation) -> None:
        """Point the link at a generation, by one rename; for the empty one, remove the link.

        Raises:
            StoreError: if the generation is not staged.
            OSError: if the link can't be renamed.
        """
        link = self.current_link(instance)
        if generation.is_empty:
            link.unlink(missing_ok=True)
        else:
            folder = self.generation_folder(instance, generation)
            if not folder.is_dir():
                raise StoreError(folder, "expected a staged generation")
            temporary = link.with_suffix(TEMPORARY_SUFFIX)
            temporary.unlink(missing_ok=True)
            temporary.symlink_to(folder.name)
            temporary.rename(link)
        _sync_folder(link.parent)

    def read_files(self, instance: str, generation: Generation) -> Files:
        """Return a generation's files from disk.

        Raises:
            StoreError: if there is no such generation.
            StoreUnavailableError: if the disk fails.
        """
        folder = self.generation_folder(instance, generation)
        try:
            return {path.name: path.read_text("utf-8") for path in sorted(folder.iterdir())}
        except (FileNotFoundError, NotADirectoryError) as error:
            raise StoreError(folder, str(error.strerror)) from None
        except OSError as error:
            raise StoreUnavailableError(folder, str(error.strerror)) from None

    def prune(self, instance: str, record: InstanceRecord) -> None:
        """Delete all but the newest generations and those that the record or the link refers to.

        If the disk fails, the remaining ones stay until the next call.
        """
        with contextlib.suppress(OSError):
            self._prune(instance, record)

    def _prune(self, instance: str, record: InstanceRecord) -> None:
        needed = {
            record.current.number,
            record.previous.number,
            self.current_number(instance),
        }
        if record.step is not None:
            needed.add(record.step.target.number)
        folders = sorted(self.instance_folder(instance).glob(f"{FOLDER_PREFIX}*"))
        for folder in folders[:-RETAINED_GENERATIONS]:
            number = folder.name.removeprefix(FOLDER_PREFIX)
            if not number.isdigit() or int(number) not in needed:
                shutil.rmtree(folder, ignore_errors=True)

    def delete(self, instance: str) -> None:
        """Delete all generations of an instance."""
        shutil.rmtree(self.instance_folder(instance), ignore_errors=True)


def _write_synced(path: Path, text: str) -> None:
    with path.open("w", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())


def _sync_folder(folder: Path) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
