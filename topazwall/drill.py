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
import math
import sys
from collections.abc import Callable
from typing import Any, TextIO

from topazwall import interface as api
from topazwall.choice import Balancer

_REPEAT = {"pure": api.SAFE, "token": api.KEYED, "side_effect": api.UNSAFE}
_STATE = {"on": api.UP, "fading": api.DRAINING, "off": api.GONE}
_REPORT = {
    "rif": "in_flight", "q": "queued", "busy": "utilisation", "lat_ms": "latency_ms", "rate": "rate",
    "fail_rate": "fail_rate",
}  # fmt: skip
_SIZE = {"off": api.OFF, "nominal": api.NOMINAL, "rough": api.ROUGH, "live": api.LIVE}
_SOURCE = {"off": api.OFF, "inline": api.ANSWERS, "on_probe": api.PROBES}
_RESULT = {int(r): r for r in api.Result}


class WireError(Exception):
    """The input is not what the wire allows; the text says what is wrong."""


def _get(where: dict[str, Any], path: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """One setting by its dotted path; without a default it must be there, and it must be of the kind."""
    value: Any = where
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    if value is None:
        if default is None:
            raise api.SettingsError(f"settings.{path}: missing, expected {_kind_name(kind)}")
        return default
    if not _is(value, kind):
        raise api.SettingsError(f"settings.{path}: expected {_kind_name(kind)}, got {value!r}")
    return value


def _is(value: Any, kind: type | tuple[type, ...]) -> bool:
    """Whether a value is of the kind: true is no number, and a number is finite."""
    if isinstance(value, bool) != (kind is bool) or not isinstance(value, kind):
        return False
    return not isinstance(value, float) or math.isfinite(value)


def _kind_name(kind: type | tuple[type, ...]) -> str:
    names = {int: "a whole number", bool: "true or false", str: "a string", list: "a list", dict: "an object"}
    if isinstance(kind, tuple):
        return "a string" if str in kind else "a number"
    return names.get(kind, "a number")


_NUM = (int, float)


def _names(where: dict[str, Any], path: str) -> tuple[str, ...]:
    names = _get(where, path, list, [])
    if not all(isinstance(name, str) for name in names):
        raise api.SettingsError(f"settings.{path}: expected a list of strings, got {names!r}")
    return tuple(names)


def _choice(where: dict[str, Any], path: str, choices: dict[str, Any], default: Any = None) -> Any:
    name = _get(where, path, str, default)
    if name not in choices:
        raise api.SettingsError(f"settings.{path}: expected one of {', '.join(choices)}, got {name!r}")
    return choices[name]


def read_settings(raw: Any) -> api.Settings:
    """The wire's settings as the module's; unknown keys are passed over."""
    if not isinstance(raw, dict):
        raise api.SettingsError(f"settings: expected an object, got {raw!r}")
    classes = []
    for i, c in enumerate(_get(raw, "classes", list)):
        try:
            classes.append(
                api.RequestClass(
                    name=_get(c, "name", str),
                    aim=_get(c, "aim", int),
                    deadline=_get(c, "deadline", int),
                    worth=_get(c, "importance", _NUM, 1.0),
                    late_worth=_get(c, "late-worth", _NUM, 0.0),
                    repeat=_choice(c, "idempotency", _REPEAT),
                    group=_get(c, "group", str, "all"),
                    repeat_window=_get(c, "repeat-window", int, 0),
                    streamed=_get(c, "streamed", bool, False),
                    aim_stretch=_get(c, "aim-stretch", _NUM, 0.0),
                )
            )
        except api.SettingsError as e:
            raise api.SettingsError(f"settings.classes[{i}]: {e}") from None
    tenants = tuple(
        api.Tenant(_get(t, "name", str), _get(t, "quota-per-s", _NUM), _get(t, "fraction", _NUM, 0.0))
        for t in _get(raw, "parties", list, [])
    )
    retry_after = _get(raw, "allowed.retry-after", bool, False)
    return api.Settings(
        classes=tuple(classes),
        tenants=tenants,
        instances=_get(raw, "instances", int),
        me=_get(raw, "me", int, 0),
        tier=_get(raw, "stage", int, 0),
        tiers=max(1, len(_names(raw, "layers"))),
        zone=_get(raw, "zone", str, ""),
        zones=_names(raw, "zones"),
        tick=_get(raw, "resolution", int, 1000),
        max_attempts=_get(raw, "allowed.max-attempts", int),
        cancel=_get(raw, "allowed.cancelling", bool, False),
        second_copies=_get(raw, "allowed.second-copies", bool, False),
        probes=_get(raw, "allowed.probing", bool, False),
        peers=_get(raw, "allowed.may-tell", bool, False),
        max_retry_after=_get(raw, "allowed.max-retry-after", int, 0) if retry_after else 0,
        must_ask=_choice(raw, "discovery", {"pushed": False, "on_request": True}, "pushed"),
        ask_within=_get(raw, "invariants.ask-within", int, 10_000_000),
        size_source=_choice(raw, "weight-source", _SIZE, "off"),
        passes_deadline=_get(raw, "extra.passes-deadline", bool, False),
        answer_slack=_get(raw, "invariants.answer-slack", int, 0),
        drain_grace=_get(raw, "invariants.stop-sending-within", int, 0),
        cold_from=_get(raw, "invariants.cold-from", _NUM),
        warm_up=_get(raw, "invariants.warm-up", int),
        fall_multiple=_get(raw, "invariants.fall-multiple", _NUM),
        fall_window=_get(raw, "invariants.fall", int),
        over_share_worth=_get(raw, "over-share-worth", _NUM, 1.0),
        goal=api.Goal(
            whole=_get(raw, "goal.whole", _NUM, 1.0),
            worst_window=_get(raw, "goal.worst-window", _NUM, 0.0),
            worst_class=_get(raw, "goal.worst-class", _NUM, 0.0),
            worst_tenant=_get(raw, "goal.worst-tenant", _NUM, 0.0),
            nines=_get(raw, "goal.availability", _NUM, 0.0),
            nines_full=_get(raw, "goal.top-nines", _NUM, 3.0),
        ),
        prices=api.Prices(
            **{
                name: _get(raw, f"prices.{name.replace('_', '-')}", _NUM, 0.0)
                for name in api.Prices.__slots__
            }
        ),
        report_source=_choice(raw, "report.source", _SOURCE, "off"),
        report_names=tuple(_REPORT.get(n, n) for n in _names(raw, "report.names")),
        marks_repeats=_get(raw, "client-habits.marks-retry", bool, False),
        keys_stay_warm=_get(raw, "extra.warm-keys", bool, False),
        worth_by_work=_choice(raw, "worth-by", {"request": False, "work": True}, "request"),
        connection_idle=_get(raw, "allowed.conn-idle", int, 0),
        connect_timeout=_get(raw, "allowed.connect-timeout", int, 0),
        streams_per_connection=_get(raw, "allowed.streams-per-conn", int, 1),
        max_open=_get(raw, "allowed.max-open", int, 0),
        cpu_per_second=_get(raw, "allowed.cpu-us-per-s", int, 0),
        cpu_per_request=_get(raw, "allowed.cpu-us-per-request", _NUM, 0.0),
    )


class Adapter:
    """Hosts instances of the module, each alone, and speaks the wire for them."""

    def __init__(self) -> None:
        """Start with no instance."""
        self._nodes: dict[int, Balancer | None] = {}  # None: killed, or failed
        self._names: dict[int, tuple[str, ...]] = {}
        self._pages: dict[int, list[api.ListedServer]] = {}
        self._now = 0
        self._out: list[str] = []
        self._readers: dict[str, Callable[[dict[str, Any], int], api.Event]] = {
            "knock": self._request,
            "done": self._ended,
            "reminder": lambda m, _: api.TimerFired(m["label"]),
            "client-left": lambda m, _: api.ClientGone(m["op-id"]),
            "established": lambda m, _: api.StreamStarted(m["op-id"], m["send-no"]),
            "sampled": self._probed,
            "from-peer": lambda m, _: api.PeerMessage(m["by"], m["data"]),
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

    def _message(self, kind: str, m: dict[str, Any]) -> str | None:
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
        if reader is None:
            self._nodes[node] = None
            return None
        event = reader(m, node)
        balancer = self._nodes[node]
        if balancer is not None:
            try:
                actions = balancer.handle(self._now, event)
            except Exception as e:  # the wire has a word for a module that fails; the day ends with its text
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
        except api.SettingsError as e:
            self._nodes[node] = None
            self._fault(node, str(e))

    def _fault(self, node: int, text: str) -> None:
        self._nodes[node] = None
        self._out.append(json.dumps({"msg": "fault", "node-id": node, "text": text}) + "\n")

    def _request(self, m: dict[str, Any], _: int) -> api.Request:
        return api.Request(
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
        return {name: float(value) for name, value in named if _is(value, _NUM)}

    def _ended(self, m: dict[str, Any], node: int) -> api.AttemptEnded:
        code = m["disposition"]
        if code not in _RESULT:
            raise WireError(f"done: disposition: expected an outcome's code, got {code!r}")
        return api.AttemptEnded(
            m["op-id"],
            m.get("send-no") or 0,
            m["server"],
            _RESULT[code],
            m.get("latency") or 0,
            m.get("complete") or False,
            self._report(m, node),
        )

    def _probed(self, m: dict[str, Any], node: int) -> api.ProbeAnswered:
        ok = m["disposition"] == api.Result.OK
        return api.ProbeAnswered(m["server"], ok, m.get("latency") or 0, self._report(m, node))

    def _list(self, m: dict[str, Any], _: int) -> api.ServerList:
        mode = m["mode"]
        if mode == "lost":
            return api.ServerList(lost=True)
        if mode not in ("incr", "total", "warm_copy"):
            raise WireError(f"update: mode: expected incr, total, warm_copy or lost, got {mode!r}")
        number = m.get("roster-id")
        if number not in self._pages:
            raise WireError(f"update: roster-id: list {number!r} was never given")
        return api.ServerList(self._pages[number], whole=mode != "incr", saved=mode == "warm_copy")


_NODE = ("node-id", int, True)
_ATTEMPT = (("op-id", int, True), ("send-no", int, False), ("server", str, True), ("latency", int, False))
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
    ("units", _NUM, False), ("start-time", int, False),
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
                raise WireError(f"{what}: {name}: missing, expected {_kind_name(kind)}")
        elif not _is(value, kind):
            raise WireError(f"{what}: {name}: expected {_kind_name(kind)}, got {value!r:.80}")


def _listed(e: Any, place: int) -> api.ListedServer:
    what = f"page: entries[{place}]"
    if not isinstance(e, dict):
        raise WireError(f"{what}: expected an object, got {e!r:.80}")
    _check_fields(e, _ENTRY, what)
    state = e.get("availability") or "on"
    if state not in _STATE:
        raise WireError(f"{what}: availability: expected on, fading or off, got {state!r}")
    return api.ListedServer(
        e["server"],
        _STATE[state],
        e.get("locality") or "",
        e.get("bay") or 0,
        1.0 if e.get("units") is None else e["units"],
        e.get("start-time") or 0,
    )


def _encode(node: int, a: api.Action) -> str:
    """One action as a line; the common ones are written by hand, as servers' names need no escapes."""
    if type(a) is api.SetTimer:
        return f'{{"msg":"after","node-id":{node},"offset":{a.delay},"label":{a.token}}}\n'
    if type(a) is api.Send:
        return (
            f'{{"msg":"transmit","node-id":{node},"op-id":{a.request},'
            f'"server":{json.dumps(a.server)},"cap":{a.timeout}}}\n'
        )
    m: dict[str, Any]
    if type(a) is api.Refuse:
        m = {"msg": "reject", "op-id": a.request}
        if a.retry_after:
            m["hold-off"] = a.retry_after
    elif type(a) is api.Fail:
        m = {"msg": "surrender", "op-id": a.request}
    elif type(a) is api.Cancel:
        m = {"msg": "cancel", "op-id": a.request, "send-no": a.attempt}
    elif type(a) is api.Watch:
        m = {"msg": "watch", "on": a.on}
    elif type(a) is api.FetchList:
        m = {"msg": "fetch"}
    elif type(a) is api.Tell:
        m = {"msg": "broadcast-to", "to": a.to, "data": a.text}
    elif type(a) is api.Probe:
        m = {"msg": "inspect", "server": a.server}
    elif type(a) is api.Release:
        m = {"msg": "release", "server": a.server}
    elif type(a) is api.Log:
        m = {"msg": "remark", "text": a.text}
    else:
        raise TypeError(f"no wire form for {a!r}")
    m["node-id"] = node
    return json.dumps(m) + "\n"


def main(lines: TextIO = sys.stdin, replies: TextIO = sys.stdout, errors: TextIO = sys.stderr) -> int:
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


if __name__ == "__main__":
    sys.exit(main())
