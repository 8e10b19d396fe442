"""Tests of admission: the limit of attempts in flight, and the order of waiting requests."""

import dataclasses

import pytest
from driver import READ, Driver, overload

from oakbridge.policy.actions import (
    RejectRequest,
    SendAttempt,
)
from oakbridge.policy.admission import (
    BURST_ATTEMPTS,
    CROWDED_START_LIMIT_PER_SERVER,
    MAX_WAITING_FRACTION,
    START_LIMIT_PER_SERVER,
)
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    EndpointState,
)
from oakbridge.policy.settings import (
    Tenant,
)


def test_requests_that_cannot_meet_the_objective_are_rejected_before_it():
    """Guards against sending the oldest request first, which made every response late (i2e7f05)."""
    driver = Driver(servers=2)
    driver.serve(60, latency=100_000)
    driver.balancer.admission.limit = 1.0
    start = driver.now
    overload(driver, 40, 1_000)
    driver.run_to(start + 999_000)
    assert len(driver.actions_of(RejectRequest)) >= 30


def test_excess_waiting_requests_are_rejected_at_once_lowest_priority_and_oldest_first():
    """Guards against a queue of far more requests than will get their turn.

    With 2,000 requests waiting for 600 places, they were rejected too late for a retry, and held
    connections that 2,474 others did not get.
    """
    driver = Driver(servers=2)
    driver.serve(60)
    driver.balancer.admission.limit = 40.0
    sent = [
        action
        for _ in range(40)
        for action in driver.send_request("pay")
        if isinstance(action, SendAttempt)
    ]
    room = int(MAX_WAITING_FRACTION * 40)
    waiting = [(driver.send_request("read"), driver.id)[1] for _ in range(room // 2)] + [
        (driver.send_request("pay"), driver.id)[1] for _ in range(room - room // 2)
    ]
    assert len(sent) == 40
    assert not driver.actions_of(RejectRequest)
    for n in range(3):
        driver.send_request("pay")
        # Only reads are rejected.
        assert [action.request_id for action in driver.actions_of(RejectRequest)] == waiting[
            : n + 1
        ]
    before = len(driver.actions_of(RejectRequest))
    # Below the limit, requests wait for servers instead, and all may still be served.
    driver.balancer.admission.in_flight = 10
    overload(driver, room, 1)
    assert len(driver.actions_of(RejectRequest)) == before


def test_priority_and_quota_decide_which_requests_wait():
    driver = Driver(
        servers=2, over_quota_weight=0.1, tenants=(Tenant("big", 1.0), Tenant("small", 1000.0))
    )
    driver.serve(70)
    driver.balancer.admission.limit = BURST_ATTEMPTS
    first, *_ = (
        action
        for _ in range(int(BURST_ATTEMPTS))
        for action in driver.send_request("read", tenant="small")
        if isinstance(action, SendAttempt)
    )
    for _ in range(5):
        driver.send_request("pay", tenant="big")  # over its quota from the third on
    read, pay = (
        driver.send_request("read", tenant="small"),
        driver.send_request("pay", tenant="small"),
    )
    assert not [action for action in read + pay if isinstance(action, SendAttempt)]
    order = []
    send = first
    for _ in range(7):
        [send] = [
            action
            for action in driver.end_attempt(send, AttemptResult.OK)
            if isinstance(action, SendAttempt)
        ]
        order.append(send.request_id)
    assert order.index(driver.id) < order.index(driver.id - 1)  # the class of higher priority first
    assert set(order[-3:]) == {78, 79, 80}  # requests over the quota go last


def test_attempts_that_timed_out_count_as_in_flight_for_a_while():
    """Guards against overloading servers that still work on attempts that timed out (i9a1a82)."""
    driver = Driver(servers=2)
    driver.serve(30, latency=100_000)
    send = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
    driver.end_attempt(send, AttemptResult.TIMEOUT)
    assert len(driver.balancer.endpoints.known[send.server].in_flight) == 1
    driver.run_to(driver.now + 200_000)
    assert not driver.balancer.endpoints.known[send.server].in_flight


def test_many_replicas_keep_the_limit_low_while_responses_are_late():
    """300 replicas of 40 servers must not have several attempts in flight each."""
    driver = Driver(servers=40, replica_count=300)
    driver.serve(900, latency=3_000_000)
    assert driver.balancer.admission.limit < 3


@pytest.mark.parametrize(("fraction", "is_on_target"), [(0.2, True), (0.4, True), (0.8, False)])
def test_the_limit_falls_only_when_latency_is_a_large_fraction_of_the_objective(
    fraction, is_on_target
):
    """Guards against rejections while latency is far inside the objective.

    Two in five requests were rejected at a latency of 0.95 s, where 2.5 s meet the objective.
    """
    driver = Driver(servers=4)
    driver.serve(40)
    driver.serve(100, latency=int(fraction * READ.latency_objective))
    assert (driver.balancer.admission.latency_ratio <= 1) is is_on_target


def test_the_limit_scales_with_the_number_of_servers():
    """Guards against sending the load of a whole tier to the few servers left of it (i2a22b9)."""
    driver = Driver(servers=12)
    driver.serve(40)
    driver.balancer.admission.capacity, driver.balancer.admission.limit = 24.0, 36.0
    driver.feed(
        EndpointListReceived(
            [Endpoint(f"s{i}", EndpointState.REMOVED) for i in range(4, 12)], complete=False
        )
    )
    assert (driver.balancer.admission.capacity, driver.balancer.admission.limit) == (8.0, 12.0)
    driver.feed(EndpointListReceived([Endpoint(f"new{i}") for i in range(8)], complete=False))
    assert (driver.balancer.admission.capacity, driver.balancer.admission.limit) == (24.0, 36.0)
    driver.feed(EndpointListReceived([]))
    driver.feed(EndpointListReceived([Endpoint("s0")]))
    assert len([action for action in driver.send_request() if isinstance(action, SendAttempt)]) == 1


def test_the_limit_does_not_fall_while_responses_are_in_time():
    """Guards against a spiral: the limit lowers the rate, and the rate the limit (i662b88)."""
    driver = Driver(
        8, classes=(dataclasses.replace(READ, latency_objective=4_000_000),), tier_count=3
    )
    waiting = []
    # From second 4 on, responses take over twice the lowest latency, whatever the load.
    for tick in range(4500):
        driver.run_to(tick * 5000)
        waiting += [
            (driver.now + (50_000 if tick < 800 else 120_000), action)
            for action in driver.send_request()
            if isinstance(action, SendAttempt)
        ]
        while waiting and waiting[0][0] <= driver.now:
            _, send = waiting.pop(0)
            latency = 50_000 if tick < 800 else 120_000
            more = driver.end_attempt(send, AttemptResult.OK, 0, latency)
            waiting += [
                (driver.now + latency, action) for action in more if isinstance(action, SendAttempt)
            ]
        if tick == 2000:
            early = driver.balancer.admission.limit
    assert driver.balancer.admission.limit > 0.7 * early


def test_the_start_limit_is_set_by_the_servers_per_replica():
    """Guards against replicas that flood servers before their first responses (i874b61)."""
    for servers, replicas, each in (
        (10, 20, CROWDED_START_LIMIT_PER_SERVER),
        (40, 10, START_LIMIT_PER_SERVER),
    ):
        driver = Driver(servers=servers, replica_count=replicas)
        assert driver.balancer.admission.limit == each * servers / replicas
        sent = sum(
            isinstance(action, SendAttempt) for _ in range(90) for action in driver.send_request()
        )
        assert sent == max(BURST_ATTEMPTS, each * servers / replicas)


def test_limits_below_one_attempt_hold_on_average():
    """Guards against overload by hundreds of replicas with one attempt in flight each."""
    driver = Driver(servers=10, replica_count=100)
    driver.balancer.admission.limit = driver.balancer.admission.min_limit = 0.5
    in_flight, waiting = 0, []
    for tick in range(20_000):  # the load far exceeds the limit
        driver.run_to(tick * 1000)
        for due, send in [item for item in waiting if item[0] <= driver.now]:
            waiting.remove((due, send))
            driver.end_attempt(send, AttemptResult.OK, 0, 200_000)
        if tick % 20 == 0:
            driver.send_request(left=900_000)
        new = {action.request_id for action in driver.actions_of(SendAttempt)} - {
            action.request_id for _, action in waiting
        }
        waiting += [
            (driver.now + 200_000, action)
            for action in driver.actions_of(SendAttempt)
            if action.request_id in new and action.request_id > driver.id - 40
        ]
        driver.balancer.admission.limit = 0.5
        in_flight += driver.balancer.admission.in_flight
    assert 0.3 < in_flight / 20_000 < 0.75


def test_valuable_requests_may_overdraw_a_limit_below_one_attempt():
    """A replica with few requests has no queue in which a class of high priority goes first."""
    valuable = dataclasses.replace(READ, name="valuable", priority_weight=30)
    driver = Driver(servers=10, replica_count=100, classes=(READ, valuable))
    driver.serve(40)
    driver.balancer.admission.limit, driver.balancer.admission.credit = 0.5, 0.0
    assert not [action for action in driver.send_request("read") if isinstance(action, SendAttempt)]
    assert [
        action.request_id
        for action in driver.send_request("valuable")
        if isinstance(action, SendAttempt)
    ] == [driver.id]
    driver.balancer.admission.credit = -0.5  # overdrawn
    assert not [
        action for action in driver.send_request("valuable") if isinstance(action, SendAttempt)
    ]
