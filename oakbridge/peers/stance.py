"""How sure a node is of what it holds of the others, and what each use of that does then.

A pure function from a view to a stance.  Calls by callers are served in every one of them, from the node's own list of
servers: membership never refuses a request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

STARTING, WHOLE, PARTED, ALONE = "starting", "whole", "parted", "alone"

REMEMBER = 3_600_000_000  # microseconds; one that failed longer ago is gone, and not out of reach
LARGE_PART = 0.2  # of those last known; fewer are single failures
LEAST_PART = 2


@dataclass(frozen=True, slots=True)
class Seen:
    """One member as a node holds it, itself included."""

    name: str
    there: bool
    since: int  # in this state
    site: str = ""
    by: str = ""  # by whose word it is not there


@dataclass(frozen=True, slots=True)
class Stance:
    """How sure a node is."""

    kind: str
    known: int  # members last known, itself included; those that left on purpose are not
    lost: int  # of them out of reach
    sites: tuple[str, ...] = ()  # sites of which nobody is in reach
    larger: bool = True  # whether this part is the larger one; of two halves the one with the first name is
    by: tuple[str, ...] = ()  # by whose word, those with most words first

    def __str__(self) -> str:
        """As an operator reads it."""
        if self.kind in (WHOLE, STARTING):
            return f"{self.kind}: {self.known - self.lost} of {self.known} in reach"
        part = f"site {', '.join(self.sites)}" if self.sites else f"{self.lost} of {self.known}"
        side = "the larger part" if self.larger else "the smaller part"
        return (
            f"{self.kind}: {part} out of reach, this is {side}, by the word of {', '.join(self.by) or 'none'}"
        )


def stance(
    me: str, members: Iterable[Seen], now: int, starting: bool = False, replaced: bool = False
) -> Stance:
    """The stance of ``me``; ``members`` are all that it holds, but for those that left."""
    held = [m for m in members if m.there or now - m.since <= REMEMBER]
    there, lost = [m for m in held if m.there], [m for m in held if not m.there]
    in_reach = {m.site for m in there}
    by_site = Counter(m.site for m in lost)
    sites = tuple(sorted(s for s, many in by_site.items() if s and s not in in_reach and many >= LEAST_PART))
    words = Counter(m.by for m in lost if m.by)
    by = tuple(name for name, _ in sorted(words.items(), key=lambda w: (-w[1], w[0]))[:3])
    first = min((m.name for m in held), default=me)
    twice = 2 * len(there)
    larger = twice > len(held) or (twice == len(held) and any(m.name == first for m in there))
    if replaced or (len(there) <= 1 and lost):
        kind = ALONE
    elif starting:
        kind = STARTING
    elif sites or len(lost) >= max(LEAST_PART, LARGE_PART * len(held)):
        kind = PARTED
    else:
        kind = WHOLE
    return Stance(kind, len(held), len(lost), sites, larger, by)


@dataclass(frozen=True, slots=True)
class Use:
    """What one use of membership does in each stance.  The operators' page is made from the same table."""

    name: str
    starting: str
    whole: str
    parted: str
    alone: str

    def does(self, kind: str) -> str:
        """What it does in this stance, in a word and a reason."""
        word = getattr(self, kind)
        assert isinstance(word, str)
        return word


SERVE, WAIT, MOVE, KEEP, GIVE_UP, HEED, IGNORE = (
    "serve", "wait", "move", "keep", "give up", "heed", "ignore",
)  # fmt: skip

USES = (
    Use("callers' requests", SERVE, SERVE, SERVE, SERVE),
    Use("this node's place among its tier", WAIT, MOVE, KEEP, KEEP),
    Use("others' word on failing servers", IGNORE, HEED, HEED, IGNORE),
    Use("others' loads and copies", IGNORE, HEED, HEED, IGNORE),
    Use("a verdict on another site (larger part)", WAIT, HEED, HEED, GIVE_UP),
    Use("a verdict on another site (smaller part)", WAIT, HEED, GIVE_UP, GIVE_UP),
)


def use(name: str) -> Use:
    """The row of this name.  Raises KeyError."""
    return {u.name: u for u in USES}[name]
