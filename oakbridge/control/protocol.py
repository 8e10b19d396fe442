"""Encode and decode the control socket's messages, without I/O.  Each line is one JSON object.

    {"v": 1, "do": "status", "rows": 200}
    {"v": 1, "ok": true, "result": {...}}
    {"v": 1, "ok": false, "error": "..."}

Each message carries the protocol's version, and the length of a line is bounded.  A connection
carries one request after another; a line that is too long gets an error, and the connection closes.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from oakbridge.control.errors import ProtocolError, RequestRejectedError

VERSION = 1
MAX_REQUEST_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

JsonObject = dict[str, Any]


class ControlCommand(StrEnum):
    """The commands that a node executes; the value is the name on the wire."""

    STATUS = "status"
    ACCEPT_SERVER_LIST = "servers.accept"
    FETCH_SERVER_LIST = "servers.look"
    PEERS = "peers"
    PEER_HISTORY = "peers.why"
    SITES = "sites"
    SITE_HISTORY = "sites.why"
    DRAIN_OR_RETURN_SITE = "sites.operate"
    SPREAD = "spread"


PEER_COMMANDS = frozenset({ControlCommand.PEERS, ControlCommand.PEER_HISTORY})


@dataclass(frozen=True, slots=True)
class Request:
    """A command and its unchecked arguments; the module ``arguments`` checks them."""

    command: ControlCommand
    arguments: JsonObject = field(default_factory=dict)


class LineSplitter:
    """Splits a stream of bytes into lines of bounded length."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._partial_line = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the lines that they complete.

        Raises ProtocolError for a line that is too long.
        """
        *lines, partial_line = (self._partial_line + data).split(b"\n")
        self._partial_line = partial_line
        if any(len(line) > self._max_line_bytes for line in (*lines, partial_line)):
            raise ProtocolError(f"lines of at most {self._max_line_bytes} bytes")
        return lines


def encode_request(command: ControlCommand, arguments: Mapping[str, Any]) -> bytes:
    """Return a request's line."""
    return _encode({**arguments, "do": command})


def encode_response(result: Any) -> bytes:
    """Return the line of a response to a request that was executed."""
    return _encode({"ok": True, "result": result})


def encode_error(reason: str) -> bytes:
    """Return the line of a response to a request that was rejected or failed."""
    return _encode({"ok": False, "error": reason})


def decode_request(line: bytes) -> Request:
    """Return the request in a line.  Raises ProtocolError."""
    message = _decode(line)
    name = message.pop("do", None)
    try:
        command = ControlCommand(name)
    except ValueError:
        raise ProtocolError(
            f"one of {', '.join(ControlCommand)}", field="do", got=f"{name!r:.60}"
        ) from None
    return Request(command, message)


def decode_response(line: bytes) -> Any:
    """Return the result in a response's line.

    Raises ProtocolError, or RequestRejectedError with the node's reason.
    """
    message = _decode(line)
    if message.get("ok") is True:
        return message.get("result")
    raise RequestRejectedError(str(message.get("error") or "rejected without a reason"))


def _encode(message: JsonObject) -> bytes:
    return json.dumps({"v": VERSION, **message}, separators=(",", ":")).encode() + b"\n"


def _decode(line: bytes) -> JsonObject:
    """Return a message without its version field.  Raises ProtocolError."""
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise ProtocolError("a JSON object in a line") from None
    if not isinstance(message, dict):
        raise ProtocolError("a JSON object in a line")
    version = message.pop("v", None)
    if version != VERSION:
        raise ProtocolError(f"{VERSION}", field="v", got=f"{version!r:.20}")
    return message
