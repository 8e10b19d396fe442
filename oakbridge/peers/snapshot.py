"""A member's state across restarts: its generation and the addresses of other members.

It is a JSON file that is replaced atomically; :func:`encode` and :func:`decode` define its format.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oakbridge.peers.messages import MAX_NAME_LENGTH, MAX_TEXT_LENGTH
from oakbridge.sources.atomic_file import write_atomically

MAX_SNAPSHOT_BYTES = 4 * 1024 * 1024
MAX_SEEDS = 64  # addresses of a snapshot that are used as seeds
MAX_GENERATION = 2**62 - 1
EXPECTED_FORM = '{"life": NUMBER, "members": [[NAME, ADDRESS], ...]}'


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The last generation, and names and addresses of live members."""

    generation: int = 0
    members: tuple[tuple[str, str], ...] = ()  # name, address

    def seeds(self) -> tuple[str, ...]:
        """Return addresses to use as seeds besides the configured ones."""
        return tuple(address for _, address in self.members[:MAX_SEEDS])


class SnapshotError(ValueError):
    """A snapshot file that is invalid or can't be read."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


def encode(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as JSON."""
    return json.dumps({"life": snapshot.generation, "members": snapshot.members}).encode()


def decode(data: bytes) -> Snapshot:
    """Decode a snapshot from JSON.  Raises ValueError, KeyError or TypeError."""
    stored = json.loads(data)
    members = tuple((name, address) for name, address in stored["members"])
    if not _is_generation(stored["life"]) or not all(map(_is_text, _flatten(members))):
        raise ValueError
    return Snapshot(stored["life"], members)


def _is_generation(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_GENERATION


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= max(MAX_NAME_LENGTH, MAX_TEXT_LENGTH)


def _flatten(members: tuple[tuple[Any, Any], ...]) -> list[Any]:
    return [value for member in members for value in member]


def load(path: Path) -> Snapshot:
    """Read a snapshot; return an empty one if there is no file.  Raises SnapshotError."""
    try:
        if path.stat().st_size > MAX_SNAPSHOT_BYTES:
            raise SnapshotError(path, f"expected at most {MAX_SNAPSHOT_BYTES} bytes")
        return decode(path.read_bytes())
    except SnapshotError:
        raise
    except FileNotFoundError:
        return Snapshot()
    except OSError as error:
        raise SnapshotError(path, error.strerror or str(error)) from None
    except (ValueError, KeyError, TypeError, RecursionError):
        raise SnapshotError(path, f"expected {EXPECTED_FORM}") from None


def save(path: Path, snapshot: Snapshot) -> None:
    """Replace the snapshot file atomically.  Raises OSError."""
    write_atomically(path, encode(snapshot))
