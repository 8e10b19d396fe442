"""The messages between the two processes of a node, with their encoder and decoder.  Pure.

A message is one JSON object with the version of the protocol, the kind of message, and the fields
of that kind.  The two processes may be of different releases: the names on the wire stand in
``_FORMATS`` only and never change, and fields that a later release adds are ignored.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from oakbridge.handover.errors import HandoverMessageError

PROTOCOL_VERSION = 1

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Hello:
    """Successor to predecessor: ask to take over the node of this name."""

    node_name: str
    shares_lists: bool | None = None  # whether it takes, and sends, EndpointListUpdate


@dataclass(frozen=True, slots=True)
class Welcome:
    """Predecessor to successor: the node as it is.  The listening sockets are sent along."""

    configuration: JsonObject  # the object of the configuration file
    endpoint_list: JsonObject  # all listed servers, in the form that discovery gives them
    outages: JsonObject  # the servers that operators hold out, see OfflineServers.saved
    draining: bool
    # The node's clock less the monotonic clock, in microseconds: all times in what is handed over
    # are of that clock.  None: a release that did not tell.
    clock_offset: int | None = None
    shares_lists: bool | None = None  # as in Hello


@dataclass(frozen=True, slots=True)
class Decline:
    """Predecessor to successor: there is nothing to take over here."""

    reason: str


@dataclass(frozen=True, slots=True)
class Ready:
    """Successor to predecessor: the node is built and can serve at once."""


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Predecessor to successor: serve from now on, as the predecessor accepts nothing more."""

    policy_state: JsonObject  # what its policy learned, see oakbridge.policy.state
    # What it was told since the welcome counts as told to this node.  None: a release that did not
    # tell, or whose list is not of discovery.
    endpoint_list: JsonObject | None = None
    list_age: int | None = None  # since it was known to be up to date, in microseconds


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """Either way: the list as this process has just read it; both are one node, which was told."""

    endpoint_list: JsonObject  # complete, in the form that discovery gives it
    list_age: int | None  # since it was known to be up to date, in microseconds; None: unknown


@dataclass(frozen=True, slots=True)
class OperatorCommand:
    """Either way: carry out an operator's command that came in at the other process."""

    verb: str
    server_id: str  # empty if the command names no server


@dataclass(frozen=True, slots=True)
class RemainingLoad:
    """Predecessor to successor: what it still has, which counts against the limits of the node."""

    attempts: int  # in flight
    connections: int  # of clients and to servers; each is one descriptor


@dataclass(frozen=True, slots=True)
class ClientConnection:
    """Predecessor to successor: an idle connection of a client, whose descriptor is sent along."""


SuccessorMessage = Hello | Ready | OperatorCommand | EndpointListUpdate
PredecessorMessage = (
    Welcome
    | Decline
    | TakeOver
    | OperatorCommand
    | RemainingLoad
    | ClientConnection
    | EndpointListUpdate
)
Message = SuccessorMessage | PredecessorMessage


@dataclass(frozen=True, slots=True)
class _Field:
    """One field of a message: its name in the code, its name on the wire, and its JSON type."""

    attribute: str
    wire_name: str
    json_type: type
    is_optional: bool = False  # later releases tell it; where it is missing it is None


@dataclass(frozen=True, slots=True)
class _Format:
    """The form of one kind of message on the wire."""

    kind: str
    message_type: type[Message]
    fields: tuple[_Field, ...] = ()


_FORMATS = (
    _Format(
        "hello",
        Hello,
        (
            _Field("node_name", "name", str),
            _Field("shares_lists", "lists", bool, is_optional=True),
        ),
    ),
    _Format(
        "welcome",
        Welcome,
        (
            _Field("configuration", "file", dict),
            _Field("endpoint_list", "known", dict),
            _Field("outages", "outages", dict),
            _Field("draining", "draining", bool),
            _Field("clock_offset", "clock", int, is_optional=True),
            _Field("shares_lists", "lists", bool, is_optional=True),
        ),
    ),
    _Format("decline", Decline, (_Field("reason", "why", str),)),
    _Format("ready", Ready),
    _Format(
        "over",
        TakeOver,
        (
            _Field("policy_state", "learned", dict),
            _Field("endpoint_list", "known", dict, is_optional=True),
            _Field("list_age", "age", int, is_optional=True),
        ),
    ),
    _Format(
        "list",
        EndpointListUpdate,
        (
            _Field("endpoint_list", "known", dict),
            _Field("list_age", "age", int, is_optional=True),
        ),
    ),
    _Format(
        "call",
        OperatorCommand,
        (
            _Field("verb", "word", str),
            _Field("server_id", "server", str),
        ),
    ),
    _Format(
        "still",
        RemainingLoad,
        (
            _Field("attempts", "out", int),
            _Field("connections", "held", int),
        ),
    ),
    _Format("caller", ClientConnection),
)
_FORMAT_BY_KIND = {format_.kind: format_ for format_ in _FORMATS}
_FORMAT_BY_TYPE = {format_.message_type: format_ for format_ in _FORMATS}


def wire_kind(message: Message) -> str:
    """Return the name of the kind of this message on the wire."""
    return _FORMAT_BY_TYPE[type(message)].kind


def encode(message: Message) -> bytes:
    """Return the JSON text of a message."""
    wire_format = _FORMAT_BY_TYPE[type(message)]
    values = ((field.wire_name, getattr(message, field.attribute)) for field in wire_format.fields)
    fields = {wire_name: value for wire_name, value in values if value is not None}
    return json.dumps({"v": PROTOCOL_VERSION, "kind": wire_format.kind, **fields}).encode()


def decode(text: bytes) -> Message:
    """Return the message of a JSON text.

    Raises:
        HandoverMessageError: It is no message of this version; the error names the field.
    """
    raw = _parse_object(text)
    version = raw.get("v")
    if version != PROTOCOL_VERSION:
        raise HandoverMessageError(f"version {PROTOCOL_VERSION}", received=_shortened(version))
    kind = raw.get("kind")
    if not isinstance(kind, str) or kind not in _FORMAT_BY_KIND:
        raise HandoverMessageError("a kind of message that is known", received=_shortened(kind))
    wire_format = _FORMAT_BY_KIND[kind]
    values = {field.attribute: _decode_field(kind, field, raw) for field in wire_format.fields}
    return wire_format.message_type(**values)


def _parse_object(text: bytes) -> JsonObject:
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        raise HandoverMessageError("JSON") from None
    if not isinstance(raw, dict):
        raise HandoverMessageError("an object")
    return raw


def _decode_field(kind: str, field: _Field, raw: JsonObject) -> Any:
    value = raw.get(field.wire_name)
    if value is None and field.is_optional:
        return None
    if not isinstance(value, field.json_type):
        where = f"{kind}.{field.wire_name}"
        expected = field.json_type.__name__
        raise HandoverMessageError(expected, field=where, received=_shortened(value))
    return value


def _shortened(value: object) -> str:
    return f"{value!r:.40}"
