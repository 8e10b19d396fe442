"""Read server files once, for commands: the servers, or the problems with their lines."""

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
    """The result of reading a file or a directory once."""

    digest: str
    parsed: ParsedServers
    problems: list[Problem]


def inspect_server_files(path: Path, is_directory: bool | None = None) -> Inspection:
    """Read and check a file, or all files of a directory.

    ``is_directory`` None: whether the path is a directory decides.
    """
    if is_directory is None:
        is_directory = path.is_dir()
    try:
        files = read_files(path, is_directory=is_directory)
    except ReadError as error:
        return Inspection("", ParsedServers(), [Problem(str(path), (), error.reason)])
    parsed = parse(files)
    return Inspection(digest_of(files), parsed, with_lines(files, parsed.problems))
