"""Starts of servers on the node's clock, though wall clocks are stepped by an hour either way."""

import pytest

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.node.start_times import MAX_LISTING_DELAY_US, StartTimes
from oakbridge.policy.events import Endpoint

SECOND = 1_000_000
HOUR = 3600 * SECOND
NOW = 1_000_000 * SECOND


def listed(**starts: int) -> list[ListedEndpoint]:
    return [
        ListedEndpoint(Endpoint(name, started_at=at), ("127.0.0.1", 1))
        for name, at in starts.items()
    ]


def adjusted(times: StartTimes, now: int, staleness: int | None, **starts: int) -> dict[str, int]:
    found = times.adjust(listed(**starts), now, staleness)
    return {endpoint.server.id: endpoint.server.started_at for endpoint in found}


def test_starts_stay_as_told_where_clocks_agree():
    times = StartTimes()
    first = {"old": 0, "warm": NOW - HOUR, "cold": NOW - 3 * SECOND}
    assert adjusted(times, NOW, None, **first) == first
    later = NOW + 60 * SECOND
    news = {"new": later - 2 * SECOND, "warm": NOW - HOUR, "old": 0}
    assert adjusted(times, later, 0, **news) == news
    missed = {"back": later - 40 * SECOND}  # discovery was not heard of for a minute
    assert adjusted(times, later, 60 * SECOND, **missed) == missed


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_server_that_restarts_counts_as_cold_whichever_way_clocks_differ(step):
    times = StartTimes()
    adjusted(times, NOW, None, a=NOW - 2 * HOUR + step, b=0)
    later = NOW + 100 * SECOND
    told = later + step
    assert adjusted(times, later, 0, a=told)["a"] == later
    # Told again, it is the same start: it goes on to warm up.
    assert adjusted(times, later + 5 * SECOND, 0, a=told)["a"] == later


def test_first_list_keeps_ages_apart_where_discoverys_clock_is_ahead():
    times = StartTimes()
    got = adjusted(times, NOW, None, a=NOW + HOUR, b=NOW + HOUR - 10 * SECOND, c=NOW - HOUR)
    assert got == {"a": NOW, "b": NOW - 10 * SECOND, "c": NOW - 2 * HOUR}


def test_a_start_far_in_the_future_moves_no_other():
    times = StartTimes()
    got = adjusted(times, NOW, None, a=NOW + 1000 * HOUR, b=NOW - 30 * SECOND)
    assert got == {"a": NOW, "b": NOW - 30 * SECOND}
    assert adjusted(StartTimes(), NOW, 0, a=NOW - MAX_LISTING_DELAY_US)["a"] < NOW
