"""The retry budget, and the delays of retries."""

from driver import Driver

from oakbridge.policy.actions import (
    SendAttempt,
)
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
)
from oakbridge.policy.retry_budget import RetryBudget
from oakbridge.policy.settings import (
    RequestClass,
    Settings,
)
from oakbridge.policy.timers import SECOND_US as SECOND

RATIO, FLOOR_PER_S, WINDOW_S = 0.2, 0.1, 10  # the settings' own
BUDGET = Settings(
    (RequestClass("any", 1, 2),),
    retry_ratio=RATIO,
    retry_floor=FLOOR_PER_S,
    retry_window=WINDOW_S,
)


def test_budget_is_ratio_plus_floor_over_the_window():
    budget = RetryBudget(BUDGET)
    for _ in range(50):
        budget.window.add_first(0)
    allowed = RATIO * 50 + FLOOR_PER_S * WINDOW_S
    taken = sum(budget.take(0, "", 1.0) for _ in range(50))
    assert taken == int(allowed)
    assert not budget.take((WINDOW_S - 1) * SECOND, "", 1.0)
    assert budget.left(WINDOW_S * SECOND) == FLOOR_PER_S * WINDOW_S  # the window has moved on


def test_one_tenants_failing_burst_leaves_half_of_the_budget():
    budget = RetryBudget(BUDGET)
    for _ in range(100):
        budget.window.add_first(0)
    greedy = sum(budget.take(0, "greedy", 1.0) for _ in range(100))
    other = sum(budget.take(0, "other", 1.0) for _ in range(5))
    assert greedy <= (RATIO * 100 + FLOOR_PER_S * WINDOW_S) / 2 + 1
    assert other == 5


def test_retries_do_not_multiply():
    """With every server failing, attempts stay near 1 + the ratio for each first try."""
    d = Driver(servers=6)
    for _ in range(300):
        d.run_to(d.now + 20_000)
        for send in [a for a in d.send_request() if isinstance(a, SendAttempt)]:
            d.end_attempt(send, AttemptResult.ERROR)
        for send in d.actions_of(SendAttempt)[-3:]:
            d.feed(AttemptEnded(send.request_id, 1, send.server, AttemptResult.ERROR, 5))
    assert len(d.actions_of(SendAttempt)) <= 300 * (1 + RATIO) + FLOOR_PER_S * WINDOW_S + 1


def test_retry_delays_are_random_and_grow():
    first, second = [], []
    for seed in range(40):
        d = Driver(seed=seed, max_attempts=6)
        d.serve(60)
        sent = next(a for a in d.send_request() if isinstance(a, SendAttempt))
        at = d.now
        d.end_attempt(sent, AttemptResult.ERROR)
        d.run_to(at + 200_000)
        again = [
            (t, a)
            for t, a in d.actions
            if isinstance(a, SendAttempt) and a.request_id == sent.request_id
        ][1]
        first.append(again[0] - at)
        at = d.now
        d.end_attempt(again[1], AttemptResult.ERROR, 1)
        d.run_to(at + 400_000)
        second.append(
            [
                t
                for t, a in d.actions
                if isinstance(a, SendAttempt) and a.request_id == sent.request_id
            ][2]
            - at
        )
    assert min(first) > 0
    assert len(set(first)) > 20
    assert sum(second) > 1.5 * sum(first)
