"""Read server files once, for people: their servers, or their mistakes with lines."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from oakbridge.sources.errors import ReadError
from oakbridge.sources.field_lines import with_lines
from oakbridge.sources.parsing import parse
from oakbridge.sources.problem import Problem
from oakbridge.sources.reading import digest_of, read_files
from oakbridge.sources.server_row import ParsedServers


@dataclass(frozen=True, slots=True)
class Inspection:
    """What one reading of a file or a directory found."""

    digest: str
    parsed: ParsedServers
    problems: list[Problem]


def inspect_server_files(path: Path, is_directory: bool | None = None) -> Inspection:
    """Read and check a file, or all files of a directory; by default what the path is decides."""
    if is_directory is None:
        is_directory = path.is_dir()
    try:
        files = read_files(path, is_directory=is_directory)
    except ReadError as error:
        return Inspection("", ParsedServers(), [Problem(str(path), (), error.reason)])
    parsed = parse(files)
    return Inspection(digest_of(files), parsed, with_lines(files, parsed.problems))
