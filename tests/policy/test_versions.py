"""Tests of retries pinned to the endpoint list of the first attempt."""

from driver import Driver

from oakbridge.policy.actions import RejectRequest, SendAttempt
from oakbridge.policy.events import (
    AttemptResult,
    Endpoint,
    EndpointListReceived,
    EndpointsAnnounced,
    EndpointState,
)


def pinned_driver(*names: str, **options) -> Driver:
    return Driver(
        entries=[Endpoint(n, address=n) for n in names], pin_endpoint_list=True, **options
    )


def first_attempt(driver: Driver) -> SendAttempt:
    return next(action for action in driver.send_request() if isinstance(action, SendAttempt))


def retries(driver: Driver, first: SendAttempt, result=AttemptResult.ERROR) -> list[SendAttempt]:
    """End the first attempt with a result; return the retries of the next second."""
    before = len(driver.actions_of(SendAttempt))
    driver.end_attempt(first, result)
    driver.run_to(driver.now + 1_000_000)
    return driver.actions_of(SendAttempt)[before:]


def test_a_retry_is_not_sent_to_a_server_added_later():
    for seed in range(30):
        driver = pinned_driver("a", "b", seed=seed)
        driver.serve(30)
        first = first_attempt(driver)
        driver.feed(
            EndpointListReceived([Endpoint(n, address=n) for n in ("c", "d", "e")], complete=False)
        )
        assert {action.server for action in retries(driver, first)} <= {"a", "b"}


def test_a_retry_is_not_sent_to_a_server_that_was_removed_in_between():
    for seed in range(30):
        driver = pinned_driver("a", "b", "c", seed=seed)
        driver.serve(30)
        first = first_attempt(driver)
        back = next(n for n in "abc" if n != first.server)
        driver.feed(EndpointListReceived([Endpoint(back, EndpointState.REMOVED)], complete=False))
        driver.feed(EndpointListReceived([Endpoint(back, address=back)], complete=False))
        assert back not in {action.server for action in retries(driver, first)}


def test_a_server_at_a_new_address_is_a_new_server():
    for seed in range(30):
        driver = pinned_driver("a", "b", "c", seed=seed)
        driver.serve(30)
        first = first_attempt(driver)
        moved = next(n for n in "abc" if n != first.server)
        driver.feed(EndpointListReceived([Endpoint(moved, address="elsewhere")], complete=False))
        assert driver.balancer.servers[moved].score == -2.0
        assert moved not in {action.server for action in retries(driver, first)}


def test_a_request_whose_pinned_servers_are_removed_is_rejected_at_once():
    driver = pinned_driver("a", "b")
    driver.serve(30)
    first = first_attempt(driver)
    driver.end_attempt(first, AttemptResult.ERROR)  # the retry is scheduled
    actions = driver.feed(EndpointListReceived([Endpoint("c", address="c")]))
    assert [action.request_id for action in actions if isinstance(action, RejectRequest)] == [
        first.request_id
    ]


def test_a_request_in_flight_whose_pinned_servers_are_removed_is_rejected_after_its_attempt():
    driver = pinned_driver("a", "b")
    driver.serve(30)
    first = first_attempt(driver)
    assert not [
        action
        for action in driver.feed(EndpointListReceived([Endpoint("c", address="c")]))
        if isinstance(action, RejectRequest)
    ]
    assert [
        action.request_id
        for action in driver.end_attempt(first, AttemptResult.ERROR)
        if isinstance(action, RejectRequest)
    ] == [first.request_id]


def test_a_request_without_an_attempt_uses_the_newest_list():
    driver = pinned_driver("a")
    driver.feed(EndpointListReceived([Endpoint("a", EndpointState.DRAINING)], complete=False))
    assert not [action for action in driver.send_request() if isinstance(action, SendAttempt)]
    driver.feed(EndpointListReceived([Endpoint("b", address="b")], complete=False))
    assert [action.server for action in driver.actions_of(SendAttempt)] == ["b"]


def test_without_the_setting_retries_use_the_newest_list():
    found = set()
    for seed in range(30):
        driver = Driver(entries=[Endpoint("a")], seed=seed)
        driver.serve(30)
        first = first_attempt(driver)
        driver.feed(EndpointListReceived([Endpoint("b")], complete=False))
        found |= {action.server for action in retries(driver, first)}
    assert "b" in found


def test_announced_servers_get_no_requests_and_are_kept_only_if_listed():
    driver = pinned_driver("a")
    driver.feed(EndpointsAnnounced([Endpoint(n, address=n) for n in ("b", "c")]))
    assert set(driver.serve(20)) == {"a"}
    driver.feed(EndpointListReceived([Endpoint("b", address="b")], complete=False))
    assert set(driver.balancer.servers) == set(driver.balancer.endpoints.known) == {"a", "b"}
