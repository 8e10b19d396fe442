"""New settings in a running module, and servers that operators take out and put back."""

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


def change(d: Driver, **options) -> None:
    d.feed(SettingsChanged(Settings(**options)))


def test_a_new_class_counts_at_once_and_one_that_is_gone_is_unknown():
    d = Driver(classes=(READ, PAY))
    assert [type(a) for a in d.send_request("fresh")] == [FailRequest]
    fresh = RequestClass("fresh", 500_000, 1_000_000, idempotency=Idempotency.NOT_IDEMPOTENT)
    change(d, classes=(fresh, PAY))
    assert any(isinstance(a, SendAttempt) for a in d.send_request("fresh"))
    assert [type(a) for a in d.send_request("read")] == [FailRequest]


@pytest.mark.parametrize("gone", [False, True])
def test_a_request_under_way_keeps_its_class(gone):
    """Guards against a retry by what the class is now.

    Its own attempt went out by what it was then.
    """
    d = Driver(classes=(READ, PAY), max_attempts=3)
    [send] = [a for a in d.send_request("read") if isinstance(a, SendAttempt)]
    other = (
        PAY
        if gone
        else RequestClass("read", 1_000_000, 4_000_000, idempotency=Idempotency.NOT_IDEMPOTENT)
    )
    change(d, classes=(other,), max_attempts=3)
    for _ in range(40):  # firsts that the retry budget counts
        [one] = [a for a in d.send_request(other.name) if isinstance(a, SendAttempt)]
        d.end_attempt(one, AttemptResult.OK)
    d.end_attempt(send, AttemptResult.ERROR)
    d.run_to(d.now + 500_000)
    assert [s.request_id for s in d.actions_of(SendAttempt)].count(send.request_id) == 2


def test_a_class_that_became_unsafe_is_not_tried_again():
    d = Driver(classes=(READ, PAY), max_attempts=3)
    change(
        d,
        classes=(
            RequestClass("read", 1_000_000, 4_000_000, idempotency=Idempotency.NOT_IDEMPOTENT),
        ),
        max_attempts=3,
    )
    [send] = [a for a in d.send_request("read") if isinstance(a, SendAttempt)]
    got = d.end_attempt(send, AttemptResult.ERROR)
    assert [type(a) for a in got] == [FailRequest]


def test_fewer_attempts_count_also_for_a_retry_that_waits():
    d = Driver(classes=(READ,), max_attempts=3)
    d.serve(40)
    [send] = [a for a in d.send_request() if isinstance(a, SendAttempt)]
    assert not any(
        isinstance(a, FailRequest | RejectRequest) for a in d.end_attempt(send, AttemptResult.ERROR)
    )  # the retry waits
    change(d, classes=(READ,), max_attempts=1)
    d.run_to(d.now + 1_000_000)
    assert [s.request_id for s in d.actions_of(SendAttempt)].count(send.request_id) == 1
    assert send.request_id in [a.request_id for a in d.actions_of(RejectRequest)]


def test_what_was_learned_stays():
    d = Driver(classes=(READ, PAY))
    d.serve(60, latency=50_000, fails=("s1",))
    before = (
        d.balancer.latency["read"].mean,
        d.balancer.budget.window.first,
        d.balancer.endpoints.known["s1"].score,
        d.balancer.admission.limit,
    )
    tenant = Tenant("a", 5.0)
    change(
        d,
        classes=(READ, PAY, RequestClass("k", 1, 2, idempotency=Idempotency.IDEMPOTENT_WITH_KEY)),
        tenants=(tenant,),
    )
    assert before == (
        d.balancer.latency["read"].mean,
        d.balancer.budget.window.first,
        d.balancer.endpoints.known["s1"].score,
        d.balancer.admission.limit,
    )
    assert [d.balancer.quotas.take("a", d.now) for _ in range(30)].count(False) > 10


def test_settings_come_and_go_without_a_trace():
    d = Driver(classes=(READ,))
    for i in range(200):
        change(d, classes=(READ, RequestClass(f"c{i}", 1000, 2000)))
    assert len(d.balancer.latency) == 2


def test_a_server_that_operators_put_back_is_in_use_again_though_the_subset_is_small():
    """Guards against one that waits among many spare servers: it was in use before."""
    d = Driver(servers=40, replica_count=40)
    used = d.serve(60)
    one = used[0]
    d.feed(EndpointListReceived([Endpoint(one, EndpointState.DRAINING)], complete=False))
    assert one not in d.serve(60)
    d.feed(EndpointListReceived([Endpoint(one, started_at=d.now)], complete=False, restored=True))
    assert one in d.serve(60, latency=10_000)
