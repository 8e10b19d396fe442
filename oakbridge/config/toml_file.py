"""Read a TOML file and check it against a model; all problems are reported at once, with lines."""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeVar

from pydantic import ValidationError

from oakbridge.config.errors import ConfigFileError
from oakbridge.config.field_types import Table
from oakbridge.config.validation_problems import problem_of
from oakbridge.node.system_errors import is_read_error
from oakbridge.sources.decoding import BYTE_ORDER_MARK, FileKind, decode_toml, decode_utf8
from oakbridge.sources.errors import DecodeError
from oakbridge.sources.field_lines import field_lines
from oakbridge.sources.problem import Problem

MAX_FILE_BYTES = 4 * 1024 * 1024

T = TypeVar("T", bound=Table)


def read_bounded(path: Path) -> bytes:
    """Return a file's bytes.  Raises ConfigFileError if it is unreadable or too long."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            expected = f"expected at most {MAX_FILE_BYTES} bytes"
            raise ConfigFileError([Problem(str(path), (), expected)])
        return path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        problem = Problem(str(path), (), reason)
        raise ConfigFileError([problem], is_transient=is_read_error(error)) from None


def parse_tables(data: bytes, file: str, model: type[T]) -> T:
    """Return a TOML file's tables.  Raises ConfigFileError with every problem.

    ``file`` is the file's name in problems, ``model`` the definition of the whole file.
    """
    raw = _decode(data, file)
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        lines = field_lines(data, FileKind.TOML)
        problems = [
            problem_of(file, details, lines, model) for details in error.errors(include_url=False)
        ]
        raise ConfigFileError(in_file_order(problems)) from None


def in_file_order(problems: list[Problem]) -> list[Problem]:
    """Return the problems sorted by line, then by field."""
    return sorted(problems, key=lambda problem: (problem.line or 0, problem.field_name()))


def _decode(data: bytes, file: str) -> dict[str, Any]:
    try:
        return decode_toml(decode_utf8(data.removeprefix(BYTE_ORDER_MARK)))
    except DecodeError as error:
        raise ConfigFileError([Problem(file, (), error.expected, error.line)]) from None
