"""Requests whose body goes on as it comes, and answers that break behind their beginning."""

import pytest
from driver import READ, Driver

from oakbridge.policy.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from oakbridge.policy.balancer import UPLOAD_TIMEOUT_US
from oakbridge.policy.events import AttemptEnded, AttemptResult, RequestBodySent, RequestReceived

LEFT = 2_000_000


def begin(d: Driver, number: int = 1000) -> SendAttempt:
    [send] = [
        a
        for a in d.feed(RequestReceived(number, "read", LEFT, streamed=True))
        if isinstance(a, SendAttempt)
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
def test_it_is_sent_once_and_refused_where_it_never_ran(result):
    """Guards against a second attempt for which there is no body any more."""
    d = Driver(classes=(READ,))
    d.serve(60)
    send = begin(d)
    got = d.end_attempt(send, result)
    assert [type(a) for a in got if isinstance(a, RejectRequest | FailRequest)] == [
        RejectRequest
    ]  # a safe one
    d.run_to(d.now + 2_000_000)
    assert [s.request_id for s in d.actions_of(SendAttempt)].count(send.request_id) == 1


def test_its_time_counts_from_the_end_of_its_body():
    d = Driver(classes=(READ,))
    send = begin(d)
    assert send.timeout > LEFT
    d.run_to(5_000_000)
    assert not d.actions_of(RejectRequest)
    d.feed(RequestBodySent(send.request_id, 0, LEFT))
    d.run_to(5_000_000 + LEFT - 100_000)
    assert not d.actions_of(RejectRequest)
    d.run_to(5_000_000 + LEFT)
    assert [a.request_id for a in d.actions_of(RejectRequest)] == [send.request_id]


def test_one_whose_body_never_ends_is_given_up():
    d = Driver(classes=(READ,))
    send = begin(d)
    d.run_to(UPLOAD_TIMEOUT_US + 10_000)
    assert [a.request_id for a in d.actions_of(RejectRequest)] == [send.request_id]


def test_a_server_that_takes_a_long_body_does_not_count_as_hanging():
    d = Driver(servers=2, classes=(READ,), cancellation_allowed=True)
    send = begin(d)
    d.serve(200)
    assert not d.balancer.outliers.is_hung(d.balancer.endpoints.known[send.server], d.now)
    assert not d.actions_of(CancelAttempt)


def test_an_answer_that_breaks_behind_its_beginning_counts_against_its_server():
    d = Driver(classes=(READ,))
    d.serve(60)
    before = d.balancer.endpoints.known["s0"].score
    for i in range(4):
        d.feed(AttemptEnded(i, 0, "s0", AttemptResult.RESET, 0, True))
    assert d.balancer.endpoints.known["s0"].score > before
    d.feed(AttemptEnded(9, 0, "nobody", AttemptResult.RESET, 0, True))
