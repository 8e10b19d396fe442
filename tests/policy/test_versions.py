"""A request keeps to the list by which its first attempt was sent."""

from driver import Driver

from oakbridge.policy.actions import RejectRequest, SendAttempt
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    EndpointsAnnounced,
    EndpointState,
)


def driver(*names: str, **options) -> Driver:
    return Driver(
        entries=[Endpoint(n, address=n) for n in names], pin_endpoint_list=True, **options
    )


def ask(d: Driver) -> SendAttempt:
    return next(a for a in d.send_request() if isinstance(a, SendAttempt))


def retries(d: Driver, first: SendAttempt, result=AttemptResult.ERROR) -> list[SendAttempt]:
    before = len(d.actions_of(SendAttempt))
    d.end_attempt(first, result)
    d.run_to(d.now + 1_000_000)
    return d.actions_of(SendAttempt)[before:]


def test_a_retry_never_goes_to_a_server_that_came_later():
    for seed in range(30):
        d = driver("a", "b", seed=seed)
        d.serve(30)
        first = ask(d)
        d.feed(
            EndpointListReceived([Endpoint(n, address=n) for n in ("c", "d", "e")], complete=False)
        )
        assert {s.server for s in retries(d, first)} <= {"a", "b"}


def test_a_retry_never_goes_to_a_server_that_was_gone_in_between():
    for seed in range(30):
        d = driver("a", "b", "c", seed=seed)
        d.serve(30)
        first = ask(d)
        back = next(n for n in "abc" if n != first.server)
        d.feed(EndpointListReceived([Endpoint(back, EndpointState.REMOVED)], complete=False))
        d.feed(EndpointListReceived([Endpoint(back, address=back)], complete=False))
        assert back not in {s.server for s in retries(d, first)}


def test_a_server_at_another_address_is_another_server():
    for seed in range(30):
        d = driver("a", "b", "c", seed=seed)
        d.serve(30)
        first = ask(d)
        moved = next(n for n in "abc" if n != first.server)
        d.feed(EndpointListReceived([Endpoint(moved, address="elsewhere")], complete=False))
        assert d.balancer.servers[moved].score == -2.0
        assert moved not in {s.server for s in retries(d, first)}


def test_what_keeps_to_a_list_with_no_server_left_is_answered_at_once():
    d = driver("a", "b")
    d.serve(30)
    first = ask(d)
    d.end_attempt(first, AttemptResult.ERROR)  # it waits for its retry
    got = d.feed(EndpointListReceived([Endpoint("c", address="c")]))
    assert [a.request_id for a in got if isinstance(a, RejectRequest)] == [first.request_id]


def test_what_is_out_when_its_list_goes_is_answered_as_it_ends():
    d = driver("a", "b")
    d.serve(30)
    first = ask(d)
    assert not [
        a
        for a in d.feed(EndpointListReceived([Endpoint("c", address="c")]))
        if isinstance(a, RejectRequest)
    ]
    assert [
        a.request_id
        for a in d.end_attempt(first, AttemptResult.ERROR)
        if isinstance(a, RejectRequest)
    ] == [first.request_id]


def test_what_has_no_attempt_yet_goes_by_the_newest_list():
    d = driver("a")
    d.feed(EndpointListReceived([Endpoint("a", EndpointState.DRAINING)], complete=False))
    assert not [a for a in d.send_request() if isinstance(a, SendAttempt)]
    d.feed(EndpointListReceived([Endpoint("b", address="b")], complete=False))
    assert [a.server for a in d.actions_of(SendAttempt)] == ["b"]


def test_without_the_setting_retries_go_by_the_newest_list():
    found = set()
    for seed in range(30):
        d = Driver(entries=[Endpoint("a")], seed=seed)
        d.serve(30)
        first = ask(d)
        d.feed(EndpointListReceived([Endpoint("b")], complete=False))
        found |= {s.server for s in retries(d, first)}
    assert "b" in found


def test_records_made_ahead_are_used_by_no_request_and_kept_only_if_listed():
    d = driver("a")
    d.feed(EndpointsAnnounced([Endpoint(n, address=n) for n in ("b", "c")]))
    assert set(d.serve(20)) == {"a"}
    d.feed(EndpointListReceived([Endpoint("b", address="b")], complete=False))
    assert set(d.balancer.servers) == set(d.balancer.endpoints.known) == {"a", "b"}
