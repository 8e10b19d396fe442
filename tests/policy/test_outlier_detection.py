"""Which servers are ejected, and what is done about those that hang."""

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


def test_a_tier_that_fails_as_a_whole_ejects_nobody():
    outliers = OutlierDetection(Membership(""), LatencyAverages())
    servers = [Server(id=f"s{i}") for i in range(6)]
    now = 0
    for n in range(600):
        now += 50_000
        outliers.update_score(servers[n % 6], n % 5 < 4, now)
    late = [s for s in servers if s.ejected_until > now]
    assert not late


@pytest.mark.parametrize(("doubt", "failures"), [(0.0, 2), (0.4, 1), (1.0, 1), (9.0, 1)])
def test_others_word_spares_own_failures_and_ejects_nobody(doubt, failures):
    d = Driver(servers=4)
    s = d.balancer.servers[d.serve(40)[-1]]
    for _ in range(50):
        d.balancer.handle(d.now, PeerFailureReports({s.id: doubt, "unheard of": 1.0}))
    before = s.score
    assert s.id in d.serve(40, gap=20_000)
    assert s.score == before
    for _ in range(failures):
        assert not s.ejected_until
        d.balancer.outliers.update_score(s, True, d.now)
    assert s.ejected_until > d.now


def test_a_tier_slow_as_a_whole_ejects_nobody():
    d = Driver(servers=5)
    d.serve(60)
    d.serve(100, latency=900_000)
    assert all(not s.ejected_until for s in d.balancer.servers.values())


def test_an_ejected_server_is_tried_with_one_repeatable_call():
    d = Driver(servers=3)
    d.serve(30)
    s = d.balancer.servers["s0"]
    s.ejected_until = d.now + 1_000_000
    assert "s0" not in d.serve(20)
    d.run_to(s.ejected_until + 1)
    pays = d.serve(6, klass="pay", gap=0)
    assert pays
    assert "s0" not in pays
    reads = [a for _ in range(5) for a in d.send_request("read") if isinstance(a, SendAttempt)]
    assert [a.server for a in reads].count("s0") == 1


def test_ejection_has_a_floor():
    d = Driver(servers=3)
    d.serve(20)
    for s in d.balancer.servers.values():
        s.ejected_until = d.now + 10_000_000
        d.balancer.members.update_ejection(s, d.now)
    assert [a for a in d.send_request() if isinstance(a, SendAttempt)]


def test_a_hung_server_is_passed_over():
    d = Driver(servers=4)
    d.serve(40)
    hung = next(a for a in d.send_request() if isinstance(a, SendAttempt))
    d.serve(40)
    assert hung.server not in d.serve(30)


def test_one_connect_failure_ejects_a_silent_server_but_not_one_that_answers():
    """Incident i516c0e: inner copies found each dead server twice, a quarter of a second each."""
    d = Driver(servers=4)
    d.serve(30)
    d.run_to(d.now + 2 * SECOND)
    send = next(a for a in d.send_request() if isinstance(a, SendAttempt))
    d.end_attempt(send, AttemptResult.CONNECT_FAILED)
    assert d.balancer.endpoints.known[send.server].ejected_until > d.now
    d = Driver(servers=1)
    d.serve(30)
    sends = [a for _ in range(3) for a in d.send_request() if isinstance(a, SendAttempt)]
    d.end_attempt(sends[0], AttemptResult.CONNECT_FAILED)
    assert not d.balancer.endpoints.known["s0"].ejected_until
    assert d.balancer.endpoints.known["s0"].max_in_flight == 2


def test_servers_that_answer_do_not_hang():
    """Guards against a tier that stands still as each server has a call stuck behind it."""
    d = Driver(servers=2)
    stuck = {d.send_request()[-1].server, d.send_request()[-1].server}
    assert stuck == {"s0", "s1"}
    for step in range(1, 26):
        d.run_to(step * SECOND // 10)
        sends = [a for a in d.send_request() if isinstance(a, SendAttempt)]
        assert len(sends) == 1  # it did not have to wait
        d.end_attempt(sends[0], AttemptResult.OK)
    server = d.balancer.servers[sends[0].server]
    assert not d.balancer.outliers.is_hung(server, d.now)
    server.responded_at = next(
        iter(server.in_flight.values())
    ).sent_at  # but one that has answered nothing since does
    assert d.balancer.outliers.is_hung(server, d.now)


def test_a_server_that_turns_away_a_copy_with_nothing_out_there_rests():
    """Guards against one that says "full" at once.

    With no call out it looks idle, and would get all retries.
    """
    d = Driver(servers=4)
    d.serve(40)
    d.actions.clear()
    tried = 0
    for _ in range(200):  # 10 s
        d.run_to(d.now + 50_000)
        d.send_request()
        while sends := [a for _, a in d.actions if isinstance(a, SendAttempt)]:
            d.actions.clear()
            for send in sends:
                tried += send.server == "s0"
                number = len(d.balancer.requests[send.request_id].attempts) - 1
                d.end_attempt(
                    send,
                    AttemptResult.REJECTED if send.server == "s0" else AttemptResult.OK,
                    number,
                )
            d.run_to(d.now + 30_000)
    assert 1 <= tried <= 6


@pytest.mark.parametrize(("klass", "goes_on"), [("read", True), ("pay", False)])
def test_what_waits_at_a_server_that_hangs_goes_elsewhere_if_it_may(klass, goes_on):
    """Wide days: calls stuck at three servers of the last tier filled the limits of both above."""
    d = Driver(servers=4, cancellation_allowed=True)
    d.serve(60)
    stuck = next(a for a in d.send_request(klass) if isinstance(a, SendAttempt))
    d.serve(60)
    off = [a for a in d.actions_of(CancelAttempt) if a.request_id == stuck.request_id]
    assert off == ([CancelAttempt(stuck.request_id, 0)] if goes_on else [])
    if goes_on:
        d.feed(AttemptEnded(stuck.request_id, 0, stuck.server, AttemptResult.CANCELLED, 1_000_000))
        d.run_to(d.now + 100_000)
        again = [a for a in d.actions_of(SendAttempt) if a.request_id == stuck.request_id]
        assert len(again) == 2
        assert again[1].server != stuck.server
        called_off = next(when for when, a in d.actions if isinstance(a, CancelAttempt))
        used = [
            a.server
            for when, a in d.actions
            if isinstance(a, SendAttempt) and 0 < when - called_off < SECOND
        ]
        assert used
        assert stuck.server not in used


def test_a_late_answer_clears_its_server_before_the_look_for_what_hangs():
    d = Driver(servers=4, cancellation_allowed=True)
    d.serve(60)
    late = next(a for a in d.send_request() if isinstance(a, SendAttempt))
    d.balancer.reviewed_at = d.now
    d.serve(12, gap=20_000)  # just under half a second: the answer itself brings the next look
    d.now += 30_000
    d.end_attempt(late, AttemptResult.OK, latency=510_000)
    assert d.balancer.reviewed_at == d.now
    assert not d.actions_of(CancelAttempt)
    assert not d.balancer.members.ejected_count()


def test_no_more_is_called_off_in_one_look_than_may_be_tried_again():
    d = Driver(
        servers=4, cancellation_allowed=True, retry_ratio=0.0, retry_floor=0.2
    )  # two in ten seconds
    d.serve(60)
    d.balancer.admission.limit = 100.0
    while sum(len(s.in_flight) for s in d.balancer.servers.values()) < 16:
        d.send_request()
    answered = [s for s in d.balancer.servers.values() if s.id != "s0"]
    for (number, _), _ in [item for s in answered for item in list(s.in_flight.items())]:
        d.feed(
            AttemptEnded(
                number,
                0,
                d.balancer.requests[number].attempts[0].server.id,
                AttemptResult.OK,
                20_000,
                True,
            )
        )
    d.run_to(d.now + SECOND)
    d.send_request()
    assert len(d.balancer.servers["s0"].in_flight) > 2 == len(d.actions_of(CancelAttempt))


def test_nothing_is_called_off_while_all_wait_alike():
    """A tier that has become slow as a whole must not get its calls twice."""
    d = Driver(servers=4, cancellation_allowed=True)
    d.serve(60)
    for _ in range(8):
        d.send_request()
    d.run_to(d.now + 2_000_000)
    d.send_request()
    assert not d.actions_of(CancelAttempt)
