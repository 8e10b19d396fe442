"""A round for the lease: each result, and that two candidates never both continue."""

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
        (Votes("kari", 5, granted=2), 0, ElectionResult.LOST),  # three agents do not respond
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
def test_result_of_a_round(votes, round_index, result):
    assert decide(votes, round_index) is result


def test_one_of_two_candidates_continues():
    for agent_count in range(2, 12):
        for kari_granted in range(1, agent_count):
            ola_granted = agent_count - kari_granted
            results = [
                decide(Votes("kari", agent_count, kari_granted, ["ola"] * ola_granted), 0),
                decide(Votes("ola", agent_count, ola_granted, ["kari"] * kari_granted), 0),
            ]
            assert results.count(ElectionResult.LOST) == 1


def test_backoff_grows_with_the_round_and_is_random():
    rng = random.Random(1)
    for round_index in range(MAX_ROUNDS):
        delays_s = [backoff_s(round_index, rng) for _ in range(100)]
        mean_s = BACKOFF_S * (round_index + 1)
        assert min(delays_s) >= 0.5 * mean_s
        assert max(delays_s) <= 1.5 * mean_s
        assert len(set(delays_s)) == 100
