"""Connects balancers to the simulator by its line protocol on standard input and output.

The adapter translates messages to events and actions to messages; it makes no decisions.

These settings are read but used in no decision so far: ``me``, ``parties[].fraction``, ``goal.*``,
``prices.*`` but ``cross-zone``, ``classes[].aim-stretch``, ``report.source``,
``invariants.answer-slack``, ``invariants.stop-sending-within`` and ``invariants.fall``,
``client-habits.marks-retry``, ``worth-by``, ``extra.*``, and of ``allowed``: ``probing``,
``may-tell``, ``max-retry-after``, ``conn-idle``, ``connect-timeout``, ``streams-per-conn``,
``max-open``, ``cpu-us-per-s``, ``cpu-us-per-request``; of a request ``again-by-client``,
``entity``, ``hint`` and ``is-write``; of load reports all but ``q``.
These are ignored, as no decision could use them: ``domain-type``, ``models`` and a server's
``flavor``, the names in ``layers`` and the prices ``origin``, ``moves`` and ``fleet``, which no
action causes.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from oakbridge.node.settings import NUMBER, is_kind, kind_name, read_settings
from oakbridge.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from oakbridge.policy.settings import SettingsError

_ENDPOINT_STATES = {
    "on": EndpointState.UP,
    "fading": EndpointState.DRAINING,
    "off": EndpointState.REMOVED,
}
_RESULTS = {int(result): result for result in AttemptResult}


class WireError(Exception):
    """A line of input violates the protocol; the message says how."""


class Adapter:
    """Runs independent balancers, one for each replica of the simulation."""

    def __init__(self) -> None:
        """Start without replicas."""
        self._balancers: dict[int, Balancer | None] = {}  # by node id; None: killed or failed
        self._report_names: dict[int, tuple[str, ...]] = {}
        self._endpoint_lists: dict[int, list[Endpoint]] = {}
        self._now = 0
        self._output: list[str] = []
        self._readers: dict[str, Callable[[dict[str, Any], int], Event]] = {
            "knock": self._request_received,
            "done": self._attempt_ended,
            "reminder": lambda message, _: TimerFired(message["label"]),
            "client-left": lambda message, _: ClientDisconnected(message["op-id"]),
            "established": lambda message, _: ResponseStarted(message["op-id"], message["send-no"]),
            "update": self._endpoint_list_received,
        }

    def line(self, text: str) -> str | None:
        """Handle one line of input; return the reply if the line ends a batch."""
        try:
            message = json.loads(text)
        except ValueError as error:
            raise WireError(f"not JSON ({error})") from None
        except RecursionError:
            raise WireError("not JSON (nested too deeply)") from None
        if not isinstance(message, dict) or not isinstance(message.get("msg"), str):
            raise WireError("not an object with a string 'msg'")
        kind = message["msg"]
        if kind not in _MESSAGE_FIELDS:
            raise WireError(f"unknown message {kind!r}")
        _check_fields(message, _MESSAGE_FIELDS[kind], kind)
        return self._message(kind, message)

    def _message(  # noqa: C901 - one branch for each kind
        self, kind: str, message: dict[str, Any]
    ) -> str | None:
        if kind == "sync":
            self._now = message["ts"]
            return None
        if kind == "eof-batch":
            self._output.append('{"msg":"yield"}\n')
            reply = "".join(self._output)
            self._output.clear()
            return reply
        if kind == "page":
            self._endpoint_lists[message["roster-id"]] = [
                _endpoint(entry, position) for position, entry in enumerate(message["entries"])
            ]
            return None
        reader = self._readers.get(kind)
        node = message["node-id"]
        if kind == "spawn":
            self._spawn(node, message)
            return None
        if node not in self._balancers:
            raise WireError(f"{kind}: node-id: expected the id of a started replica, got {node!r}")
        if kind == "killed":
            self._balancers[node] = None
        if reader is None:
            return None
        event = reader(message, node)
        balancer = self._balancers[node]
        if balancer is not None:
            try:
                actions = balancer.handle(self._now, event)
            except Exception as error:
                # The simulator ends its run with the text of the fault.
                self._fault(node, f"{type(error).__name__}: {error}")
                return None
            for action in actions:
                self._output.append(_encode(node, action))
        return None

    def _spawn(self, node: int, message: dict[str, Any]) -> None:
        try:
            settings = read_settings(message["settings"])
            self._balancers[node] = Balancer(settings, message["random-seed"])
            self._report_names[node] = settings.report_names
        except SettingsError as error:
            self._balancers[node] = None
            self._fault(node, str(error))

    def _fault(self, node: int, text: str) -> None:
        self._balancers[node] = None
        self._output.append(json.dumps({"msg": "fault", "node-id": node, "text": text}) + "\n")

    def _request_received(self, message: dict[str, Any], _: int) -> RequestReceived:
        return RequestReceived(
            message["op-id"],
            message["category"],
            message["patience-left"],
            str(message.get("billing") or ""),  # 0 if there are no tenants
            message.get("again-by-client") or False,
            message.get("entity") or "",
            message.get("hint") or 0,
            message.get("is-write") or False,
        )

    def _load_report(self, message: dict[str, Any], node: int) -> dict[str, float] | None:
        stats = message.get("stats")
        if not stats:
            return None
        # Leaves out values that are not finite numbers, and names or values without a counterpart.
        named = zip(self._report_names[node], stats, strict=False)
        return {name: float(value) for name, value in named if is_kind(value, NUMBER)}

    def _attempt_ended(self, message: dict[str, Any], node: int) -> AttemptEnded:
        code = message["disposition"]
        if code not in _RESULTS:
            raise WireError(f"done: disposition: expected the code of a result, got {code!r}")
        return AttemptEnded(
            message["op-id"],
            message.get("send-no") or 0,
            message["server"],
            _RESULTS[code],
            message.get("latency") or 0,
            message.get("complete") or False,
            self._load_report(message, node),
        )

    def _endpoint_list_received(self, message: dict[str, Any], _: int) -> EndpointListReceived:
        mode = message["mode"]
        if mode == "lost":
            return EndpointListReceived(failed=True)
        if mode not in ("incr", "total", "warm_copy"):
            raise WireError(f"update: mode: expected incr, total, warm_copy or lost, got {mode!r}")
        list_id = message.get("roster-id")
        if list_id not in self._endpoint_lists:
            raise WireError(
                f"update: roster-id: expected the id of a list that was sent, got {list_id!r}"
            )
        return EndpointListReceived(
            self._endpoint_lists[list_id], complete=mode != "incr", cached=mode == "warm_copy"
        )


_NODE_FIELD = ("node-id", int, True)
_ATTEMPT_FIELDS = (
    ("op-id", int, True),
    ("send-no", int, False),
    ("server", str, True),
    ("latency", int, False),
)
# By kind of message, each field's name, its type, and whether it is required.
_MESSAGE_FIELDS: dict[str, tuple[tuple[str, type | tuple[type, ...], bool], ...]] = {
    "sync": (("ts", int, True),),
    "eof-batch": (),
    "page": (("roster-id", int, True), ("entries", list, True)),
    "spawn": (_NODE_FIELD, ("random-seed", int, True), ("settings", dict, True)),
    "killed": (_NODE_FIELD,),
    "knock": (
        _NODE_FIELD, ("op-id", int, True), ("category", str, True), ("patience-left", int, True),
        ("billing", (str, int), False),
        ("entity", str, False), ("hint", int, False), ("again-by-client", bool, False),
        ("is-write", bool, False),
    ),
    "done": (
        _NODE_FIELD, *_ATTEMPT_FIELDS, ("disposition", int, True), ("complete", bool, False),
        ("stats", list, False),
    ),
    "reminder": (_NODE_FIELD, ("label", int, True)),
    "client-left": (_NODE_FIELD, ("op-id", int, True)),
    "established": (_NODE_FIELD, *_ATTEMPT_FIELDS),
    "sampled": (
        _NODE_FIELD, ("server", str, True), ("disposition", int, True), ("latency", int, False),
        ("stats", list, False),
    ),
    "from-peer": (_NODE_FIELD, ("by", int, True), ("data", str, True)),
    "update": (_NODE_FIELD, ("mode", str, True), ("roster-id", int, False)),
}  # fmt: skip
_ENTRY_FIELDS = (
    ("server", str, True), ("availability", str, False), ("locality", str, False),
    ("bay", int, False), ("units", NUMBER, False), ("start-time", int, False),
)  # fmt: skip


def _check_fields(
    message: dict[str, Any],
    fields: tuple[tuple[str, type | tuple[type, ...], bool], ...],
    place: str,
) -> None:
    """Raise WireError for a missing field or one of the wrong type; other fields are ignored."""
    for name, kind, is_required in fields:
        value = message.get(name)
        if type(value) is kind:
            continue
        if value is None:
            if is_required:
                raise WireError(f"{place}: {name}: missing, expected {kind_name(kind)}")
        elif not is_kind(value, kind):
            raise WireError(f"{place}: {name}: expected {kind_name(kind)}, got {value!r:.80}")


def _endpoint(entry: Any, position: int) -> Endpoint:
    place = f"page: entries[{position}]"
    if not isinstance(entry, dict):
        raise WireError(f"{place}: expected an object, got {entry!r:.80}")
    _check_fields(entry, _ENTRY_FIELDS, place)
    state = entry.get("availability") or "on"
    if state not in _ENDPOINT_STATES:
        raise WireError(f"{place}: availability: expected on, fading or off, got {state!r}")
    return Endpoint(
        entry["server"],
        _ENDPOINT_STATES[state],
        entry.get("locality") or "",
        entry.get("bay") or 0,
        1.0 if entry.get("units") is None else entry["units"],
        entry.get("start-time") or 0,
    )


def _encode(node: int, action: Action) -> str:
    """Return the line for an action; the two most frequent kinds are formatted directly."""
    if type(action) is SetTimer:
        return (
            f'{{"msg":"after","node-id":{node},"offset":{action.delay},"label":{action.token}}}\n'
        )
    if type(action) is SendAttempt:
        return (
            f'{{"msg":"transmit","node-id":{node},"op-id":{action.request_id},'
            f'"server":{json.dumps(action.server)},"cap":{action.timeout}}}\n'
        )
    message: dict[str, Any]
    if type(action) is RejectRequest:
        message = {"msg": "reject", "op-id": action.request_id}
        if action.retry_after:
            message["hold-off"] = action.retry_after
    elif type(action) is FailRequest:
        message = {"msg": "surrender", "op-id": action.request_id}
    elif type(action) is CancelAttempt:
        message = {"msg": "cancel", "op-id": action.request_id, "send-no": action.attempt}
    elif type(action) is WatchEndpoints:
        message = {"msg": "watch", "on": action.on}
    else:
        raise TypeError(f"no wire form for {action!r}")
    message["node-id"] = node
    return json.dumps(message) + "\n"


def main(
    lines: TextIO = sys.stdin, replies: TextIO = sys.stdout, errors: TextIO = sys.stderr
) -> int:
    """Handle lines until the end of input; return the exit code."""
    adapter = Adapter()
    for number, text in enumerate(lines, 1):
        try:
            reply = adapter.line(text)
        except WireError as error:
            errors.write(f"line {number}: {error}\n")
            return 1
        if reply is not None:
            replies.write(reply)
            replies.flush()
    return 0
