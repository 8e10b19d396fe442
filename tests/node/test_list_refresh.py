"""When discovery is called: the age of the list stays within its bound, whatever single calls do."""

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
ANSWER_S = 0.3  # of discovery that answers, with some callers before


def new_schedule(seed: int = 1, poll_interval_s: float = 10.0, *, pushed: bool = False):
    """Return a schedule that has been started."""
    interval_us = int(poll_interval_s * US_PER_S)
    schedule = RefreshSchedule(0.0, interval_us, random.Random(seed), pushed=pushed)
    schedule.start(0.0)
    return schedule


def with_watch(seed: int = 1, **options):
    """Return a schedule whose list is up to date at 0, and the call that watches."""
    schedule = new_schedule(seed, **options)
    schedule.begin_request(0.0)
    schedule.on_list(0.0)
    schedule.on_response(0.0, continues=True)
    return schedule, schedule.begin_request(0.0)


def test_the_first_call_does_not_wait_and_the_ones_after_it_do():
    schedule = new_schedule()
    first = schedule.begin_request(schedule.next_request_at())
    schedule.on_response(0.1, continues=True)
    second = schedule.begin_request(schedule.next_request_at())
    assert (first.kind, second.kind) == (RequestKind.OPENING, RequestKind.RENEWAL)
    assert first.wait_s < 0.01 < 0.5 <= second.wait_s < second.timeout_s < MAX_LIST_AGE_S / 2
    assert schedule.next_request_at() == math.inf


@pytest.mark.parametrize(
    ("failure", "after_s", "least_s", "most_s"),
    [
        (Failure.REFUSED, 1.0, 0.3, 3.25),  # it stood in no queue; its list may be as old as it
        (Failure.REFUSED, 0.1, 2.3, 4.4),  # refused at once: younger lists stand back
        (Failure.TIMED_OUT, 2.5, 0.0, 0.0),
        (Failure.OUTDATED, 1.0, 0.0, 0.0),
        (Failure.NETWORK, 1.0, 0.05, 0.05),
    ],
)
def test_after_a_watch_has_failed(failure, after_s, least_s, most_s):
    waits = []
    for seed in range(200):
        schedule, watch = with_watch(seed)
        schedule.on_failure(watch, after_s, failure)
        waits.append(schedule.next_request_at() - after_s)
    assert least_s - 1e-9 <= min(waits) <= max(waits) <= most_s + 1e-9
    if least_s < most_s:
        assert max(waits) - min(waits) > 0.8 * (most_s - least_s)


def test_a_call_that_is_overdue_keeps_its_place_and_another_is_made_beside_it():
    schedule, watch = with_watch()
    schedule.on_failure(watch, 2.5, Failure.TIMED_OUT)
    first = schedule.begin_request(2.5)
    assert schedule.next_request_at() == pytest.approx(4.75)
    second = schedule.begin_request(4.75)
    schedule.on_failure(second, 4.76, Failure.REFUSED)
    assert schedule.next_request_at() == pytest.approx(7.0)  # the first one still has its place
    schedule.on_response(5.0, continues=True)
    schedule.on_failure(first, 5.1, Failure.TIMED_OUT)  # its answer made it superfluous
    assert schedule.next_request_at() == pytest.approx(5.0)


def test_a_call_that_is_out_as_the_bound_comes_near_is_not_waited_for_as_long():
    schedule, watch = with_watch()
    schedule.on_failure(watch, 3.4, Failure.TIMED_OUT)
    schedule.begin_request(3.4)
    assert schedule.next_request_at() == pytest.approx(4.75)
    schedule.begin_request(4.75)
    assert schedule.next_request_at() == pytest.approx(7.0)  # the bound has passed then


def test_a_call_is_not_late_while_it_may_stand_in_the_queue():
    """Guards against two places in a queue of which each call is refused after two seconds."""
    schedule, watch = with_watch()
    schedule.on_failure(watch, 1.0, Failure.TIMED_OUT)
    schedule.on_failure(schedule.begin_request(1.0), 3.0, Failure.REFUSED)
    due = schedule.next_request_at()
    schedule.begin_request(due)
    assert schedule.next_request_at() == pytest.approx(due + 2.25)


def test_path_failures_in_a_row_come_to_an_end():
    schedule, call = with_watch()
    now = 1.0
    for _ in range(10):
        schedule.on_failure(call, now, Failure.NETWORK)
        now = schedule.next_request_at()
        call = schedule.begin_request(now)
    schedule.on_failure(call, now, Failure.NETWORK)
    assert schedule.next_request_at() > now + 0.25


def test_starting_twice_and_moving_leave_one_next_call():
    schedule = new_schedule()
    call = schedule.begin_request(0.0)
    schedule.on_failure(call, 0.02, Failure.REFUSED)
    due = schedule.next_request_at()
    for _ in range(5):
        schedule.end_watch()
    assert schedule.next_request_at() == due
    schedule.begin_request(due)
    assert schedule.next_request_at() > due + 1.0


def test_a_reload_that_shortens_the_bound_shortens_the_next_watch():
    schedule, _ = with_watch()
    schedule.configure(int(1.5 * US_PER_S))
    schedule.on_response(1.0, continues=True)
    assert schedule.begin_request(1.0).wait_s <= 0.5


class Adversary:
    """Discovery that does anything to calls until a time, and answers them soon after it."""

    def __init__(self, rng: random.Random, until: float) -> None:
        self._random = rng
        self._until = until

    def outcome(self, call, now):
        """Return when the call ends, and how; None for an answer."""
        if now >= self._until:
            return now + self._random.uniform(0.0, ANSWER_S), None
        draw = self._random.random()
        if draw < 0.4:
            return now + call.timeout_s, Failure.TIMED_OUT
        if draw < 0.6:
            return now + self._random.uniform(0.005, 0.05), Failure.REFUSED
        if draw < 0.8:
            return now + self._random.uniform(0.25, min(call.timeout_s, 1.2)), Failure.REFUSED
        if draw < 0.9:
            return now + self._random.uniform(0.0, 0.3), Failure.NETWORK
        return now + self._random.uniform(0.5, 0.9), Failure.TIMED_OUT  # it stopped half-way


def first_answer_at(seed: int, *, pushed: bool, moves: bool) -> tuple[float, float]:
    """Play a schedule from an up to date list on; return when discovery answers, and one came."""
    rng = random.Random(seed)
    until = rng.uniform(0.0, 4.2)
    adversary = Adversary(rng, until)
    schedule, watch = with_watch(seed, pushed=pushed)
    # The first change is lost at once; the watch on which it was told is silent, or breaks later.
    breaks_at = rng.uniform(0.0, watch.wait_s)
    ends_at, how = rng.choice(((watch.timeout_s, Failure.TIMED_OUT), (breaks_at, Failure.REFUSED)))
    out = [(ends_at, how, watch)]
    move_times = sorted(rng.uniform(0.0, 4.0) for _ in range(4)) if moves else []
    while True:
        ends_at, how, call = min(out, key=lambda one: one[0], default=(math.inf, None, None))
        move_at = move_times[0] if move_times else math.inf
        now = min(ends_at, move_at, schedule.next_request_at())
        if now == move_at:
            move_times.pop(0)
            schedule.end_watch()
        elif now == ends_at:
            out = [one for one in out if one[2] is not call]
            if how is None:
                return until, now
            schedule.on_failure(call, now, how)
        else:
            begun = schedule.begin_request(now)
            out.append((*adversary.outcome(begun, now), begun))


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("moves", [False, True])
def test_whatever_calls_do_a_list_is_read_within_the_bound_of_a_discovery_that_answers(
    pushed, moves
):
    """The bound holds for the sum of all that happens, not for each wait alone."""
    for seed in range(2000):
        answers_from, answered_at = first_answer_at(seed, pushed=pushed, moves=moves)
        assert answered_at < MAX_LIST_AGE_S, (seed, answers_from)
