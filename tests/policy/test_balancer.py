"""Tests of the balancer as a whole, among them a test for each failure found so far."""

import dataclasses
import subprocess
import sys

import pytest
from driver import READ, Driver

from oakbridge.policy.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from oakbridge.policy.events import (
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListReceived,
    ResponseStarted,
)
from oakbridge.policy.settings import (
    Idempotency,
    RequestClass,
    Settings,
    SettingsError,
)
from oakbridge.policy.timers import SECOND_US as SECOND


def test_requests_wait_for_a_server_and_get_a_response_in_time():
    driver = Driver(servers=0, entries=[])
    driver.send_request(left=500_000)
    assert not driver.actions_of(SendAttempt)
    driver.run_to(500_000)
    assert [action.request_id for action in driver.actions_of(RejectRequest)] == [1]
    driver.send_request()
    driver.feed(EndpointListReceived([Endpoint("late")]))
    assert [action.server for action in driver.actions_of(SendAttempt)] == ["late"]


@pytest.mark.parametrize("left", [0, 1, 500])
def test_requests_without_time_left_are_rejected_at_once(left):
    driver = Driver()
    assert [type(action) for action in driver.send_request(left=left)] == [RejectRequest]


@pytest.mark.parametrize("tier", [0, 1, 2])
def test_inner_tiers_leave_time_for_their_clients(tier):
    once = RequestClass("once", 1_000_000, 4_000_000, 1, 0.0, Idempotency.NOT_IDEMPOTENT)
    driver = Driver(tier=tier, tier_count=3, classes=(once,))
    [send] = [action for action in driver.send_request("once") if isinstance(action, SendAttempt)]
    assert send.timeout <= 1_000_000 * (1 - tier / 6)
    driver.run_to(1_000_000)
    assert [action.request_id for action in driver.actions_of(FailRequest)] == [1]


def test_no_probes_are_sent():
    """The balancer learns from responses; no deployment has cheap load reports on probes."""
    driver = Driver(report_names=("in_flight",), probes=True)
    driver.serve(30)
    kinds = {type(action) for _, action in driver.actions}
    assert kinds <= {SendAttempt, SetTimer, WatchEndpoints}


@pytest.mark.parametrize(
    ("field", "setting", "value"),
    [
        ("classes", "classes", ()),
        ("replica_count", "instances", 0),
        ("tier", "tier", 3),
        ("max_attempts", "max_attempts", 0),
        ("slow_start_minimum", "cold_from", 0.0),
        ("poll_interval", "ask_within", 0),
    ],
)
def test_errors_of_invalid_settings_name_the_setting(field, setting, value):
    with pytest.raises(SettingsError, match=f"^{setting}: expected "):
        Settings(**{"classes": (READ,), field: value})


def test_actions_do_not_depend_on_the_hash_seed():
    code = (
        "import sys; sys.path.insert(0, 'tests/policy')\n"
        "from test_rules import World\n"
        "world = World(5, {'hedging_allowed': True, 'replica_count': 3})\n"
        "for _ in range(400): world.step()\n"
        "print(world.log)"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code], env={"PYTHONHASHSEED": hash_seed}, capture_output=True
        ).stdout
        for hash_seed in ("0", "1", "2")
    }
    assert len(outputs) == 1
    assert len(outputs.pop()) > 1000


def test_replaced_timers_set_no_further_timers():
    driver = Driver(8)
    # Each request needs an earlier timer than the current one.
    driver.serve(300, latency=400_000, gap=1000)
    for i in range(300):  # many attempts are in flight, and each failure needs an earlier timer
        driver.run_to(driver.now + 5000)
        for action in driver.send_request():
            if isinstance(action, SendAttempt):
                driver.end_attempt(action, AttemptResult.ERROR if i % 2 else AttemptResult.OK)
    driver.run_to(driver.now + 60_000_000)
    assert len(driver.actions_of(SetTimer)) < 3 * driver.id
    assert not driver.timers  # an idle replica has no timers


def test_a_failed_connect_causes_only_attempts_timers_and_watches():
    """Guards against closing idle connections after a failed connect, when new ones are slow."""
    driver = Driver(2)
    driver.serve(20)
    driver.balancer.admission.limit = 9.0
    first, second = (
        next(action for action in driver.send_request() if isinstance(action, SendAttempt))
        for _ in range(2)
    )
    third = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
    # The server has just responded and has an attempt in flight.
    driver.end_attempt(third, AttemptResult.CONNECT_FAILED)
    driver.end_attempt(first, AttemptResult.OK)
    driver.end_attempt(second, AttemptResult.OK)
    driver.serve(20)
    assert {type(action) for _, action in driver.actions} <= {SendAttempt, SetTimer, WatchEndpoints}


def test_attempts_in_flight_are_cancelled_when_the_client_disconnects():
    """Guards against servers that work on requests of disconnected clients."""
    for is_allowed in (True, False):
        driver = Driver(cancellation_allowed=is_allowed)
        send = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
        driver.feed(ClientDisconnected(send.request_id))
        assert driver.actions_of(CancelAttempt) == (
            [CancelAttempt(send.request_id, 0)] if is_allowed else []
        )
        driver.end_attempt(send, AttemptResult.CANCELLED)
        driver.feed(ClientDisconnected(send.request_id))  # a late duplicate
        assert not driver.actions_of(RejectRequest) + driver.actions_of(FailRequest)


def test_the_attempt_that_streams_is_not_cancelled():
    """Guards against cancelling the attempt whose response the client is reading."""
    driver = Driver(cancellation_allowed=True, classes=(dataclasses.replace(READ, streamed=True),))
    send = next(action for action in driver.send_request() if isinstance(action, SendAttempt))
    driver.feed(ResponseStarted(send.request_id, 0))
    driver.run_to(driver.now + 9 * SECOND)
    assert (
        not driver.actions_of(CancelAttempt)
        + driver.actions_of(RejectRequest)
        + driver.actions_of(FailRequest)
    )
    assert not driver.balancer.requests
