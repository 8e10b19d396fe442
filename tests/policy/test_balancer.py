"""What the parts of the decisions do together, and each failure found so far, without a bench."""

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


def test_an_empty_list_holds_requests_and_answers_them_in_time():
    d = Driver(servers=0, entries=[])
    d.send_request(left=500_000)
    assert not d.actions_of(SendAttempt)
    d.run_to(500_000)
    assert [a.request_id for a in d.actions_of(RejectRequest)] == [1]
    d.send_request()
    d.feed(EndpointListReceived([Endpoint("late")]))
    assert [a.server for a in d.actions_of(SendAttempt)] == ["late"]


@pytest.mark.parametrize("left", [0, 1, 500])
def test_no_time_left_is_answered_at_once(left):
    d = Driver()
    assert [type(a) for a in d.send_request(left=left)] == [RejectRequest]


@pytest.mark.parametrize("tier", [0, 1, 2])
def test_inner_tiers_leave_time_for_their_callers(tier):
    once = RequestClass("once", 1_000_000, 4_000_000, 1, 0.0, Idempotency.NOT_IDEMPOTENT)
    d = Driver(tier=tier, tier_count=3, classes=(once,))
    [send] = [a for a in d.send_request("once") if isinstance(a, SendAttempt)]
    assert send.timeout <= 1_000_000 * (1 - tier / 6)
    d.run_to(1_000_000)
    assert [a.request_id for a in d.actions_of(FailRequest)] == [1]


def test_nothing_is_probed():
    """No deployment has cheap reports on probes, and asking first is not the design's choice."""
    d = Driver(report_names=("in_flight",), probes=True)
    d.serve(30)
    kinds = {type(action) for _, action in d.actions}
    assert kinds <= {SendAttempt, SetTimer, WatchEndpoints}


@pytest.mark.parametrize(
    ("field", "told_as", "value"),
    [
        ("classes", "classes", ()),
        ("replica_count", "instances", 0),
        ("tier", "tier", 3),
        ("max_attempts", "max_attempts", 0),
        ("slow_start_minimum", "cold_from", 0.0),
        ("poll_interval", "ask_within", 0),
    ],
)
def test_impossible_settings_are_named(field, told_as, value):
    with pytest.raises(SettingsError, match=f"^{told_as}: expected "):
        Settings(**{"classes": (READ,), field: value})


def test_actions_do_not_depend_on_the_hash_seed():
    code = (
        "import sys; sys.path.insert(0, 'tests/policy')\n"
        "from test_rules import World\n"
        "w = World(5, {'hedging_allowed': True, 'replica_count': 3})\n"
        "for _ in range(400): w.step()\n"
        "print(w.log)"
    )
    outs = {
        subprocess.run(
            [sys.executable, "-c", code], env={"PYTHONHASHSEED": h}, capture_output=True
        ).stdout
        for h in ("0", "1", "2")
    }
    assert len(outs) == 1
    assert len(outs.pop()) > 1000


def test_replaced_timers_set_no_further_ones():
    d = Driver(8)
    d.serve(
        300, latency=400_000, gap=1000
    )  # each request's alarms are earlier than the one that is armed
    for i in range(300):  # many are out at once, and each failure brings a nearer alarm
        d.run_to(d.now + 5000)
        for a in d.send_request():
            if isinstance(a, SendAttempt):
                d.end_attempt(a, AttemptResult.ERROR if i % 2 else AttemptResult.OK)
    d.run_to(d.now + 60_000_000)
    assert len(d.actions_of(SetTimer)) < 3 * d.id
    assert not d.timers  # and an idle copy has none


def test_a_failed_connect_gives_no_idle_connection_back():
    """Day reykjavik big-1: new connections were slow, and giving back the good ones left none."""
    d = Driver(2)
    d.serve(20)
    d.balancer.admission.limit = 9.0
    first, second = (
        next(a for a in d.send_request() if isinstance(a, SendAttempt)) for _ in range(2)
    )
    third = next(a for a in d.send_request() if isinstance(a, SendAttempt))
    d.end_attempt(
        third, AttemptResult.CONNECT_FAILED
    )  # though that server has answered just now and has a call of ours
    d.end_attempt(first, AttemptResult.OK)
    d.end_attempt(second, AttemptResult.OK)
    d.serve(20)
    assert {type(action) for _, action in d.actions} <= {SendAttempt, SetTimer, WatchEndpoints}


def test_what_is_out_is_called_off_when_the_client_leaves():
    """Days of reykjavik's retry_abuse: clients left, and servers worked on for nobody."""
    for cancel in (True, False):
        d = Driver(cancellation_allowed=cancel)
        send = next(a for a in d.send_request() if isinstance(a, SendAttempt))
        d.feed(ClientDisconnected(send.request_id))
        assert d.actions_of(CancelAttempt) == (
            [CancelAttempt(send.request_id, 0)] if cancel else []
        )
        d.end_attempt(send, AttemptResult.CANCELLED)
        d.feed(ClientDisconnected(send.request_id))  # once more, late
        assert not d.actions_of(RejectRequest) + d.actions_of(FailRequest)


def test_an_answer_that_streams_is_not_called_off():
    """Found by ``lbsim check``: the cancel also hit the attempt that the client now reads."""
    d = Driver(cancellation_allowed=True, classes=(dataclasses.replace(READ, streamed=True),))
    send = next(a for a in d.send_request() if isinstance(a, SendAttempt))
    d.feed(ResponseStarted(send.request_id, 0))
    d.run_to(d.now + 9 * SECOND)
    assert not d.actions_of(CancelAttempt) + d.actions_of(RejectRequest) + d.actions_of(FailRequest)
    assert not d.balancer.requests
