"""Decide which operator has won the fleet's lease, from the responses of its agents.  No I/O.

Two strict majorities share an agent, and an agent grants its lease to one holder at a time, so two
operators never both win.  Both may fail if each has the lease of some agents.  Then the operator
with more agents (on a tie, the one whose name sorts first) releases them and tries again after a
random backoff, and the others give up at once.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

MAX_ROUNDS = 8  # an operator gives up after this many rounds
BACKOFF_S = 0.05  # is multiplied by the round's number, from 1, and by a random 0.5 to 1.5


class ElectionResult(Enum):
    """The result of a round for one operator."""

    WON = "won"
    RETRY = "retry"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Votes:
    """The agents' responses to one operator in one round."""

    candidate: str
    agent_count: int
    granted: int  # the number of agents that granted the lease
    # The holder at each agent that denied the lease because another operator has it.
    rival_holders: Sequence[str] = ()


def majority(agent_count: int) -> int:
    """Return the size of a strict majority; any two majorities share an agent."""
    return agent_count // 2 + 1


def decide(votes: Votes, round_index: int) -> ElectionResult:
    """Return the result of a round; the first round has index 0."""
    needed = majority(votes.agent_count)
    if votes.granted >= needed:
        return ElectionResult.WON
    if not votes.rival_holders:  # too few agents respond; another round changes nothing
        return ElectionResult.LOST
    if round_index + 1 >= MAX_ROUNDS:
        return ElectionResult.LOST
    rival, rival_votes = _strongest_rival(votes.rival_holders)
    if rival_votes >= needed:
        return ElectionResult.LOST
    is_ahead = votes.granted > rival_votes
    wins_tie = votes.granted == rival_votes and votes.candidate < rival
    return ElectionResult.RETRY if is_ahead or wins_tie else ElectionResult.LOST


def _strongest_rival(holders: Sequence[str]) -> tuple[str, int]:
    """Return the holder at the most agents, on a tie the first by name, and their number."""
    return min(Counter(holders).items(), key=lambda item: (-item[1], item[0]))


def backoff_s(round_index: int, rng: random.Random) -> float:
    """Return the delay in seconds after the round with this index."""
    return BACKOFF_S * (round_index + 1) * rng.uniform(0.5, 1.5)
