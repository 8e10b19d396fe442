"""Reads the change that the options of ``oakbridge fleet apply`` describe."""

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


def read_change(files: Path | None, servers: Path | None, settings: tuple[str, ...]) -> Change:
    """Return the change that the one option given describes.

    Raises InvalidInputError if none or several are given, or the change is invalid.
    """
    if sum(1 for given in (files, servers, settings) if given) != 1:
        raise InvalidInputError("apply: expected one of --files, --servers or --set")
    if files is not None:
        return ReplaceFiles(_read_files(files))
    if servers is not None:
        return ReplaceServerFile(_read_server_file(servers))
    try:
        return SetValues(dict(parse_setting(setting) for setting in settings))
    except ChangeError as error:
        raise InvalidInputError(str(error)) from None


def _read_files(folder: Path) -> Files:
    """Return the content of the folder's files by name, without hidden ones.

    Raises InvalidInputError if they can't be read or are no valid generation.
    """
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
