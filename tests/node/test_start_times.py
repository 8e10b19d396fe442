"""Starts of servers on the node's clock, with wall clocks stepped by an hour forward or back."""

import pytest

from oakbridge.node.endpoint_list import ListedEndpoint
from oakbridge.node.start_times import MAX_LISTING_DELAY_US, StartTimes
from oakbridge.policy.events import Endpoint

SECOND_US = 1_000_000
HOUR_US = 3600 * SECOND_US
NOW_US = 1_000_000 * SECOND_US


def listed(**starts: int) -> list[ListedEndpoint]:
    return [
        ListedEndpoint(Endpoint(name, started_at=at), ("127.0.0.1", 1))
        for name, at in starts.items()
    ]


def adjusted(
    times: StartTimes, now: int, previous_age_us: int | None, **starts: int
) -> dict[str, int]:
    endpoints = times.adjust(listed(**starts), now, previous_age_us)
    return {endpoint.server.id: endpoint.server.started_at for endpoint in endpoints}


def test_starts_stay_as_reported_if_clocks_agree():
    times = StartTimes()
    first = {"old": 0, "warm": NOW_US - HOUR_US, "cold": NOW_US - 3 * SECOND_US}
    assert adjusted(times, NOW_US, None, **first) == first
    later = NOW_US + 60 * SECOND_US
    changes = {"new": later - 2 * SECOND_US, "warm": NOW_US - HOUR_US, "old": 0}
    assert adjusted(times, later, 0, **changes) == changes
    missed = {"back": later - 40 * SECOND_US}  # discovery was not reachable for a minute
    assert adjusted(times, later, 60 * SECOND_US, **missed) == missed


@pytest.mark.parametrize("step_us", [-HOUR_US, HOUR_US])
def test_restarted_server_counts_as_cold_in_whichever_direction_clocks_differ(step_us):
    times = StartTimes()
    adjusted(times, NOW_US, None, a=NOW_US - 2 * HOUR_US + step_us, b=0)
    later = NOW_US + 100 * SECOND_US
    reported = later + step_us
    assert adjusted(times, later, 0, a=reported)["a"] == later
    # Reported again, it is the same start, so the server continues to warm up.
    assert adjusted(times, later + 5 * SECOND_US, 0, a=reported)["a"] == later


def test_first_list_keeps_differences_of_starts_if_discoverys_clock_is_ahead():
    times = StartTimes()
    adjusted_starts = adjusted(
        times,
        NOW_US,
        None,
        a=NOW_US + HOUR_US,
        b=NOW_US + HOUR_US - 10 * SECOND_US,
        c=NOW_US - HOUR_US,
    )
    assert adjusted_starts == {"a": NOW_US, "b": NOW_US - 10 * SECOND_US, "c": NOW_US - 2 * HOUR_US}


def test_a_start_far_in_the_future_does_not_change_other_starts():
    times = StartTimes()
    adjusted_starts = adjusted(
        times, NOW_US, None, a=NOW_US + 1000 * HOUR_US, b=NOW_US - 30 * SECOND_US
    )
    assert adjusted_starts == {"a": NOW_US, "b": NOW_US - 30 * SECOND_US}
    assert adjusted(StartTimes(), NOW_US, 0, a=NOW_US - MAX_LISTING_DELAY_US)["a"] < NOW_US
