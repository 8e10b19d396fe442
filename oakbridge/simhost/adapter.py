"""The simulator's wire on standard input and output; it carries events and actions and decides nothing.

Settings that the module is given but reads in no decision yet: ``me``, ``parties[].fraction``, ``goal.*``,
``prices.*`` but ``cross-zone``, ``classes[].aim-stretch``, ``report.source``, ``invariants.answer-slack``,
``invariants.stop-sending-within`` and ``invariants.fall``, ``client-habits.marks-retry``, ``worth-by``,
``extra.*``, and of ``allowed``: ``probing``, ``may-tell``, ``max-retry-after``, ``conn-idle``,
``connect-timeout``, ``streams-per-conn``, ``max-open``, ``cpu-us-per-s``, ``cpu-us-per-request``; of a
request ``again-by-client``, ``entity``, ``hint`` and ``is-write``; of reports all but ``q``.
Passed over, as no decision could use them: ``domain-type``, ``models`` and a server's ``flavor``, the names
in ``layers`` and the prices ``origin``, ``moves`` and ``fleet``, which no action of the module causes.
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

_STATE = {"on": EndpointState.UP, "fading": EndpointState.DRAINING, "off": EndpointState.REMOVED}
_RESULT = {int(r): r for r in AttemptResult}


class WireError(Exception):
    """The input is not what the wire allows; the text says what is wrong."""


class Adapter:
    """Hosts instances of the module, each alone, and speaks the wire for them."""

    def __init__(self) -> None:
        """Start with no instance."""
        self._nodes: dict[int, Balancer | None] = {}  # None: killed, or failed
        self._names: dict[int, tuple[str, ...]] = {}
        self._pages: dict[int, list[Endpoint]] = {}
        self._now = 0
        self._out: list[str] = []
        self._readers: dict[str, Callable[[dict[str, Any], int], Event]] = {
            "knock": self._request,
            "done": self._ended,
            "reminder": lambda m, _: TimerFired(m["label"]),
            "client-left": lambda m, _: ClientDisconnected(m["op-id"]),
            "established": lambda m, _: ResponseStarted(m["op-id"], m["send-no"]),
            "update": self._list,
        }

    def line(self, text: str) -> str | None:
        """Take one line of input; returns the reply where a batch ends."""
        try:
            message = json.loads(text)
        except ValueError as e:
            raise WireError(f"not JSON ({e})") from None
        except RecursionError:
            raise WireError("not JSON (nested too deeply)") from None
        if not isinstance(message, dict) or not isinstance(message.get("msg"), str):
            raise WireError("not an object with a string 'msg'")
        kind = message["msg"]
        if kind not in _FIELDS:
            raise WireError(f"unknown message {kind!r}")
        _check_fields(message, _FIELDS[kind], kind)
        return self._message(kind, message)

    def _message(self, kind: str, m: dict[str, Any]) -> str | None:  # noqa: C901 - one branch a kind
        if kind == "sync":
            self._now = m["ts"]
            return None
        if kind == "eof-batch":
            self._out.append('{"msg":"yield"}\n')
            reply = "".join(self._out)
            self._out.clear()
            return reply
        if kind == "page":
            self._pages[m["roster-id"]] = [_listed(e, i) for i, e in enumerate(m["entries"])]
            return None
        reader = self._readers.get(kind)
        node = m["node-id"]
        if kind == "spawn":
            self._spawn(node, m)
            return None
        if node not in self._nodes:
            raise WireError(f"{kind}: node-id: instance {node!r} was never started")
        if kind == "killed":
            self._nodes[node] = None
        if reader is None:
            return None
        event = reader(m, node)
        balancer = self._nodes[node]
        if balancer is not None:
            try:
                actions = balancer.handle(self._now, event)
            except (
                Exception
            ) as e:  # the wire has a word for a module that fails; the day ends with its text
                self._fault(node, f"{type(e).__name__}: {e}")
                return None
            for action in actions:
                self._out.append(_encode(node, action))
        return None

    def _spawn(self, node: int, m: dict[str, Any]) -> None:
        try:
            settings = read_settings(m["settings"])
            self._nodes[node] = Balancer(settings, m["random-seed"])
            self._names[node] = settings.report_names
        except SettingsError as e:
            self._nodes[node] = None
            self._fault(node, str(e))

    def _fault(self, node: int, text: str) -> None:
        self._nodes[node] = None
        self._out.append(json.dumps({"msg": "fault", "node-id": node, "text": text}) + "\n")

    def _request(self, m: dict[str, Any], _: int) -> RequestReceived:
        return RequestReceived(
            m["op-id"],
            m["category"],
            m["patience-left"],
            str(m.get("billing") or ""),  # 0 where there are no tenants
            m.get("again-by-client") or False,
            m.get("entity") or "",
            m.get("hint") or 0,
            m.get("is-write") or False,
        )

    def _report(self, m: dict[str, Any], node: int) -> dict[str, float] | None:
        stats = m.get("stats")
        if not stats:
            return None
        # Values that are missing, too many or no finite numbers are left out.
        named = zip(self._names[node], stats, strict=False)
        return {name: float(value) for name, value in named if is_kind(value, NUMBER)}

    def _ended(self, m: dict[str, Any], node: int) -> AttemptEnded:
        code = m["disposition"]
        if code not in _RESULT:
            raise WireError(f"done: disposition: expected an outcome's code, got {code!r}")
        return AttemptEnded(
            m["op-id"],
            m.get("send-no") or 0,
            m["server"],
            _RESULT[code],
            m.get("latency") or 0,
            m.get("complete") or False,
            self._report(m, node),
        )

    def _list(self, m: dict[str, Any], _: int) -> EndpointListReceived:
        mode = m["mode"]
        if mode == "lost":
            return EndpointListReceived(failed=True)
        if mode not in ("incr", "total", "warm_copy"):
            raise WireError(f"update: mode: expected incr, total, warm_copy or lost, got {mode!r}")
        number = m.get("roster-id")
        if number not in self._pages:
            raise WireError(f"update: roster-id: list {number!r} was never given")
        return EndpointListReceived(
            self._pages[number], complete=mode != "incr", cached=mode == "warm_copy"
        )


_NODE = ("node-id", int, True)
_ATTEMPT = (
    ("op-id", int, True),
    ("send-no", int, False),
    ("server", str, True),
    ("latency", int, False),
)
_FIELDS: dict[str, tuple[tuple[str, type | tuple[type, ...], bool], ...]] = {  # name, kind, whether needed
    "sync": (("ts", int, True),),
    "eof-batch": (),
    "page": (("roster-id", int, True), ("entries", list, True)),
    "spawn": (_NODE, ("random-seed", int, True), ("settings", dict, True)),
    "killed": (_NODE,),
    "knock": (
        _NODE, ("op-id", int, True), ("category", str, True), ("patience-left", int, True),
        ("billing", (str, int), False),
        ("entity", str, False), ("hint", int, False), ("again-by-client", bool, False),
        ("is-write", bool, False),
    ),
    "done": (_NODE, *_ATTEMPT, ("disposition", int, True), ("complete", bool, False), ("stats", list, False)),
    "reminder": (_NODE, ("label", int, True)),
    "client-left": (_NODE, ("op-id", int, True)),
    "established": (_NODE, *_ATTEMPT),
    "sampled": (
        _NODE, ("server", str, True), ("disposition", int, True), ("latency", int, False),
        ("stats", list, False),
    ),
    "from-peer": (_NODE, ("by", int, True), ("data", str, True)),
    "update": (_NODE, ("mode", str, True), ("roster-id", int, False)),
}  # fmt: skip
_ENTRY = (
    ("server", str, True), ("availability", str, False), ("locality", str, False), ("bay", int, False),
    ("units", NUMBER, False), ("start-time", int, False),
)  # fmt: skip


def _check_fields(
    m: dict[str, Any], fields: tuple[tuple[str, type | tuple[type, ...], bool], ...], what: str
) -> None:
    """Say which field of a message is missing or of the wrong type; further fields are passed over."""
    for name, kind, needed in fields:
        value = m.get(name)
        if type(value) is kind:
            continue
        if value is None:
            if needed:
                raise WireError(f"{what}: {name}: missing, expected {kind_name(kind)}")
        elif not is_kind(value, kind):
            raise WireError(f"{what}: {name}: expected {kind_name(kind)}, got {value!r:.80}")


def _listed(e: Any, place: int) -> Endpoint:
    what = f"page: entries[{place}]"
    if not isinstance(e, dict):
        raise WireError(f"{what}: expected an object, got {e!r:.80}")
    _check_fields(e, _ENTRY, what)
    state = e.get("availability") or "on"
    if state not in _STATE:
        raise WireError(f"{what}: availability: expected on, fading or off, got {state!r}")
    return Endpoint(
        e["server"],
        _STATE[state],
        e.get("locality") or "",
        e.get("bay") or 0,
        1.0 if e.get("units") is None else e["units"],
        e.get("start-time") or 0,
    )


def _encode(node: int, a: Action) -> str:
    """One action as a line; the common ones are written by hand, as servers' names need no escapes."""
    if type(a) is SetTimer:
        return f'{{"msg":"after","node-id":{node},"offset":{a.delay},"label":{a.token}}}\n'
    if type(a) is SendAttempt:
        return (
            f'{{"msg":"transmit","node-id":{node},"op-id":{a.request_id},'
            f'"server":{json.dumps(a.server)},"cap":{a.timeout}}}\n'
        )
    m: dict[str, Any]
    if type(a) is RejectRequest:
        m = {"msg": "reject", "op-id": a.request_id}
        if a.retry_after:
            m["hold-off"] = a.retry_after
    elif type(a) is FailRequest:
        m = {"msg": "surrender", "op-id": a.request_id}
    elif type(a) is CancelAttempt:
        m = {"msg": "cancel", "op-id": a.request_id, "send-no": a.attempt}
    elif type(a) is WatchEndpoints:
        m = {"msg": "watch", "on": a.on}
    else:
        raise TypeError(f"no wire form for {a!r}")
    m["node-id"] = node
    return json.dumps(m) + "\n"


def main(
    lines: TextIO = sys.stdin, replies: TextIO = sys.stdout, errors: TextIO = sys.stderr
) -> int:
    """Serve until end of input; returns the exit code."""
    adapter = Adapter()
    for number, text in enumerate(lines, 1):
        try:
            reply = adapter.line(text)
        except WireError as e:
            errors.write(f"line {number}: {e}\n")
            return 1
        if reply is not None:
            replies.write(reply)
            replies.flush()
    return 0
