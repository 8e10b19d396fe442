"""Tests of which attempts are safe, and until when."""

import pytest
from driver import Driver

from oakbridge.policy.actions import (
    SendAttempt,
)
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
)
from oakbridge.policy.settings import (
    Idempotency,
    RequestClass,
)


def test_only_a_retry_by_key_has_a_limit_on_its_start():
    keyed = RequestClass(
        "keyed", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT_WITH_KEY, "all", 500_000
    )
    driver = Driver(classes=(keyed,))
    driver.serve(40, klass="keyed")
    sent = next(
        action for action in driver.send_request("keyed") if isinstance(action, SendAttempt)
    )
    assert sent.start_within == 0
    driver.now += 20_000
    driver.end_attempt(sent, AttemptResult.NOT_SENT)
    driver.run_to(driver.now + 50_000)
    second = driver.actions_of(SendAttempt)[-1]
    # The first attempt never ran.
    assert (second.request_id, second.start_within) == (sent.request_id, 0)
    second_at = next(at for at, action in driver.actions if action is second)
    driver.end_attempt(second, AttemptResult.RESET, number=1)
    driver.run_to(driver.now + 200_000)
    last_at, last = next(
        (at, action)
        for at, action in driver.actions
        if action is driver.actions_of(SendAttempt)[-1]
    )
    assert last.request_id == sent.request_id
    assert last is not second
    assert second_at + 400_000 < last_at + last.start_within < second_at + 500_000


def test_retries_by_key_stay_in_the_zone_that_drops_duplicates():
    keyed = RequestClass(
        "keyed", 1_000_000, 4_000_000, 1, 0.5, Idempotency.IDEMPOTENT_WITH_KEY, "zone", 500_000
    )
    entries = [Endpoint("a", zone="x"), Endpoint("b", zone="y"), Endpoint("c", zone="x")]
    for seed in range(10):
        driver = Driver(seed=seed, entries=entries, classes=(keyed,))
        driver.serve(40, klass="keyed")
        send = next(
            action for action in driver.send_request("keyed") if isinstance(action, SendAttempt)
        )
        driver.end_attempt(send, AttemptResult.RESET)
        driver.run_to(driver.now + 100_000)
        retries = [
            action
            for action in driver.actions_of(SendAttempt)
            if action.request_id == send.request_id
        ][1:]
        assert all(
            {send.server, action.server} <= {"a", "c"} or action.server == send.server
            for action in retries
        )


@pytest.mark.parametrize(("hedging_allowed", "is_allowed"), [(True, True), (False, False)])
def test_a_second_attempt_in_flight_needs_the_setting(hedging_allowed, is_allowed):
    driver = Driver(hedging_allowed=hedging_allowed)
    driver.send_request()
    [request] = driver.balancer.requests.values()
    assert driver.balancer.safety.allows_attempt(request, None, driver.now) is is_allowed
