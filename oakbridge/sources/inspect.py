"""A server file looked at once, for people: its servers or its mistakes with their lines, and what it changes."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from oakbridge.sources.errors import ReadError
from oakbridge.sources.field_lines import with_lines
from oakbridge.sources.files import digest_of, read_all
from oakbridge.sources.parsing import parse
from oakbridge.sources.problem import Problem
from oakbridge.sources.server_row import ParsedServers


@dataclass(frozen=True, slots=True)
class Inspection:
    """What one look at a file or a directory found."""

    digest: str
    parsed: ParsedServers
    problems: list[Problem]


def inspect(path: Path, directory: bool | None = None) -> Inspection:
    """Read and check; a directory is taken as one where it is one, if not said."""
    try:
        files = read_all(path, path.is_dir() if directory is None else directory)
    except ReadError as e:
        return Inspection("", ParsedServers(), [Problem(str(path), (), e.reason)])
    parsed = parse(files)
    return Inspection(digest_of(files), parsed, with_lines(files, parsed.problems))
