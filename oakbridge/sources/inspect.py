"""A server file looked at once, for people: its servers or its mistakes with their lines, and what it changes."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from oakbridge.sources.files import CantRead, digest_of, read_all
from oakbridge.sources.formats import Parsed, Problem, parse
from oakbridge.sources.locate import located


@dataclass(frozen=True, slots=True)
class Inspection:
    """What one look at a file or a directory found."""

    digest: str
    parsed: Parsed
    problems: list[Problem]


def inspect(path: Path, directory: bool | None = None) -> Inspection:
    """Read and check; a directory is taken as one where it is one, if not said."""
    try:
        files = read_all(path, path.is_dir() if directory is None else directory)
    except CantRead as e:
        return Inspection("", Parsed(), [Problem(str(path), (), str(e).removeprefix(f"{path}: "))])
    parsed = parse(files)
    return Inspection(digest_of(files), parsed, located(files, parsed.problems))
