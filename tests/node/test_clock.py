"""Timers against a plain model: each fires once, never early, in order, unless cancelled."""

import asyncio
import random

import pytest

from oakbridge.node.clock import COMPACT_MIN_CANCELLED, Clock


class PlayedLoop:
    """A loop whose time is set by hand, and whose own timers come a little early at times."""

    def __init__(self, seed):
        self.rng, self.handles, self.problems = random.Random(seed), [], []

    def call_later(self, wait, what, *args):
        handle = asyncio.TimerHandle(wait, what, args, self)
        self.handles.append(handle)
        return handle

    def get_debug(self):
        return False

    def _timer_handle_cancelled(self, handle):
        pass

    def call_exception_handler(self, context):
        self.problems.append(context["exception"])


class PlayedClock(Clock):
    def __init__(self, loop):
        super().__init__(loop)
        self.time = 1_000_000

    def now(self):
        return self.time


@pytest.mark.parametrize("seed", range(30))
def test_timers_fire_once_in_order_and_never_early(seed):  # noqa: C901 - one random course
    rng, loop = random.Random(seed), PlayedLoop(seed)
    clock, fired, want, timers = PlayedClock(loop), [], {}, {}

    def fires(number):
        fired.append(number)
        assert clock.now() >= want[number]
        if rng.random() < 0.2:
            begin()  # from inside of another one
        if rng.random() < 0.2 and timers:
            call_off(rng.choice(list(timers)))
        if rng.random() < 0.05:
            raise ValueError("a fault in one")

    def begin():
        number = len(want)
        want[number] = clock.now() + rng.randrange(-5, 3000)
        timers[number] = clock.call_at(want[number], lambda: fires(number))

    def call_off(number):
        timers.pop(number).cancel()
        off.add(number)

    off = set()
    for _ in range(300):
        for _ in range(rng.randrange(4)):
            begin()
        if timers and rng.random() < 0.4:
            call_off(rng.choice(list(timers)))
        clock.time += rng.randrange(300)
        armed = [h for h in loop.handles if not h.cancelled()]
        assert len(armed) <= 1  # one of the loop's, however many there are
        loop.handles = []
        for handle in armed:
            if clock._armed_for <= clock.time + 100:  # at times early
                handle._run()
            else:
                loop.handles.append(handle)
    while handles := [h for h in loop.handles if not h.cancelled()]:
        loop.handles, clock.time = [], clock.time + 1_000
        for handle in handles:
            handle._run()
    assert len(fired) == len(set(fired))
    assert set(fired) | off == set(want)
    assert all(isinstance(p, ValueError) for p in loop.problems)


def test_cancelled_timers_are_not_kept():
    clock = PlayedClock(PlayedLoop(1))
    kept = clock.call_at(clock.now() + 10**9, lambda: None)
    for _ in range(50 * COMPACT_MIN_CANCELLED):
        clock.call_at(clock.now() + 10**9, lambda: None).cancel()
    assert len(clock._heap) <= COMPACT_MIN_CANCELLED + 2
    assert kept in [timer for *_, timer in clock._heap]


def test_timer_that_is_cancelled_after_it_was_armed_again_does_nothing():
    """Guards against a limit for connecting that ends the connection later on."""

    class Loop:
        def __init__(self):
            self.calls = []

        def call_later(self, _, what):
            self.calls.append(what)

    loop, fired = Loop(), []
    clock = Clock(loop)
    timer = clock.call_at(clock.now() + 50_000_000, lambda: fired.append(1))
    loop.calls[0]()
    timer.cancel()
    clock._offset += 50_000_000
    loop.calls[1]()
    assert not fired
