"""Timers: each fires once, never early, and never after it was cancelled."""

import asyncio
import random

import pytest

from oakbridge.node.clock import COMPACT_MIN_CANCELLED, Clock


class FakeLoop:
    """An event loop whose timers are fired by the test."""

    def __init__(self, seed):
        self.rng, self.handles, self.errors = random.Random(seed), [], []

    def call_later(self, delay_s, callback, *args):
        handle = asyncio.TimerHandle(delay_s, callback, args, self)
        self.handles.append(handle)
        return handle

    def get_debug(self):
        return False

    def _timer_handle_cancelled(self, handle):
        pass

    def call_exception_handler(self, context):
        self.errors.append(context["exception"])


class FakeClock(Clock):
    def __init__(self, loop):
        super().__init__(loop)
        self.time_us = 1_000_000

    def now(self):
        return self.time_us


@pytest.mark.parametrize("seed", range(30))
def test_timers_fire_once_and_never_early(seed):  # noqa: C901 - one random sequence of steps
    rng, loop = random.Random(seed), FakeLoop(seed)
    clock, fired, due, timers = FakeClock(loop), [], {}, {}

    def on_fired(number):
        fired.append(number)
        assert clock.now() >= due[number]
        if rng.random() < 0.2:
            set_timer()  # from the callback of another timer
        if rng.random() < 0.2 and timers:
            cancel_timer(rng.choice(list(timers)))
        if rng.random() < 0.05:
            raise ValueError("a fault in a callback")

    def set_timer():
        number = len(due)
        due[number] = clock.now() + rng.randrange(-5, 3000)
        timers[number] = clock.call_at(due[number], lambda: on_fired(number))

    def cancel_timer(number):
        timers.pop(number).cancel()
        cancelled.add(number)

    cancelled = set()
    for _ in range(300):
        for _ in range(rng.randrange(4)):
            set_timer()
        if timers and rng.random() < 0.4:
            cancel_timer(rng.choice(list(timers)))
        clock.time_us += rng.randrange(300)
        armed = [h for h in loop.handles if not h.cancelled()]
        assert len(armed) <= 1  # one timer of the loop, however many timers the clock has
        loop.handles = []
        for handle in armed:
            if clock._armed_for <= clock.time_us + 100:  # sometimes early
                handle._run()
            else:
                loop.handles.append(handle)
    while handles := [h for h in loop.handles if not h.cancelled()]:
        loop.handles, clock.time_us = [], clock.time_us + 1_000
        for handle in handles:
            handle._run()
    assert len(fired) == len(set(fired))
    assert set(fired) | cancelled == set(due)
    assert all(isinstance(error, ValueError) for error in loop.errors)


def test_cancelled_timers_are_not_kept():
    clock = FakeClock(FakeLoop(1))
    kept = clock.call_at(clock.now() + 10**9, lambda: None)
    for _ in range(50 * COMPACT_MIN_CANCELLED):
        clock.call_at(clock.now() + 10**9, lambda: None).cancel()
    assert len(clock._heap) <= COMPACT_MIN_CANCELLED + 2
    assert kept in [timer for *_, timer in clock._heap]


def test_timer_that_is_cancelled_after_the_loop_fired_early_does_nothing():
    """Guards against a connect timeout that closes an established connection later."""

    class Loop:
        def __init__(self):
            self.calls = []

        def call_later(self, _, callback):
            self.calls.append(callback)

    loop, fired = Loop(), []
    clock = Clock(loop)
    timer = clock.call_at(clock.now() + 50_000_000, lambda: fired.append(1))
    loop.calls[0]()
    timer.cancel()
    clock._offset += 50_000_000
    loop.calls[1]()
    assert not fired
