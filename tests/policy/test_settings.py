"""Tests of new settings at run time, and of servers that operators put back into service."""

import pytest
from driver import PAY, READ, Driver

from oakbridge.policy.actions import FailRequest, RejectRequest, SendAttempt
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    EndpointState,
    SettingsChanged,
)
from oakbridge.policy.settings import Idempotency, RequestClass, Settings, Tenant


def change_settings(driver: Driver, **options) -> None:
    driver.feed(SettingsChanged(Settings(**options)))


def test_classes_are_added_and_removed_at_once():
    driver = Driver(classes=(READ, PAY))
    assert [type(action) for action in driver.send_request("fresh")] == [FailRequest]
    fresh = RequestClass("fresh", 500_000, 1_000_000, idempotency=Idempotency.NOT_IDEMPOTENT)
    change_settings(driver, classes=(fresh, PAY))
    assert any(isinstance(action, SendAttempt) for action in driver.send_request("fresh"))
    assert [type(action) for action in driver.send_request("read")] == [FailRequest]


@pytest.mark.parametrize("is_removed", [False, True])
def test_an_open_request_keeps_its_class(is_removed):
    """Guards against retries by a class's new settings after an attempt by the old ones."""
    driver = Driver(classes=(READ, PAY), max_attempts=3)
    [send] = [action for action in driver.send_request("read") if isinstance(action, SendAttempt)]
    other = (
        PAY
        if is_removed
        else RequestClass("read", 1_000_000, 4_000_000, idempotency=Idempotency.NOT_IDEMPOTENT)
    )
    change_settings(driver, classes=(other,), max_attempts=3)
    for _ in range(40):  # first attempts, for the retry budget
        [other_send] = [
            action for action in driver.send_request(other.name) if isinstance(action, SendAttempt)
        ]
        driver.end_attempt(other_send, AttemptResult.OK)
    driver.end_attempt(send, AttemptResult.ERROR)
    driver.run_to(driver.now + 500_000)
    assert [action.request_id for action in driver.actions_of(SendAttempt)].count(
        send.request_id
    ) == 2


def test_a_class_that_became_not_idempotent_is_not_retried():
    driver = Driver(classes=(READ, PAY), max_attempts=3)
    change_settings(
        driver,
        classes=(
            RequestClass("read", 1_000_000, 4_000_000, idempotency=Idempotency.NOT_IDEMPOTENT),
        ),
        max_attempts=3,
    )
    [send] = [action for action in driver.send_request("read") if isinstance(action, SendAttempt)]
    actions = driver.end_attempt(send, AttemptResult.ERROR)
    assert [type(action) for action in actions] == [FailRequest]


def test_a_lower_max_attempts_applies_to_a_scheduled_retry():
    driver = Driver(classes=(READ,), max_attempts=3)
    driver.serve(40)
    [send] = [action for action in driver.send_request() if isinstance(action, SendAttempt)]
    # The retry is scheduled.
    assert not any(
        isinstance(action, FailRequest | RejectRequest)
        for action in driver.end_attempt(send, AttemptResult.ERROR)
    )
    change_settings(driver, classes=(READ,), max_attempts=1)
    driver.run_to(driver.now + 1_000_000)
    assert [action.request_id for action in driver.actions_of(SendAttempt)].count(
        send.request_id
    ) == 1
    assert send.request_id in [action.request_id for action in driver.actions_of(RejectRequest)]


def test_new_settings_keep_what_was_learned():
    driver = Driver(classes=(READ, PAY))
    driver.serve(60, latency=50_000, fails=("s1",))
    before = (
        driver.balancer.latency["read"].mean,
        driver.balancer.budget.window.first,
        driver.balancer.endpoints.known["s1"].score,
        driver.balancer.admission.limit,
    )
    tenant = Tenant("a", 5.0)
    change_settings(
        driver,
        classes=(READ, PAY, RequestClass("k", 1, 2, idempotency=Idempotency.IDEMPOTENT_WITH_KEY)),
        tenants=(tenant,),
    )
    assert before == (
        driver.balancer.latency["read"].mean,
        driver.balancer.budget.window.first,
        driver.balancer.endpoints.known["s1"].score,
        driver.balancer.admission.limit,
    )
    assert [driver.balancer.quotas.take("a", driver.now) for _ in range(30)].count(False) > 10


def test_removed_classes_leave_no_latency_averages():
    driver = Driver(classes=(READ,))
    for i in range(200):
        change_settings(driver, classes=(READ, RequestClass(f"c{i}", 1000, 2000)))
    assert len(driver.balancer.latency) == 2


def test_a_server_put_back_by_operators_is_in_the_subset_again():
    """Guards against leaving it in a large reserve although it was in use before."""
    driver = Driver(servers=40, replica_count=40)
    used = driver.serve(60)
    restored = used[0]
    driver.feed(EndpointListReceived([Endpoint(restored, EndpointState.DRAINING)], complete=False))
    assert restored not in driver.serve(60)
    driver.feed(
        EndpointListReceived(
            [Endpoint(restored, started_at=driver.now)], complete=False, restored=True
        )
    )
    assert restored in driver.serve(60, latency=10_000)
