"""Tests of the simulator adapter: messages in, messages out, and errors."""

import io
import json

import pytest

from oakbridge.node.settings import read_settings
from oakbridge.policy import balancer
from oakbridge.policy.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from oakbridge.policy.events import Endpoint, EndpointState, RequestReceived
from oakbridge.simhost import adapter

SETTINGS = {
    "allowed": {"cancelling": True, "max-attempts": 5, "second-copies": True, "retry-after": True},
    "classes": [
        {
            "name": "read",
            "aim": 1000000,
            "deadline": 4000000,
            "idempotency": "pure",
            "importance": 2,
            "new-key": 1,
        }
    ],
    "discovery": "pushed",
    "instances": 3,
    "invariants": {"cold-from": 0.3, "fall": 2000000, "fall-multiple": 4.0, "warm-up": 6700000},
    "layers": ["front", "back"],
    "stage": 1,
    "unheard-of": {"x": 1},
}
SYNC, END = {"msg": "sync", "ts": 5}, {"msg": "eof-batch"}
SPAWN = {"msg": "spawn", "node-id": 1, "random-seed": 3, "settings": SETTINGS}
PAGE = {"msg": "page", "roster-id": 2, "entries": [{"server": "server.a", "availability": "on"}]}
UPDATE = {"msg": "update", "node-id": 1, "mode": "warm_copy", "roster-id": 2, "index": 1}
KNOCK = {"msg": "knock", "node-id": 1, "op-id": 9, "category": "read", "patience-left": 4000000}

DONE = {
    "msg": "done",
    "node-id": 1,
    "op-id": 9,
    "server": "server.a",
    "disposition": 10,
    "latency": 7,
}


def run(*messages):
    """Run the adapter on messages; return its exit code, its messages and its error output."""
    lines = [message if isinstance(message, str) else json.dumps(message) for message in messages]
    out, err = io.StringIO(), io.StringIO()
    code = adapter.main(io.StringIO("".join(line + "\n" for line in lines)), out, err)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], err.getvalue()


def test_a_request_is_sent_and_the_result_of_its_attempt_is_read():
    done = {
        "msg": "done",
        "node-id": 1,
        "op-id": 9,
        "send-no": 0,
        "server": "server.a",
        "disposition": 20,
        "latency": 7,
    }
    code, got, err = run(
        SYNC, SPAWN, PAGE, UPDATE, KNOCK, END, {"msg": "sync", "ts": 90}, done, END
    )
    assert (code, err) == (0, "")
    assert {"msg": "yield"} in got
    sends = [message for message in got if message["msg"] == "transmit"]
    assert sends[0]["server"] == "server.a"
    assert sends[0]["node-id"] == 1
    assert sends[0]["op-id"] == 9
    assert [message for message in got if message["msg"] == "after"]


def test_empty_input_and_an_empty_batch():
    assert run() == (0, [], "")
    assert run(SYNC, END) == (0, [{"msg": "yield"}], "")


@pytest.mark.parametrize(
    ("message", "error"),
    [
        ("{nonsense", "not JSON"),
        ("[1]", "not an object"),
        ({"msg": "riddle", "node-id": 1}, "unknown message 'riddle'"),
        ({**KNOCK, "node-id": 8}, "knock: node-id: expected the id of a started replica, got 8"),
        (
            {**UPDATE, "roster-id": 7},
            "update: roster-id: expected the id of a list that was sent, got 7",
        ),
        (
            {**UPDATE, "mode": "odd"},
            "update: mode: expected incr, total, warm_copy or lost, got 'odd'",
        ),
        (
            {**UPDATE, "roster-id": None},
            "update: roster-id: expected the id of a list that was sent, got None",
        ),
        ({"msg": "knock", "node-id": 1, "op-id": 9}, "knock: category: missing, expected a string"),
        ({**KNOCK, "op-id": "9"}, "knock: op-id: expected a whole number, got '9'"),
        ({**KNOCK, "op-id": True}, "knock: op-id: expected a whole number, got True"),
        ({**KNOCK, "billing": [1]}, "knock: billing: expected a string, got [1]"),
        ({**KNOCK, "again-by-client": 1}, "knock: again-by-client: expected true or false, got 1"),
        ({"msg": "sync"}, "sync: ts: missing, expected a whole number"),
        ({"msg": "sync", "ts": 1.5}, "sync: ts: expected a whole number, got 1.5"),
        ({"msg": "reminder", "node-id": 1}, "reminder: label: missing, expected a whole number"),
        (
            {"msg": "killed", "node-id": 9},
            "killed: node-id: expected the id of a started replica, got 9",
        ),
        (
            {"msg": "from-peer", "node-id": 1, "by": 2},
            "from-peer: data: missing, expected a string",
        ),
        (
            {"msg": "spawn", "node-id": 1, "random-seed": 1},
            "spawn: settings: missing, expected an object",
        ),
        ({"msg": "sampled", "node-id": 1, "server": "a"}, "sampled: disposition: missing"),
        ({**DONE, "stats": 4}, "done: stats: expected a list, got 4"),
        ({**PAGE, "entries": [3]}, "page: entries[0]: expected an object, got 3"),
        (
            {**PAGE, "entries": [{"server": 3}]},
            "page: entries[0]: server: expected a string, got 3",
        ),
        (
            {**PAGE, "entries": [{"server": "a", "availability": "half"}]},
            "page: entries[0]: availability:",
        ),
        ("[" * 100_000, "not JSON"),
        (
            {"msg": "done", "node-id": 1, "op-id": 1, "server": "a", "disposition": 5},
            "done: disposition: expected the code of a result, got 5",
        ),
        ({"msg": "page", "roster-id": 1, "entries": 4}, "page: entries: expected a list, got 4"),
    ],
)
def test_invalid_input_exits_with_one_line_that_names_the_error(message, error):
    code, _got, err = run(SYNC, SPAWN, PAGE, UPDATE, message, END)
    assert code == 1
    assert err.startswith("line 5: ")
    assert error in err
    assert err.count("\n") == 1


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        ("classes", None, "settings.classes: missing"),
        ("instances", "3", "settings.instances: expected a whole number, got '3'"),
        ("instances", 0, "instances: expected a count of 1 or more, got 0"),
        (
            "discovery",
            "guess",
            "settings.discovery: expected one of pushed, on_request, got 'guess'",
        ),
        ("stage", 2, "tier: expected a number from 0 below 2, got 2"),
    ],
)
def test_invalid_settings_are_reported_as_a_fault(path, value, expected):
    settings = {name: setting for name, setting in SETTINGS.items() if name != path} | (
        {path: value} if value is not None else {}
    )
    code, got, err = run(SYNC, {**SPAWN, "settings": settings}, END)
    assert code == 0
    assert err == ""
    assert got[0]["msg"] == "fault"
    assert got[0]["text"].startswith(expected)


def test_an_invalid_class_is_named_in_the_fault():
    settings = {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "aim": -1}]}
    _, got, _ = run(SYNC, {**SPAWN, "settings": settings}, END)
    assert got[0]["text"] == "settings.classes[0]: class.aim: expected a time above 0, got -1"


def test_an_exception_in_a_balancer_is_a_fault_of_its_replica_alone(monkeypatch):
    def fail(self, now, event):
        raise RuntimeError("lost its way")

    monkeypatch.setattr(balancer.Balancer, "_on_request_received", fail)
    other = {**SPAWN, "node-id": 2}
    code, got, _ = run(SYNC, SPAWN, other, PAGE, UPDATE, KNOCK, {**UPDATE, "node-id": 2}, END)
    assert code == 0
    assert [message for message in got if message["msg"] == "fault"] == [
        {"msg": "fault", "node-id": 1, "text": "RuntimeError: lost its way"}
    ]


def test_a_replica_started_again_after_a_kill_has_no_state():
    killed = {"msg": "killed", "node-id": 1}
    code, got, _ = run(SYNC, SPAWN, PAGE, UPDATE, killed, SPAWN, KNOCK, END)
    assert code == 0
    # The new replica has received no list yet.
    assert not [message for message in got if message["msg"] == "transmit"]


SETTING_PATHS = [  # path on the wire, value, and how to read it from the settings
    ("instances", 7, lambda settings: settings.replica_count),
    ("classes[].aim-stretch", 1.5, lambda settings: settings.classes[0].aim_stretch),
    ("classes[].late-worth", 0.5, lambda settings: settings.classes[0].late_weight),
    ("classes[].group", "cell", lambda settings: settings.classes[0].dedup_scope),
    ("classes[].repeat-window", 9, lambda settings: settings.classes[0].dedup_window),
    ("classes[].importance", 9.5, lambda settings: settings.classes[0].priority_weight),
    ("classes[].streamed", True, lambda settings: settings.classes[0].streamed),
    ("client-habits.marks-retry", True, lambda settings: settings.marks_repeats),
    ("discovery", "on_request", lambda settings: settings.poll_discovery and "on_request"),
    ("extra.passes-deadline", True, lambda settings: settings.passes_deadline),
    ("extra.warm-keys", True, lambda settings: settings.keys_stay_warm),
    ("goal.availability", 0.4, lambda settings: settings.goal.nines),
    ("goal.top-nines", 2, lambda settings: settings.goal.nines_full),
    ("goal.whole", 0.3, lambda settings: settings.goal.whole),
    ("goal.worst-class", 0.3, lambda settings: settings.goal.worst_class),
    ("goal.worst-tenant", 0.3, lambda settings: settings.goal.worst_tenant),
    ("goal.worst-window", 0.3, lambda settings: settings.goal.worst_window),
    ("allowed.cancelling", False, lambda settings: settings.cancellation_allowed),
    ("allowed.conn-idle", 5, lambda settings: settings.connection_idle_timeout),
    ("allowed.connect-timeout", 5, lambda settings: settings.connect_timeout),
    ("allowed.cpu-us-per-request", 5.5, lambda settings: settings.cpu_per_request),
    ("allowed.cpu-us-per-s", 5, lambda settings: settings.cpu_per_second),
    ("allowed.max-attempts", 4, lambda settings: settings.max_attempts),
    ("allowed.max-open", 5, lambda settings: settings.max_open_requests),
    ("allowed.max-retry-after", 5, lambda settings: settings.max_retry_after),
    ("allowed.may-tell", True, lambda settings: settings.peers),
    ("allowed.probing", True, lambda settings: settings.probes),
    ("allowed.second-copies", False, lambda settings: settings.hedging_allowed),
    ("allowed.streams-per-conn", 4, lambda settings: settings.streams_per_connection),
    ("me", 2, lambda settings: settings.replica_index),
    ("over-share-worth", 0.2, lambda settings: settings.over_quota_weight),
    ("prices.connection", 0.1, lambda settings: settings.prices.connection),
    ("prices.cross-zone", 0.1, lambda settings: settings.prices.cross_zone),
    ("prices.discovery", 0.1, lambda settings: settings.prices.discovery),
    ("prices.handshake", 0.1, lambda settings: settings.prices.handshake),
    ("prices.late-fail", 0.1, lambda settings: settings.prices.late_fail),
    ("prices.peer", 0.1, lambda settings: settings.prices.peer),
    ("prices.probe", 0.1, lambda settings: settings.prices.probe),
    ("prices.waste", 0.1, lambda settings: settings.prices.waste),
    ("report.source", "inline", lambda settings: {"answers": "inline"}[settings.report_source]),
    ("report.source", "on_probe", lambda settings: {"probes": "on_probe"}[settings.report_source]),
    ("invariants.answer-slack", 5, lambda settings: settings.answer_slack),
    ("invariants.ask-within", 5, lambda settings: settings.poll_interval),
    ("invariants.stop-sending-within", 5, lambda settings: settings.drain_grace),
    ("resolution", 5, lambda settings: settings.tick),
    ("weight-source", "nominal", lambda settings: settings.weight_source),
    ("weight-source", "rough", lambda settings: settings.weight_source),
    ("weight-source", "live", lambda settings: settings.weight_source),
    ("worth-by", "work", lambda settings: settings.worth_by_work and "work"),
    ("zone", "z", lambda settings: settings.zone),
    ("zones", ["y", "z"], lambda settings: list(settings.zones)),
]


def put(settings, path, value):
    """Return the settings with one value changed, by its dotted path; [] is the first of a list."""
    head, _, rest = path.partition(".")
    if head.endswith("[]"):
        first, *others = settings[head[:-2]]
        return {**settings, head[:-2]: [put(first, rest, value), *others]}
    return {**settings, head: put(settings.get(head, {}), rest, value) if rest else value}


@pytest.mark.parametrize(("path", "value", "find"), SETTING_PATHS)
def test_each_setting_is_read(path, value, find):
    assert find(read_settings(put(SETTINGS, path, value))) == value


@pytest.mark.parametrize("path", sorted({path for path, _, _ in SETTING_PATHS}))
def test_a_setting_of_the_wrong_type_is_a_fault_that_names_it(path):
    settings = put(SETTINGS, path, {"odd": 1})
    code, got, err = run(SYNC, {**SPAWN, "settings": settings}, END)
    assert (code, err) == (0, "")
    assert got[0]["msg"] == "fault"
    assert path.split(".")[-1] in got[0]["text"]
    assert "expected" in got[0]["text"]


@pytest.mark.parametrize(
    "path", sorted({path for path, _, _ in SETTING_PATHS} - {"instances", "allowed.max-attempts"})
)
def test_an_absent_setting_has_a_default(path):
    assert read_settings(put(SETTINGS, path, None))


def test_report_names_on_the_wire_are_mapped_to_field_names():
    names = ["rif", "q", "busy", "lat_ms", "rate", "fail_rate", "x0"]
    got = read_settings(put(SETTINGS, "report.names", names)).report_names
    assert got == ("in_flight", "queued", "utilisation", "latency_ms", "rate", "fail_rate", "x0")


@pytest.mark.parametrize(
    "stats",
    [[], [3], [3, 0.5, 9, 9], [None, None], ["x", True], [-5, 1e300], [float("nan"), float("inf")]],
)
def test_invalid_load_reports_are_ignored(stats):
    settings = put(put(SETTINGS, "report.names", ["q", "busy"]), "report.source", "inline")
    again = {**KNOCK, "op-id": 10}
    code, got, err = run(
        SYNC,
        {**SPAWN, "settings": settings},
        PAGE,
        UPDATE,
        KNOCK,
        END,
        SYNC,
        {**DONE, "stats": stats},
        again,
        END,
    )
    assert (code, err) == (0, "")
    assert [message["op-id"] for message in got if message["msg"] == "transmit"] == [9, 10]


def test_all_fields_of_a_request_and_a_list_entry_are_read(monkeypatch):
    seen = []
    monkeypatch.setattr(
        balancer.Balancer, "handle", lambda self, now, event: seen.append(event) or []
    )
    entry = {
        "server": "a",
        "availability": "fading",
        "locality": "z",
        "bay": 3,
        "units": 0,
        "start-time": 6,
    }
    knock = {
        **KNOCK,
        "billing": "t",
        "entity": "k",
        "hint": 5,
        "is-write": True,
        "again-by-client": True,
    }
    run(
        SYNC,
        SPAWN,
        {**PAGE, "entries": [entry]},
        UPDATE,
        knock,
        {**KNOCK, "billing": 0, "odd": 1},
        END,
    )
    assert seen[0].endpoints == [Endpoint("a", EndpointState.DRAINING, "z", 3, 0, 6)]
    assert seen[1] == RequestReceived(9, "read", 4000000, "t", True, "k", 5, True)
    assert seen[2] == RequestReceived(9, "read", 4000000)


def test_every_action_has_its_wire_form(monkeypatch):
    actions = [
        (
            SendAttempt(1, 'quo"te', 5),
            {"msg": "transmit", "op-id": 1, "server": 'quo"te', "cap": 5},
        ),
        (RejectRequest(1), {"msg": "reject", "op-id": 1}),
        (RejectRequest(1, 8), {"msg": "reject", "op-id": 1, "hold-off": 8}),
        (FailRequest(1), {"msg": "surrender", "op-id": 1}),
        (CancelAttempt(1, 2), {"msg": "cancel", "op-id": 1, "send-no": 2}),
        (SetTimer(3, 4), {"msg": "after", "offset": 3, "label": 4}),
        (WatchEndpoints(), {"msg": "watch", "on": True}),
        (WatchEndpoints(False), {"msg": "watch", "on": False}),
    ]
    monkeypatch.setattr(
        balancer.Balancer, "handle", lambda self, now, event: [action for action, _ in actions]
    )
    _, got, _ = run(SYNC, SPAWN, KNOCK, END)
    assert got[:-1] == [{**message, "node-id": 1} for _, message in actions]


def test_events_for_unknown_requests_and_servers_cause_nothing_but_timers():
    events = [
        {"msg": "reminder", "node-id": 1, "label": 999},
        {"msg": "client-left", "node-id": 1, "op-id": 77},
        {**DONE, "op-id": 77},
        {**DONE, "server": "nobody"},
        {
            "msg": "established",
            "node-id": 1,
            "op-id": 77,
            "send-no": 0,
            "server": "a",
            "latency": 1,
        },
        {"msg": "sampled", "node-id": 1, "server": "nobody", "disposition": 40},
        {"msg": "from-peer", "node-id": 1, "by": 2, "data": "hi"},
        {"msg": "update", "node-id": 1, "mode": "lost", "index": 0},
    ]
    spawn = {**SPAWN, "settings": put(SETTINGS, "discovery", "pushed")}
    code, got, err = run(SYNC, spawn, PAGE, UPDATE, END, SYNC, *events, END)
    assert (code, err) == (0, "")
    assert {message["msg"] for message in got} <= {"yield", "after"}
    killed = {"msg": "killed", "node-id": 1}
    assert run(SYNC, SPAWN, killed, killed, KNOCK, END)[0] == 0
