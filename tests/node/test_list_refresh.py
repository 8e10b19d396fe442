"""When discovery requests are sent: the age of the list stays bounded, whichever requests fail."""

import math
import random

import pytest

from oakbridge.node.list_refresh import (
    MAX_LIST_AGE_S,
    Failure,
    RefreshSchedule,
    RequestKind,
)

US_PER_S = 1_000_000
RESPONSE_S = 0.3  # maximum response time of discovery, with some requests ahead in its queue


def new_schedule(seed: int = 1, poll_interval_s: float = 10.0, *, pushed: bool = False):
    """Return a schedule that has been started."""
    interval_us = int(poll_interval_s * US_PER_S)
    schedule = RefreshSchedule(0.0, interval_us, random.Random(seed), pushed=pushed)
    schedule.start(0.0)
    return schedule


def schedule_with_watch(seed: int = 1, **options):
    """Return a schedule whose list is up to date at 0, and its open watch."""
    schedule = new_schedule(seed, **options)
    schedule.begin_request(0.0)
    schedule.on_list(0.0)
    schedule.on_response(0.0, continues=True)
    return schedule, schedule.begin_request(0.0)


def test_the_request_that_opens_a_watch_does_not_wait_and_later_ones_do():
    schedule = new_schedule()
    first = schedule.begin_request(schedule.next_request_at())
    schedule.on_response(0.1, continues=True)
    second = schedule.begin_request(schedule.next_request_at())
    assert (first.kind, second.kind) == (RequestKind.OPENING, RequestKind.RENEWAL)
    assert first.wait_s < 0.01 < 0.5 <= second.wait_s < second.timeout_s < MAX_LIST_AGE_S / 2
    assert schedule.next_request_at() == math.inf


@pytest.mark.parametrize(
    ("failure", "after_s", "min_delay_s", "max_delay_s"),
    [
        (Failure.REFUSED, 1.0, 0.3, 3.25),  # a watch is not queued; the list may be as old as it
        (Failure.REFUSED, 0.1, 2.3, 4.4),  # refused immediately: nodes with older lists go first
        (Failure.TIMED_OUT, 2.5, 0.0, 0.0),
        (Failure.OUTDATED, 1.0, 0.0, 0.0),
        (Failure.NETWORK, 1.0, 0.05, 0.05),
    ],
)
def test_delay_after_a_failed_watch(failure, after_s, min_delay_s, max_delay_s):
    delays = []
    for seed in range(200):
        schedule, watch = schedule_with_watch(seed)
        schedule.on_failure(watch, after_s, failure)
        delays.append(schedule.next_request_at() - after_s)
    assert min_delay_s - 1e-9 <= min(delays) <= max(delays) <= max_delay_s + 1e-9
    if min_delay_s < max_delay_s:
        assert max(delays) - min(delays) > 0.8 * (max_delay_s - min_delay_s)


def test_a_second_request_is_sent_beside_an_overdue_one_which_keeps_its_place_in_the_queue():
    schedule, watch = schedule_with_watch()
    schedule.on_failure(watch, 2.5, Failure.TIMED_OUT)
    first = schedule.begin_request(2.5)
    assert schedule.next_request_at() == pytest.approx(4.75)
    second = schedule.begin_request(4.75)
    schedule.on_failure(second, 4.76, Failure.REFUSED)
    assert schedule.next_request_at() == pytest.approx(7.0)  # the first is still in the queue
    schedule.on_response(5.0, continues=True)
    schedule.on_failure(first, 5.1, Failure.TIMED_OUT)  # ignored: another request had a response
    assert schedule.next_request_at() == pytest.approx(5.0)


def test_an_open_request_is_overdue_sooner_as_the_list_nears_its_maximum_age():
    schedule, watch = schedule_with_watch()
    schedule.on_failure(watch, 3.4, Failure.TIMED_OUT)
    schedule.begin_request(3.4)
    assert schedule.next_request_at() == pytest.approx(4.75)
    schedule.begin_request(4.75)
    assert schedule.next_request_at() == pytest.approx(7.0)  # the maximum age is exceeded by then


def test_a_request_is_not_late_while_it_may_still_be_in_the_queue():
    """Guards against two places in a queue that refuses each request after two seconds."""
    schedule, watch = schedule_with_watch()
    schedule.on_failure(watch, 1.0, Failure.TIMED_OUT)
    schedule.on_failure(schedule.begin_request(1.0), 3.0, Failure.REFUSED)
    due = schedule.next_request_at()
    schedule.begin_request(due)
    assert schedule.next_request_at() == pytest.approx(due + 2.25)


def test_immediate_retries_after_network_failures_are_limited():
    schedule, request = schedule_with_watch()
    now = 1.0
    for _ in range(10):
        schedule.on_failure(request, now, Failure.NETWORK)
        now = schedule.next_request_at()
        request = schedule.begin_request(now)
    schedule.on_failure(request, now, Failure.NETWORK)
    assert schedule.next_request_at() > now + 0.25


def test_moving_several_times_leaves_one_next_request():
    schedule = new_schedule()
    request = schedule.begin_request(0.0)
    schedule.on_failure(request, 0.02, Failure.REFUSED)
    due = schedule.next_request_at()
    for _ in range(5):
        schedule.end_watch()
    assert schedule.next_request_at() == due
    schedule.begin_request(due)
    assert schedule.next_request_at() > due + 1.0


def test_a_reload_that_lowers_the_maximum_age_shortens_the_next_watch():
    schedule, _ = schedule_with_watch()
    schedule.configure(int(1.5 * US_PER_S))
    schedule.on_response(1.0, continues=True)
    assert schedule.begin_request(1.0).wait_s <= 0.5


class FailingDiscovery:
    """Discovery that fails requests at random until a given time, and responds to later ones."""

    def __init__(self, rng: random.Random, responds_from: float) -> None:
        self._random = rng
        self._responds_from = responds_from

    def result(self, request, now):
        """Return when the request ends, and its failure; None for a response."""
        if now >= self._responds_from:
            return now + self._random.uniform(0.0, RESPONSE_S), None
        draw = self._random.random()
        if draw < 0.4:
            return now + request.timeout_s, Failure.TIMED_OUT
        if draw < 0.6:
            return now + self._random.uniform(0.005, 0.05), Failure.REFUSED
        if draw < 0.8:
            return now + self._random.uniform(0.25, min(request.timeout_s, 1.2)), Failure.REFUSED
        if draw < 0.9:
            return now + self._random.uniform(0.0, 0.3), Failure.NETWORK
        return now + self._random.uniform(0.5, 0.9), Failure.TIMED_OUT  # the response stalled


def first_response_at(seed: int, *, pushed: bool, moves: bool) -> tuple[float, float]:
    """Simulate a schedule after an up-to-date list.

    Return when discovery starts to respond, and when the first response arrives.
    """
    rng = random.Random(seed)
    responds_from = rng.uniform(0.0, 4.2)
    discovery = FailingDiscovery(rng, responds_from)
    schedule, watch = schedule_with_watch(seed, pushed=pushed)
    # The first change is lost: the watch that was to report it times out, or breaks later.
    breaks_at = rng.uniform(0.0, watch.wait_s)
    ends_at, failure = rng.choice(
        ((watch.timeout_s, Failure.TIMED_OUT), (breaks_at, Failure.REFUSED))
    )
    open_requests = [(ends_at, failure, watch)]
    move_times = sorted(rng.uniform(0.0, 4.0) for _ in range(4)) if moves else []
    while True:
        ends_at, failure, request = min(
            open_requests, key=lambda entry: entry[0], default=(math.inf, None, None)
        )
        move_at = move_times[0] if move_times else math.inf
        now = min(ends_at, move_at, schedule.next_request_at())
        if now == move_at:
            move_times.pop(0)
            schedule.end_watch()
        elif now == ends_at:
            open_requests = [entry for entry in open_requests if entry[2] is not request]
            if failure is None:
                return responds_from, now
            schedule.on_failure(request, now, failure)
        else:
            begun = schedule.begin_request(now)
            open_requests.append((*discovery.result(begun, now), begun))


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("moves", [False, True])
def test_a_list_is_read_within_the_maximum_age_once_discovery_responds(pushed, moves):
    """The maximum age limits the sum of all timeouts and delays, not each of them."""
    for seed in range(2000):
        responds_from, responded_at = first_response_at(seed, pushed=pushed, moves=moves)
        assert responded_at < MAX_LIST_AGE_S, (seed, responds_from)
