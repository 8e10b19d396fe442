"""Tests of the reasons of requests that finish without a server's response."""

import pytest
from driver import PAY, READ, Driver, overload

from oakbridge.policy.actions import FailRequest, RejectRequest, SendAttempt, UnservedReason
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    LoadSheddingLevel,
)


def send_of(actions) -> SendAttempt:
    [send] = [action for action in actions if isinstance(action, SendAttempt)]
    return send


def shed_all_requests(driver: Driver) -> None:
    driver.feed(LoadSheddingLevel({READ.name: 1.0}))
    driver.send_request(READ.name)


def send_request_without_time_left(driver: Driver) -> None:
    driver.send_request(READ.name, left=0)


def wait_at_the_limit(driver: Driver) -> None:
    driver.serve(60, latency=100_000)
    driver.balancer.admission.limit = 1.0
    overload(driver, 8, 1_000)
    driver.run_to(driver.now + 2_000_000)


def overfill_the_queue(driver: Driver) -> None:
    driver.serve(60)
    driver.balancer.admission.limit = 8.0
    overload(driver, 17, 1)


def let_an_attempt_time_out(driver: Driver) -> None:
    driver.send_request(PAY.name)
    driver.run_to(driver.now + PAY.deadline)


def fail_a_not_idempotent_request(driver: Driver) -> None:
    driver.end_attempt(send_of(driver.send_request(PAY.name)), AttemptResult.RESET)


def fail_just_before_the_deadline(driver: Driver) -> None:
    driver.end_attempt(send_of(driver.send_request(READ.name, left=3_000)), AttemptResult.ERROR)


def fail_without_a_retry_budget(driver: Driver) -> None:
    driver.balancer.budget.take(driver.now, "", driver.balancer.budget.left(driver.now))
    driver.end_attempt(send_of(driver.send_request(READ.name)), AttemptResult.ERROR)


def remove_all_servers_of_the_list(driver: Driver) -> None:
    send = send_of(driver.send_request(READ.name))
    driver.end_attempt(send, AttemptResult.ERROR)
    driver.feed(EndpointListReceived([Endpoint("new")]))


def send_request_of_an_unknown_class(driver: Driver) -> None:
    driver.send_request("unknown")


@pytest.mark.parametrize(
    ("scenario", "kind", "reason"),
    [
        (shed_all_requests, RejectRequest, UnservedReason.SHED),
        (overfill_the_queue, RejectRequest, UnservedReason.QUEUE_FULL),
        (wait_at_the_limit, RejectRequest, UnservedReason.WAITED_TOO_LONG),
        (send_request_without_time_left, RejectRequest, UnservedReason.OUT_OF_TIME),
        (let_an_attempt_time_out, FailRequest, UnservedReason.OUT_OF_TIME),
        (fail_just_before_the_deadline, RejectRequest, UnservedReason.NO_TIME_FOR_RETRY),
        (fail_a_not_idempotent_request, FailRequest, UnservedReason.RETRY_UNSAFE),
        (fail_without_a_retry_budget, RejectRequest, UnservedReason.RETRY_BUDGET),
        (remove_all_servers_of_the_list, RejectRequest, UnservedReason.PINNED_SERVERS_REMOVED),
        (send_request_of_an_unknown_class, FailRequest, UnservedReason.UNKNOWN_CLASS),
    ],
)
def test_a_request_without_a_response_has_its_reason(scenario, kind, reason):
    driver = Driver(pin_endpoint_list=True)
    scenario(driver)
    unserved = driver.actions_of(RejectRequest) + driver.actions_of(FailRequest)
    assert (type(unserved[0]), unserved[0].reason) == (kind, reason)
    assert {action.reason for action in unserved} == {reason}
