"""The figures of load distribution, each with an uneven choice of servers planted for it."""

import random

import pytest

from oakbridge.lab import load_distribution
from oakbridge.lab.schedule import Span

S = load_distribution.SECOND_US
SERVERS, SECONDS = 40, 60


def make_visits(choose=None, seed=1, rate=200.0, duration_us=S // 10, **fields):
    """Return visits at random times; ``choose`` selects the server, by default at random."""
    rng = random.Random(seed)
    at_us, rows = 0.0, []
    while (at_us := at_us + rng.expovariate(rate / S)) < SECONDS * S:
        server = choose(rng, at_us) if choose else rng.randrange(SERVERS)
        rows.append((server, int(at_us), int(at_us) + duration_us))
    return load_distribution.Visits(rows, [1 / SERVERS] * SERVERS, 1, SECONDS * S, **fields)


def prefer_some(rng, at_us):
    return rng.choice([*range(SERVERS), *range(SERVERS // 4)])


def skip_one(rng, at_us):
    return rng.randrange(SERVERS - (20 * S < at_us < 40 * S))


def herd_to_two(rng, at_us):
    return (
        rng.randrange(2)
        if 30 * S <= at_us < 31 * S and rng.random() < 0.5
        else rng.randrange(SERVERS)
    )


@pytest.mark.parametrize("seed", range(3))
def test_random_choices_give_the_figures_of_chance(seed):
    fair = make_visits(seed=seed)
    assert load_distribution.load_ratio_over_chance(fair) == pytest.approx(1, abs=0.08)
    assert load_distribution.load_variation(fair) == pytest.approx(
        1 / 50**0.5, rel=0.2
    )  # 50 requests per window and server
    assert abs(load_distribution.idle_beyond_chance(fair)) < 1.5
    assert load_distribution.choice_similarity(fair, [30 * S]) == pytest.approx(1, abs=0.6)
    assert load_distribution.herd_peak(fair, [30 * S]) < 1.6


@pytest.mark.parametrize(
    ("figure", "choose", "minimum"),
    [
        (load_distribution.load_ratio_over_chance, prefer_some, 1.2),
        (load_distribution.load_variation, prefer_some, 0.35),
        (load_distribution.idle_beyond_chance, skip_one, 15),
        (
            lambda visits: load_distribution.herd_peak(visits, [10 * S, 30 * S]),
            herd_to_two,
            2.5,
        ),
        (
            lambda visits: load_distribution.choice_similarity(visits, [10 * S, 30 * S]),
            herd_to_two,
            5,
        ),
    ],
)
def test_each_figure_shows_the_uneven_choice_planted_for_it(figure, choose, minimum):
    assert figure(make_visits(choose)) > minimum > 1.1 * figure(make_visits())


def test_unavailable_servers_are_left_out():
    unavailable = {SERVERS - 1: [Span(20 * S, 40 * S)]}
    visits = make_visits(skip_one, unavailable=unavailable)
    assert load_distribution.idle_beyond_chance(visits) < 1.5
    assert load_distribution.load_ratio_over_chance(visits) == pytest.approx(1, abs=0.1)


def test_idle_while_waiting_is_a_fraction_of_server_time():
    # Two servers with one worker each: for two seconds requests wait at the first server, while the
    # second one is idle.
    rows = [(0, 0, S), (0, 0, 2 * S), (0, 0, 3 * S), (1, 3 * S, 4 * S)]
    visits = load_distribution.Visits(rows, [0.5, 0.5], 1, 4 * S)
    assert load_distribution.idle_while_waiting(visits) == pytest.approx(2 / 8)
    visits.unavailable = {1: [Span(0, S)]}
    assert load_distribution.idle_while_waiting(visits) == pytest.approx(1 / 8)
    busy = load_distribution.Visits(
        [(0, 0, 4 * S), (0, 0, 4 * S), (1, 0, 4 * S)], [0.5, 0.5], 1, 4 * S
    )
    assert load_distribution.idle_while_waiting(busy) == 0


def test_figures_without_visits_are_none():
    empty = load_distribution.Visits([], [1.0], 1, S)
    assert {
        figure(empty)
        for figure in (
            load_distribution.load_ratio_percentile,
            load_distribution.load_ratio_over_chance,
            load_distribution.load_variation,
            load_distribution.idle_beyond_chance,
        )
    } == {None}
    assert load_distribution.herd_peak(empty, [0]) is None
    assert load_distribution.choice_similarity(empty, [0]) is None
