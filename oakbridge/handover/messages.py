"""The messages between the two processes of a node, with their encoder and decoder.  No I/O.

A message is one JSON object with the protocol version, the kind of message, and the fields of that
kind.  The two processes may run different releases: the names on the wire are defined in
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
    """Successor to predecessor: a request to take over the node of this name."""

    node_name: str
    shares_lists: bool | None = None  # whether the sender sends and accepts EndpointListUpdate
    shares_request_ids: bool | None = None  # the same for RequestIdUpdate


@dataclass(frozen=True, slots=True)
class Welcome:
    """Predecessor to successor: the node's state, sent with its listening sockets."""

    configuration: JsonObject  # the content of the configuration file
    endpoint_list: JsonObject  # all listed servers, as discovery encodes a complete list
    offline_servers: JsonObject  # the servers that operators took offline, see OfflineServers.saved
    is_draining: bool
    # The node's clock minus the monotonic clock, in microseconds.  All times in the messages are
    # times of the node's clock.  None: the predecessor's release does not send the offset.
    clock_offset_us: int | None = None
    shares_lists: bool | None = None  # as in Hello
    shares_request_ids: bool | None = None  # as in Hello


@dataclass(frozen=True, slots=True)
class Decline:
    """Predecessor to successor: the request to take over, or an unexpected message, is rejected."""

    reason: str


@dataclass(frozen=True, slots=True)
class Ready:
    """Successor to predecessor: the node is built and can serve immediately."""


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Predecessor to successor: begin to serve, as the predecessor has stopped accepting."""

    policy_state: JsonObject  # what the predecessor's policy learned, see oakbridge.policy.state
    # A list that discovery sent the predecessor since the welcome counts as sent to the node, so
    # the successor must know it too.  None: the predecessor's release does not send its list, or
    # the list does not come from discovery.
    endpoint_list: JsonObject | None = None
    # Microseconds since the list was known to be up to date; None: unknown.
    list_age_us: int | None = None


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """In both directions: the endpoint list that the sender has just read from discovery.

    A list that discovery sent to one process counts as sent to the node, so both must use it.
    """

    endpoint_list: JsonObject  # complete, as discovery encodes it
    list_age_us: int | None  # since the list was known to be up to date; None: unknown


@dataclass(frozen=True, slots=True)
class RequestIdUpdate:
    """In both directions: the state of requests by their X-Request-IDs, as the sender knows it.

    The first one from the predecessor, sent before its TakeOver, has all ids; later ones have those
    whose state has changed.
    """

    opened: list[str]  # open, and must not run twice
    opened_idempotent: list[str]  # open, and may run twice
    closed: list[str]  # not open
    # Ids of requests that may have run and must not run twice, open or not, with the time for which
    # they are remembered, in microseconds.
    remembered: dict[str, int]


@dataclass(frozen=True, slots=True)
class RelayedCommand:
    """In both directions: an operator's command that the sender received and carried out."""

    verb: str
    server_id: str  # empty if the command names no server


@dataclass(frozen=True, slots=True)
class RemainingLoad:
    """Predecessor to successor: the predecessor's load, which counts against the node's limits."""

    attempts: int  # in flight to servers
    connections: int  # from clients and to servers; each is one descriptor
    # Bytes that it takes beyond an idle process; None: the predecessor's release does not send it.
    memory_bytes: int | None = None


@dataclass(frozen=True, slots=True)
class ClientConnection:
    """Predecessor to successor: an idle client connection, sent with its descriptor."""


SuccessorMessage = Hello | Ready | RelayedCommand | EndpointListUpdate | RequestIdUpdate
PredecessorMessage = (
    Welcome
    | Decline
    | TakeOver
    | RelayedCommand
    | RemainingLoad
    | ClientConnection
    | EndpointListUpdate
    | RequestIdUpdate
)
Message = SuccessorMessage | PredecessorMessage


@dataclass(frozen=True, slots=True)
class _Field:
    """One field of a message: its name in the code, its name on the wire, and its JSON type."""

    attribute: str
    wire_name: str
    json_type: type
    is_optional: bool = False  # not sent by earlier releases; None where it is missing


@dataclass(frozen=True, slots=True)
class _Format:
    """The wire format of one kind of message."""

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
            _Field("shares_request_ids", "ids", bool, is_optional=True),
        ),
    ),
    _Format(
        "welcome",
        Welcome,
        (
            _Field("configuration", "file", dict),
            _Field("endpoint_list", "known", dict),
            _Field("offline_servers", "outages", dict),
            _Field("is_draining", "draining", bool),
            _Field("clock_offset_us", "clock", int, is_optional=True),
            _Field("shares_lists", "lists", bool, is_optional=True),
            _Field("shares_request_ids", "ids", bool, is_optional=True),
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
            _Field("list_age_us", "age", int, is_optional=True),
        ),
    ),
    _Format(
        "list",
        EndpointListUpdate,
        (
            _Field("endpoint_list", "known", dict),
            _Field("list_age_us", "age", int, is_optional=True),
        ),
    ),
    _Format(
        "ids",
        RequestIdUpdate,
        (
            _Field("opened", "open", list),
            _Field("opened_idempotent", "safe", list),
            _Field("closed", "closed", list),
            _Field("remembered", "ran", dict),
        ),
    ),
    _Format(
        "call",
        RelayedCommand,
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
            _Field("memory_bytes", "memory", int, is_optional=True),
        ),
    ),
    _Format("caller", ClientConnection),
)
_FORMAT_BY_KIND = {format_.kind: format_ for format_ in _FORMATS}
_FORMAT_BY_TYPE = {format_.message_type: format_ for format_ in _FORMATS}


def wire_kind(message: Message) -> str:
    """Return the name that this kind of message has on the wire."""
    return _FORMAT_BY_TYPE[type(message)].kind


def encode(message: Message) -> bytes:
    """Return a message as JSON text."""
    wire_format = _FORMAT_BY_TYPE[type(message)]
    values = ((field.wire_name, getattr(message, field.attribute)) for field in wire_format.fields)
    fields = {wire_name: value for wire_name, value in values if value is not None}
    return json.dumps({"v": PROTOCOL_VERSION, "kind": wire_format.kind, **fields}).encode()


def decode(text: bytes) -> Message:
    """Return the message that a JSON text encodes.

    Raises:
        HandoverMessageError: The text is not a valid message of this protocol version; the error
            names the field where one is wrong.
    """
    raw = _parse_object(text)
    version = raw.get("v")
    if version != PROTOCOL_VERSION:
        raise HandoverMessageError(f"version {PROTOCOL_VERSION}", received=_shortened(version))
    kind = raw.get("kind")
    if not isinstance(kind, str) or kind not in _FORMAT_BY_KIND:
        raise HandoverMessageError("a known kind of message", received=_shortened(kind))
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
