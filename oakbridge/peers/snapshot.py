"""What a member keeps over a restart: its generation, and where others were.  A file written whole."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

from oakbridge.peers.messages import MAX_NAME, MAX_TEXT
from oakbridge.sources.files import write_whole

MAX_BYTES = 4 * 1024 * 1024
MOST_SEEDS = 64


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The last generation, and addresses to join by."""

    generation: int = 0
    members: tuple[tuple[str, str], ...] = ()  # name, address

    def seeds(self) -> tuple[str, ...]:
        """Addresses to try, besides those that are configured."""
        return tuple(address for _, address in self.members[:MOST_SEEDS])


class BadSnapshot(ValueError):
    """A file that is no snapshot; the text names it and says what was expected."""


def load(path: Path) -> Snapshot:
    """The snapshot; an empty one where there is no file.  Raises :class:`BadSnapshot`."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise BadSnapshot(f"{path}: expected at most {MAX_BYTES} bytes")
        found = json.loads(path.read_bytes())
        generation, rows = found["life"], found["members"]
        members = tuple((name, address) for name, address in rows)
        texts = all(
            isinstance(word, str) and 0 < len(word) <= max(MAX_NAME, MAX_TEXT) for m in members for word in m
        )
        if (
            not isinstance(generation, int)
            or isinstance(generation, bool)
            or not 0 <= generation < 2**62
            or not texts
        ):
            raise ValueError
    except FileNotFoundError:
        return Snapshot()
    except OSError as e:
        raise BadSnapshot(f"{path}: {e.strerror or e}") from None
    except (ValueError, KeyError, TypeError, RecursionError):
        raise BadSnapshot(f'{path}: expected {{"life": NUMBER, "members": [[NAME, ADDRESS], ...]}}') from None
    return Snapshot(generation, members)


def save(path: Path, snapshot: Snapshot) -> None:
    """Write it whole.  Raises OSError."""
    write_whole(path, json.dumps({"life": snapshot.generation, "members": snapshot.members}).encode())
