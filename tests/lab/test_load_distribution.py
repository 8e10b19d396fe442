"""The figures of load distribution, each with a fault planted for it."""

import random

import pytest

from oakbridge.lab import load_distribution
from oakbridge.lab.schedule import Span

S = load_distribution.SECOND_US
SERVERS, SECONDS = 40, 60


def played(choose=None, seed=1, rate=200.0, takes=S // 10, **more):
    """Requests at random moments; ``choose`` says at which server, any if absent."""
    rng = random.Random(seed)
    at, rows = 0.0, []
    while (at := at + rng.expovariate(rate / S)) < SECONDS * S:
        server = choose(rng, at) if choose else rng.randrange(SERVERS)
        rows.append((server, int(at), int(at) + takes))
    return load_distribution.Visits(rows, [1 / SERVERS] * SERVERS, 1, SECONDS * S, **more)


def twice_for_some(rng, at):
    return rng.choice([*range(SERVERS), *range(SERVERS // 4)])


def one_left_out(rng, at):
    return rng.randrange(SERVERS - (20 * S < at < 40 * S))


def herding(rng, at):
    return (
        rng.randrange(2) if 30 * S <= at < 31 * S and rng.random() < 0.5 else rng.randrange(SERVERS)
    )


@pytest.mark.parametrize("seed", range(3))
def test_chance_alone_is_told_for_what_it_is(seed):
    fair = played(seed=seed)
    assert load_distribution.load_ratio_over_chance(fair) == pytest.approx(1, abs=0.08)
    assert load_distribution.load_variation(fair) == pytest.approx(
        1 / 50**0.5, rel=0.2
    )  # 50 requests a window and server
    assert abs(load_distribution.idle_beyond_chance(fair)) < 1.5
    assert load_distribution.choice_similarity(fair, [30 * S]) == pytest.approx(1, abs=0.6)
    assert load_distribution.herd_peak(fair, [30 * S]) < 1.6


@pytest.mark.parametrize(
    ("figure", "choose", "least"),
    [
        (load_distribution.load_ratio_over_chance, twice_for_some, 1.2),
        (load_distribution.load_variation, twice_for_some, 0.35),
        (load_distribution.idle_beyond_chance, one_left_out, 15),
        (lambda v: load_distribution.herd_peak(v, [10 * S, 30 * S]), herding, 2.5),
        (lambda v: load_distribution.choice_similarity(v, [10 * S, 30 * S]), herding, 5),
    ],
)
def test_each_figure_shows_the_fault_planted_for_it(figure, choose, least):
    assert figure(played(choose)) > least > 1.1 * figure(played())


def test_servers_that_were_not_there_owe_nothing():
    gone = {SERVERS - 1: [Span(20 * S, 40 * S)]}
    there = played(one_left_out, unavailable=gone)
    assert load_distribution.idle_beyond_chance(there) < 1.5
    assert load_distribution.load_ratio_over_chance(there) == pytest.approx(1, abs=0.1)


def test_idle_while_others_wait_is_counted_in_server_seconds():
    # Two servers and one worker each: for two seconds two wait at the first while the second has nothing.
    rows = [(0, 0, S), (0, 0, 2 * S), (0, 0, 3 * S), (1, 3 * S, 4 * S)]
    v = load_distribution.Visits(rows, [0.5, 0.5], 1, 4 * S)
    assert load_distribution.idle_while_waiting(v) == pytest.approx(2 / 8)
    v.unavailable = {1: [Span(0, S)]}
    assert load_distribution.idle_while_waiting(v) == pytest.approx(1 / 8)
    busy = load_distribution.Visits(
        [(0, 0, 4 * S), (0, 0, 4 * S), (1, 0, 4 * S)], [0.5, 0.5], 1, 4 * S
    )
    assert load_distribution.idle_while_waiting(busy) == 0


def test_nothing_is_told_of_nothing():
    empty = load_distribution.Visits([], [1.0], 1, S)
    assert {
        f(empty)
        for f in (
            load_distribution.load_ratio_percentile,
            load_distribution.load_ratio_over_chance,
            load_distribution.load_variation,
            load_distribution.idle_beyond_chance,
        )
    } == {None}
    assert load_distribution.herd_peak(empty, [0]) is None
    assert load_distribution.choice_similarity(empty, [0]) is None
