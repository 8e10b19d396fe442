"""Who has won the lease over a fleet, by what its agents answered: pure.

Two strict majorities share an agent, and an agent promises to one at a time; so two operators never both win.  They
may both fail to, when each has a part of the fleet: then the one with the larger part (on a tie, the one whose name
sorts first) gives its part back and asks again after a random while, and the others give way at once.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

ROUNDS = 8  # bids of one operator before it gives way
PAUSE_S = 0.05  # times the round, times a random 0.5 to 1.5: between giving back and the next bid


def majority(of: int) -> int:
    """How many of so many agents an operator needs: any two such sets share one."""
    return of // 2 + 1


class Word(Enum):
    """What a bid came to."""

    WON = "won"
    AGAIN = "again"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Bid:
    """The answers to one bid: how many granted it, and who stands in the way at those that did not."""

    me: str
    of: int
    granted: int
    holders: Sequence[str] = ()


def decide(bid: Bid, number: int) -> Word:
    """What comes of the bid of this number (from 0)."""
    if bid.granted >= majority(bid.of):
        return Word.WON
    if not bid.holders or number + 1 >= ROUNDS:
        return Word.LOST  # too few answer: asking again changes nothing
    rival, has = min(Counter(bid.holders).items(), key=lambda item: (-item[1], item[0]))
    if has >= majority(bid.of):
        return Word.LOST
    ahead = bid.granted > has or (bid.granted == has and bid.me < rival)
    return Word.AGAIN if ahead else Word.LOST


def pause(number: int, draw: random.Random) -> float:
    """Seconds before the next bid."""
    return PAUSE_S * (number + 1) * draw.uniform(0.5, 1.5)
