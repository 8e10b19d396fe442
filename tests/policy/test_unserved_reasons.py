"""Each request that ends without a server's response tells the reason."""

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


def shed(driver: Driver) -> None:
    driver.feed(LoadSheddingLevel({READ.name: 1.0}))
    driver.send_request(READ.name)


def arrive_late(driver: Driver) -> None:
    driver.send_request(READ.name, left=0)


def wait_behind_a_full_limit(driver: Driver) -> None:
    driver.serve(60, latency=100_000)
    driver.balancer.admission.limit = 1.0
    overload(driver, 8, 1_000)
    driver.run_to(driver.now + 2_000_000)


def be_one_too_many(driver: Driver) -> None:
    driver.serve(60)
    driver.balancer.admission.limit = 8.0
    overload(driver, 17, 1)


def be_out_for_too_long(driver: Driver) -> None:
    driver.send_request(PAY.name)
    driver.run_to(driver.now + PAY.deadline)


def fail_an_unsafe_request(driver: Driver) -> None:
    driver.end_attempt(send_of(driver.send_request(PAY.name)), AttemptResult.RESET)


def fail_at_the_last_moment(driver: Driver) -> None:
    driver.end_attempt(send_of(driver.send_request(READ.name, left=3_000)), AttemptResult.ERROR)


def fail_without_a_budget(driver: Driver) -> None:
    driver.balancer.budget.take(driver.now, "", driver.balancer.budget.left(driver.now))
    driver.end_attempt(send_of(driver.send_request(READ.name)), AttemptResult.ERROR)


def lose_all_servers_of_the_list(driver: Driver) -> None:
    send = send_of(driver.send_request(READ.name))
    driver.end_attempt(send, AttemptResult.ERROR)
    driver.feed(EndpointListReceived([Endpoint("new")]))


def name_an_unknown_class(driver: Driver) -> None:
    driver.send_request("unknown")


@pytest.mark.parametrize(
    ("course", "kind", "reason"),
    [
        (shed, RejectRequest, UnservedReason.SHED),
        (be_one_too_many, RejectRequest, UnservedReason.QUEUE_FULL),
        (wait_behind_a_full_limit, RejectRequest, UnservedReason.WAITED_TOO_LONG),
        (arrive_late, RejectRequest, UnservedReason.OUT_OF_TIME),
        (be_out_for_too_long, FailRequest, UnservedReason.OUT_OF_TIME),
        (fail_at_the_last_moment, RejectRequest, UnservedReason.NO_TIME_FOR_RETRY),
        (fail_an_unsafe_request, FailRequest, UnservedReason.RETRY_UNSAFE),
        (fail_without_a_budget, RejectRequest, UnservedReason.RETRY_BUDGET),
        (lose_all_servers_of_the_list, RejectRequest, UnservedReason.PINNED_SERVERS_REMOVED),
        (name_an_unknown_class, FailRequest, UnservedReason.UNKNOWN_CLASS),
    ],
)
def test_request_without_a_response_tells_its_reason(course, kind, reason):
    driver = Driver(pin_endpoint_list=True)
    course(driver)
    ended = driver.actions_of(RejectRequest) + driver.actions_of(FailRequest)
    assert (type(ended[0]), ended[0].reason) == (kind, reason)
    assert {action.reason for action in ended} == {reason}
