"""Tests of ejecting servers that fail, and of servers that hang."""

import pytest
from driver import Driver

from oakbridge.policy.actions import (
    CancelAttempt,
    SendAttempt,
)
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    PeerFailureReports,
)
from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.membership import Membership
from oakbridge.policy.outlier_detection import OutlierDetection
from oakbridge.policy.records import Server
from oakbridge.policy.timers import SECOND_US as SECOND


def test_no_server_is_ejected_while_all_fail():
    outliers = OutlierDetection(Membership(""), LatencyAverages())
    servers = [Server(id=f"s{i}") for i in range(6)]
    now = 0
    for n in range(600):
        now += 50_000
        outliers.update_score(servers[n % 6], n % 5 < 4, now)
    ejected = [server for server in servers if server.ejected_until > now]
    assert not ejected


@pytest.mark.parametrize(("suspicion", "failures"), [(0.0, 2), (0.4, 1), (1.0, 1), (9.0, 1)])
def test_peer_reports_reduce_the_failures_to_eject_but_eject_no_server(suspicion, failures):
    driver = Driver(servers=4)
    server = driver.balancer.servers[driver.serve(40)[-1]]
    for _ in range(50):
        driver.balancer.handle(
            driver.now, PeerFailureReports({server.id: suspicion, "unknown": 1.0})
        )
    before = server.score
    assert server.id in driver.serve(40, gap=20_000)
    assert server.score == before
    for _ in range(failures):
        assert not server.ejected_until
        driver.balancer.outliers.update_score(server, True, driver.now)
    assert server.ejected_until > driver.now


def test_no_server_is_ejected_while_all_are_slow():
    driver = Driver(servers=5)
    driver.serve(60)
    driver.serve(100, latency=900_000)
    assert all(not server.ejected_until for server in driver.balancer.servers.values())


def test_after_its_ejection_a_server_is_tested_with_one_retryable_request():
    driver = Driver(servers=3)
    driver.serve(30)
    server = driver.balancer.servers["s0"]
    server.ejected_until = driver.now + 1_000_000
    assert "s0" not in driver.serve(20)
    driver.run_to(server.ejected_until + 1)
    pays = driver.serve(6, klass="pay", gap=0)
    assert pays
    assert "s0" not in pays
    reads = [
        action
        for _ in range(5)
        for action in driver.send_request("read")
        if isinstance(action, SendAttempt)
    ]
    assert [action.server for action in reads].count("s0") == 1


def test_ejected_servers_are_used_if_all_are_ejected():
    driver = Driver(servers=3)
    driver.serve(20)
    for server in driver.balancer.servers.values():
        server.ejected_until = driver.now + 10_000_000
        driver.balancer.members.update_ejection(server, driver.now)
    assert [action for action in driver.send_request() if isinstance(action, SendAttempt)]


def test_a_hung_server_is_skipped():
    driver = Driver(servers=4)
    driver.serve(40)
    hung = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
    driver.serve(40)
    assert hung.server not in driver.serve(30)


def test_one_connect_failure_ejects_a_server_unless_it_is_responding():
    """Guards against a second failed connect, of 0.25 s, to each dead server (i516c0e)."""
    driver = Driver(servers=4)
    driver.serve(30)
    driver.run_to(driver.now + 2 * SECOND)
    send = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
    driver.end_attempt(send, AttemptResult.CONNECT_FAILED)
    assert driver.balancer.endpoints.known[send.server].ejected_until > driver.now
    driver = Driver(servers=1)
    driver.serve(30)
    sends = [
        action
        for _ in range(3)
        for action in driver.send_request()
        if isinstance(action, SendAttempt)
    ]
    driver.end_attempt(sends[0], AttemptResult.CONNECT_FAILED)
    assert not driver.balancer.endpoints.known["s0"].ejected_until
    assert driver.balancer.endpoints.known["s0"].max_in_flight == 2


def test_servers_that_respond_do_not_hang():
    """Guards against a tier that is unused because each server has an attempt that is stuck."""
    driver = Driver(servers=2)
    stuck = {driver.send_request()[-1].server, driver.send_request()[-1].server}
    assert stuck == {"s0", "s1"}
    for step in range(1, 26):
        driver.run_to(step * SECOND // 10)
        sends = [action for action in driver.send_request() if isinstance(action, SendAttempt)]
        assert len(sends) == 1  # the request did not have to wait
        driver.end_attempt(sends[0], AttemptResult.OK)
    server = driver.balancer.servers[sends[0].server]
    assert not driver.balancer.outliers.is_hung(server, driver.now)
    # Without a response since the attempt was sent, the server hangs.
    server.responded_at = next(iter(server.in_flight.values())).sent_at
    assert driver.balancer.outliers.is_hung(server, driver.now)


def test_a_server_that_rejects_a_replica_without_attempts_there_is_ejected():
    """Guards against a server that rejects at once.

    With no attempt in flight there it looks idle, and would get all retries.
    """
    driver = Driver(servers=4)
    driver.serve(40)
    driver.actions.clear()
    tried = 0
    for _ in range(200):  # 10 s
        driver.run_to(driver.now + 50_000)
        driver.send_request()
        while sends := [action for _, action in driver.actions if isinstance(action, SendAttempt)]:
            driver.actions.clear()
            for send in sends:
                tried += send.server == "s0"
                number = len(driver.balancer.requests[send.request_id].attempts) - 1
                driver.end_attempt(
                    send,
                    AttemptResult.REJECTED if send.server == "s0" else AttemptResult.OK,
                    number,
                )
            driver.run_to(driver.now + 30_000)
    assert 1 <= tried <= 6


@pytest.mark.parametrize(("klass", "is_retried"), [("read", True), ("pay", False)])
def test_attempts_at_a_hung_server_are_retried_elsewhere_if_allowed(klass, is_retried):
    """Guards against attempts stuck at a few servers that fill the limits of the tiers in front."""
    driver = Driver(servers=4, cancellation_allowed=True)
    driver.serve(60)
    stuck = next(action for action in driver.send_request(klass) if isinstance(action, SendAttempt))
    driver.serve(60)
    cancelled = [
        action
        for action in driver.actions_of(CancelAttempt)
        if action.request_id == stuck.request_id
    ]
    assert cancelled == ([CancelAttempt(stuck.request_id, 0)] if is_retried else [])
    if is_retried:
        driver.feed(
            AttemptEnded(stuck.request_id, 0, stuck.server, AttemptResult.CANCELLED, 1_000_000)
        )
        driver.run_to(driver.now + 100_000)
        again = [
            action
            for action in driver.actions_of(SendAttempt)
            if action.request_id == stuck.request_id
        ]
        assert len(again) == 2
        assert again[1].server != stuck.server
        cancelled_at = next(
            when for when, action in driver.actions if isinstance(action, CancelAttempt)
        )
        used = [
            action.server
            for when, action in driver.actions
            if isinstance(action, SendAttempt) and 0 < when - cancelled_at < SECOND
        ]
        assert used
        assert stuck.server not in used


def test_a_late_response_counts_before_hung_servers_are_looked_for():
    driver = Driver(servers=4, cancellation_allowed=True)
    driver.serve(60)
    late = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
    driver.balancer.reviewed_at = driver.now
    driver.serve(12, gap=20_000)  # just under half a second: the late response triggers the review
    driver.now += 30_000
    driver.end_attempt(late, AttemptResult.OK, latency=510_000)
    assert driver.balancer.reviewed_at == driver.now
    assert not driver.actions_of(CancelAttempt)
    assert not driver.balancer.members.ejected_count()


def test_no_more_attempts_are_cancelled_at_once_than_may_be_retried():
    # The retry budget allows two retries in ten seconds.
    driver = Driver(servers=4, cancellation_allowed=True, retry_ratio=0.0, retry_floor=0.2)
    driver.serve(60)
    driver.balancer.admission.limit = 100.0
    while sum(len(server.in_flight) for server in driver.balancer.servers.values()) < 16:
        driver.send_request()
    others = [server for server in driver.balancer.servers.values() if server.id != "s0"]
    for (number, _), _ in [item for server in others for item in list(server.in_flight.items())]:
        driver.feed(
            AttemptEnded(
                number,
                0,
                driver.balancer.requests[number].attempts[0].server.id,
                AttemptResult.OK,
                20_000,
                True,
            )
        )
    driver.run_to(driver.now + SECOND)
    driver.send_request()
    assert len(driver.balancer.servers["s0"].in_flight) > 2 == len(driver.actions_of(CancelAttempt))


def test_no_attempt_is_cancelled_while_all_servers_are_slow():
    """Guards against sending requests twice to a tier that is slow as a whole."""
    driver = Driver(servers=4, cancellation_allowed=True)
    driver.serve(60)
    for _ in range(8):
        driver.send_request()
    driver.run_to(driver.now + 2_000_000)
    driver.send_request()
    assert not driver.actions_of(CancelAttempt)
