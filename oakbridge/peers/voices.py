"""What the words of others on failing servers are worth.  Pure.

Each member has one voice, which it divides: who names many servers is likelier ill itself, or cut off, than all of them
are.  A lone voice counts for nothing, so that no single member, lying or ill, changes what another one does.  And all
voices together only set where a node's own reckoning begins once a call of its own has failed (``api.Doubted``): at
even odds at most, so that one failure is enough where it takes two.  Without a failure of its own nothing changes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from oakbridge.peers.messages import NodeReport
from oakbridge.peers.stance import HEED, use

FRESH = 10_000_000  # microseconds; an older word says nothing of the present
NAMES = 2  # servers that a voice may name at full weight
ENOUGH = 2.0  # voices beyond the first, for all that voices can do


@dataclass(frozen=True, slots=True)
class Doubt:
    """What is said of one server."""

    weight: float  # 0 to 1
    voices: float  # that count, each at most 1
    by: tuple[str, ...] = field(default=())


def doubts(kind: str, facts: Iterable[tuple[NodeReport, int]], own: str) -> dict[str, Doubt]:
    """Each server that others find failing.

    ``kind``: the stance; ``facts``: what others said of their present and its age in microseconds; ``own``: this
    member's name, whose voice is not hearsay.
    """
    if use("others' word on failing servers").does(kind) != HEED:
        return {}
    said: dict[str, dict[str, float]] = {}
    for fact, age in facts:
        if fact.name != own and age <= FRESH:
            named = dict.fromkeys(fact.failing_servers)
            for server in named:
                said.setdefault(server, {})[fact.name] = min(1.0, NAMES / len(named))
    found = {}
    for server, words in said.items():
        voices = sum(words.values())
        weight = min(1.0, max(0.0, voices - 1.0) / ENOUGH)
        found[server] = Doubt(weight, voices, tuple(sorted(words)))
    return found
