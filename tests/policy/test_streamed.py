"""Tests of streamed request bodies, and of responses that break off."""

import pytest
from driver import READ, Driver

from oakbridge.node.http_framing import MAX_BODY_BYTES
from oakbridge.policy.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from oakbridge.policy.balancer import UPLOAD_TIMEOUT_US
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    RequestBodySent,
    RequestReceived,
    TimeLeftChanged,
)

TIME_LEFT_US = 2_000_000
SLOWEST_BYTES_PER_S = 64_000  # of a client that sends a body


def send_streamed(driver: Driver, number: int = 1000) -> SendAttempt:
    """Send a request with a streamed body; return its attempt."""
    [send] = [
        action
        for action in driver.feed(RequestReceived(number, "read", TIME_LEFT_US, streamed=True))
        if isinstance(action, SendAttempt)
    ]
    return send


@pytest.mark.parametrize(
    "result",
    [
        AttemptResult.REJECTED,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.ERROR,
        AttemptResult.RESET,
    ],
)
def test_a_streamed_request_is_not_retried(result):
    """Guards against a retry when the body is no longer there."""
    driver = Driver(classes=(READ,))
    driver.serve(60)
    send = send_streamed(driver)
    actions = driver.end_attempt(send, result)
    # The class is idempotent, so the client may retry.
    assert [
        type(action) for action in actions if isinstance(action, RejectRequest | FailRequest)
    ] == [RejectRequest]
    driver.run_to(driver.now + 2_000_000)
    assert [action.request_id for action in driver.actions_of(SendAttempt)].count(
        send.request_id
    ) == 1


def test_the_time_of_a_streamed_request_counts_from_the_end_of_its_body():
    driver = Driver(classes=(READ,))
    send = send_streamed(driver)
    assert send.timeout > TIME_LEFT_US
    driver.run_to(5_000_000)
    assert not driver.actions_of(RejectRequest)
    driver.feed(RequestBodySent(send.request_id, 0, TIME_LEFT_US))
    driver.run_to(5_000_000 + TIME_LEFT_US - 100_000)
    assert not driver.actions_of(RejectRequest)
    driver.run_to(5_000_000 + TIME_LEFT_US)
    assert [action.request_id for action in driver.actions_of(RejectRequest)] == [send.request_id]


# Guards against a request that is late because its server takes the body slowly.
@pytest.mark.parametrize("time_left", [0, TIME_LEFT_US])
def test_the_deadline_of_a_streamed_request_does_not_wait_for_its_server(time_left):
    driver = Driver(classes=(READ,))
    send = send_streamed(driver)
    driver.run_to(5_000_000)
    driver.feed(TimeLeftChanged(send.request_id, time_left))
    driver.run_to(5_000_000 + time_left + 100_000)
    assert [action.request_id for action in driver.actions_of(RejectRequest)] == [send.request_id]


# Guards against a slow client whose long body is given up although it is sent at the owed rate.
def test_a_body_of_the_longest_size_may_be_sent_at_the_slowest_rate():
    driver = Driver(classes=(READ,))
    send_streamed(driver)
    driver.run_to(MAX_BODY_BYTES // SLOWEST_BYTES_PER_S * 1_000_000)
    assert not driver.actions_of(RejectRequest)


def test_a_request_whose_body_never_ends_is_rejected():
    driver = Driver(classes=(READ,))
    send = send_streamed(driver)
    driver.run_to(UPLOAD_TIMEOUT_US + 10_000)
    assert [action.request_id for action in driver.actions_of(RejectRequest)] == [send.request_id]


def test_a_server_that_receives_a_long_body_does_not_hang():
    driver = Driver(servers=2, classes=(READ,), cancellation_allowed=True)
    send = send_streamed(driver)
    driver.serve(200)
    assert not driver.balancer.outliers.is_hung(
        driver.balancer.endpoints.known[send.server], driver.now
    )
    assert not driver.actions_of(CancelAttempt)


def test_a_response_that_breaks_off_counts_as_a_failure_of_its_server():
    driver = Driver(classes=(READ,))
    driver.serve(60)
    before = driver.balancer.endpoints.known["s0"].score
    for i in range(4):
        driver.feed(AttemptEnded(i, 0, "s0", AttemptResult.RESET, 0, True))
    assert driver.balancer.endpoints.known["s0"].score > before
    driver.feed(AttemptEnded(9, 0, "unknown", AttemptResult.RESET, 0, True))
