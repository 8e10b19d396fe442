"""Reads the change of ``oakbridge fleet apply`` from its options."""

from __future__ import annotations

from pathlib import Path

from oakbridge.agent.errors import StoreError
from oakbridge.agent.generations import check_files
from oakbridge.cli.common import InvalidInputError
from oakbridge.rollout.change import (
    CONFIG_FILE,
    DRAIN_MARKER,
    Change,
    Files,
    ReplaceFiles,
    ReplaceServerFile,
    SetValues,
)
from oakbridge.rollout.change_error import ChangeError
from oakbridge.rollout.setting_path import parse_setting


def read_change(files: Path | None, servers: Path | None, values: tuple[str, ...]) -> Change:
    """Return the change of the options, exactly one of which must be given.  Raise InvalidInputError."""
    if sum(1 for given in (files, servers, values) if given) != 1:
        raise InvalidInputError("apply: expected one of --files, --servers or --set")
    if files is not None:
        return ReplaceFiles(_read_files(files))
    if servers is not None:
        return ReplaceServerFile(_read_server_file(servers))
    try:
        return SetValues(dict(parse_setting(value) for value in values))
    except ChangeError as error:
        raise InvalidInputError(str(error)) from None


def _read_files(folder: Path) -> Files:
    """Return all files of a folder that are not hidden, by name."""
    try:
        files = {
            path.name: path.read_text("utf-8")
            for path in sorted(folder.iterdir())
            if path.is_file() and not path.name.startswith(".")
        }
        check_files(files)
    except OSError as error:
        raise InvalidInputError(f"{folder}: {error.strerror}") from None
    except (UnicodeDecodeError, StoreError) as error:
        raise InvalidInputError(f"{folder}: {error}") from None
    if CONFIG_FILE not in files:
        raise InvalidInputError(f"{folder}: expected a file {CONFIG_FILE}")
    if DRAIN_MARKER in files:
        raise InvalidInputError(f"{folder}: {DRAIN_MARKER}: this name is kept for `fleet drain`")
    return files


def _read_server_file(path: Path) -> str:
    try:
        return path.read_text("utf-8")
    except OSError as error:
        raise InvalidInputError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidInputError(f"{path}: {error}") from None
