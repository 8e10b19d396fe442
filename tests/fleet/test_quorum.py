"""Who wins a round for the lease: each outcome, and that two candidates never both go on."""

import random

import pytest

from oakbridge.fleet.quorum import (
    BACKOFF_S,
    MAX_ROUNDS,
    ElectionResult,
    Votes,
    backoff_s,
    decide,
)


@pytest.mark.parametrize(
    ("votes", "round_index", "result"),
    [
        (Votes("kari", 5, granted=3), 0, ElectionResult.WON),
        (Votes("kari", 5, granted=3, rival_holders=["ola", "ola"]), 0, ElectionResult.WON),
        (Votes("kari", 5, granted=2), 0, ElectionResult.LOST),  # three do not answer
        (Votes("kari", 5, granted=2, rival_holders=["ola"] * 3), 0, ElectionResult.LOST),
        (Votes("kari", 4, granted=2, rival_holders=["ola"] * 2), 0, ElectionResult.RETRY),
        (Votes("ola", 4, granted=2, rival_holders=["kari"] * 2), 0, ElectionResult.LOST),
        (Votes("ola", 6, granted=3, rival_holders=["kari", "per"]), 0, ElectionResult.RETRY),
        (Votes("ola", 6, granted=1, rival_holders=["kari", "kari", "per"]), 0, ElectionResult.LOST),
        (
            Votes("kari", 4, granted=2, rival_holders=["ola"] * 2),
            MAX_ROUNDS - 1,
            ElectionResult.LOST,
        ),
    ],
)
def test_each_result_of_a_round(votes, round_index, result):
    assert decide(votes, round_index) is result


def test_of_two_candidates_that_share_a_fleet_one_goes_on():
    for agent_count in range(2, 12):
        for kari in range(1, agent_count):
            ola = agent_count - kari
            results = [
                decide(Votes("kari", agent_count, kari, ["ola"] * ola), 0),
                decide(Votes("ola", agent_count, ola, ["kari"] * kari), 0),
            ]
            assert results.count(ElectionResult.LOST) == 1


def test_the_backoff_grows_with_the_round_and_is_random():
    rng = random.Random(1)
    for round_index in range(MAX_ROUNDS):
        delays = [backoff_s(round_index, rng) for _ in range(100)]
        base = BACKOFF_S * (round_index + 1)
        assert min(delays) >= 0.5 * base
        assert max(delays) <= 1.5 * base
        assert len(set(delays)) == 100
