"""Tests of the retry budget, and of the delays of retries."""

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

RATIO, FLOOR_PER_S, WINDOW_S = 0.2, 0.1, 10  # the defaults of the settings
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
    # The first attempts have left the window.
    assert budget.left(WINDOW_S * SECOND) == FLOOR_PER_S * WINDOW_S


def test_one_tenants_failures_leave_half_of_the_budget_to_others():
    budget = RetryBudget(BUDGET)
    for _ in range(100):
        budget.window.add_first(0)
    greedy = sum(budget.take(0, "greedy", 1.0) for _ in range(100))
    other = sum(budget.take(0, "other", 1.0) for _ in range(5))
    assert greedy <= (RATIO * 100 + FLOOR_PER_S * WINDOW_S) / 2 + 1
    assert other == 5


def test_retries_stay_within_the_budget():
    """With all servers failing, attempts per request stay near 1 + the ratio."""
    driver = Driver(servers=6)
    for _ in range(300):
        driver.run_to(driver.now + 20_000)
        for send in [action for action in driver.send_request() if isinstance(action, SendAttempt)]:
            driver.end_attempt(send, AttemptResult.ERROR)
        for send in driver.actions_of(SendAttempt)[-3:]:
            driver.feed(AttemptEnded(send.request_id, 1, send.server, AttemptResult.ERROR, 5))
    assert len(driver.actions_of(SendAttempt)) <= 300 * (1 + RATIO) + FLOOR_PER_S * WINDOW_S + 1


def test_retry_delays_are_random_and_grow():
    first_delays, second_delays = [], []
    for seed in range(40):
        driver = Driver(seed=seed, max_attempts=6)
        driver.serve(60)
        sent = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
        at = driver.now
        driver.end_attempt(sent, AttemptResult.ERROR)
        driver.run_to(at + 200_000)
        retry = [
            (when, action)
            for when, action in driver.actions
            if isinstance(action, SendAttempt) and action.request_id == sent.request_id
        ][1]
        first_delays.append(retry[0] - at)
        at = driver.now
        driver.end_attempt(retry[1], AttemptResult.ERROR, 1)
        driver.run_to(at + 400_000)
        second_delays.append(
            [
                when
                for when, action in driver.actions
                if isinstance(action, SendAttempt) and action.request_id == sent.request_id
            ][2]
            - at
        )
    assert min(first_delays) > 0
    assert len(set(first_delays)) > 20
    assert sum(second_delays) > 1.5 * sum(first_delays)
