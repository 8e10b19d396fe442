"""Each node's place: it is number I of N in its tier, so that subsets can be cut without two overlapping by chance.

Everyone orders the names by their hash; views that agree give places that agree.  While views differ places may
overlap, which costs evenness and nothing else; so a place moves only when it has been the same for a while, and not at
all while a part is out of reach: those cut off still have theirs.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from oakbridge.peers.stance import GIVE_UP, MOVE, Stance, use

SETTLE = 3_000_000  # microseconds that a new place must have held


@dataclass(frozen=True, slots=True)
class Place:
    """Number ``index`` (from 0) of ``of``."""

    index: int
    of: int


def place(me: str, names: Iterable[str]) -> Place:
    """The place among these names, of which ``me`` is one."""
    order = sorted(set(names) | {me}, key=lambda n: hashlib.blake2b(n.encode(), digest_size=8).digest())
    return Place(order.index(me), len(order))


class Places:
    """This node's place over time."""

    def __init__(self, me: str, settle: int = SETTLE) -> None:
        self.now: Place | None = None
        self._me, self._settle = me, settle
        self._next: Place | None = None
        self._since = 0

    @property
    def waiting(self) -> bool:
        """Whether a new place has still to settle."""
        return self._next is not None

    def update(self, now: int, stance: Stance, names: Iterable[str]) -> Place | None:
        """The new place where it has changed, None where it has not.  ``names``: of its tier, in reach."""
        does = use("this node's place among its tier").does(stance.kind)
        if does == GIVE_UP:
            self.now = None
        if does != MOVE:
            self._next = None
            return None
        wanted = place(self._me, names)
        if wanted == self.now:
            self._next = None
        elif wanted != self._next:
            self._next, self._since = wanted, now
        elif now - self._since >= self._settle:
            self.now, self._next = wanted, None
            return wanted
        return None
