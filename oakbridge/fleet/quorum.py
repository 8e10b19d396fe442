"""Decide who has won the lease over a fleet, by what its agents answered.  Pure.

Two strict majorities share an agent, and an agent grants its lease to one holder at a time; so two
operators never both win.  They may both fail to, when each has a part of the fleet: then the one
with the larger part (on a tie, the one whose name sorts first) gives its part back and asks again
after a random backoff, and the others give up at once.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

MAX_ROUNDS = 8  # of one operator before it gives up
BACKOFF_S = 0.05  # times the round's number, from 1, times a random 0.5 to 1.5


class ElectionResult(Enum):
    """What a round came to."""

    WON = "won"
    RETRY = "retry"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Votes:
    """The agents' answers to one round."""

    candidate: str
    agent_count: int
    granted: int
    rival_holders: Sequence[
        str
    ] = ()  # who holds the lease at agents that refused, once for each agent


def majority(agent_count: int) -> int:
    """Return how many of so many agents an operator needs: any two such sets share one."""
    return agent_count // 2 + 1


def decide(votes: Votes, round_index: int) -> ElectionResult:
    """Return what comes of the round with this index, from 0."""
    needed = majority(votes.agent_count)
    if votes.granted >= needed:
        return ElectionResult.WON
    if not votes.rival_holders:  # too few answer: asking again changes nothing
        return ElectionResult.LOST
    if round_index + 1 >= MAX_ROUNDS:
        return ElectionResult.LOST
    rival, rival_votes = _strongest_rival(votes.rival_holders)
    if rival_votes >= needed:
        return ElectionResult.LOST
    ahead = votes.granted > rival_votes
    tie_won = votes.granted == rival_votes and votes.candidate < rival
    return ElectionResult.RETRY if ahead or tie_won else ElectionResult.LOST


def _strongest_rival(holders: Sequence[str]) -> tuple[str, int]:
    """Return the holder at most agents, on a tie the first by name, and its number of agents."""
    return min(Counter(holders).items(), key=lambda item: (-item[1], item[0]))


def backoff_s(round_index: int, rng: random.Random) -> float:
    """Return the seconds to wait after the round with this index."""
    return BACKOFF_S * (round_index + 1) * rng.uniform(0.5, 1.5)
