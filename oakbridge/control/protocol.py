"""The control socket's wire: one JSON object a line, a request and its answer; bounded, versioned, no I/O.

    {"v": 1, "do": "status", "rows": 200}
    {"v": 1, "ok": true, "result": {...}}
    {"v": 1, "ok": false, "error": "..."}

A connection carries one request after another.  A line that is too long or no JSON ends it with an error.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

VERSION = 1
MAX_REQUEST_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
COMMANDS = (
    "status",
    "servers.accept",
    "servers.look",
    "peers",
    "peers.why",
    "sites",
    "sites.why",
    "sites.operate",
    "spread",
)

JsonObject = dict[str, Any]


class ProtocolError(ValueError):
    """A line that the wire does not allow; the text says what was expected."""


class RequestRejectedError(Exception):
    """The other side understood, and says no; the text is its reason."""


@dataclass(frozen=True, slots=True)
class Request:
    """What a node is asked."""

    do: str
    arguments: JsonObject = field(default_factory=dict)


class LineSplitter:
    """Cuts a stream of bytes into lines, within a bound."""

    def __init__(self, max_line_bytes: int) -> None:
        self._max_line_bytes = max_line_bytes
        self._partial_line = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes in; returns the lines that are whole now.  Raises :class:`ProtocolError`."""
        self._partial_line += data
        *lines, rest = bytes(self._partial_line).split(b"\n")
        self._partial_line = bytearray(rest)
        if any(len(line) > self._max_line_bytes for line in (*lines, rest)):
            raise ProtocolError(f"expected lines of at most {self._max_line_bytes} bytes")
        return lines


def encode(message: JsonObject) -> bytes:
    """A message's line."""
    return json.dumps({"v": VERSION, **message}, separators=(",", ":")).encode() + b"\n"


def _decode(line: bytes) -> JsonObject:
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise ProtocolError("expected a JSON object in a line") from None
    if not isinstance(message, dict):
        raise ProtocolError("expected a JSON object in a line")
    if message.get("v") != VERSION:
        raise ProtocolError(f"v: expected {VERSION}, got {message.get('v')!r:.20}")
    return message


def decode_request(line: bytes) -> Request:
    """A request from its line.  Raises :class:`ProtocolError`."""
    message = _decode(line)
    do = message.pop("do", None)
    if do not in COMMANDS:
        raise ProtocolError(f"do: expected one of {', '.join(COMMANDS)}, got {do!r:.60}")
    message.pop("v")
    return Request(do, message)


def encode_request(do: str, arguments: JsonObject) -> bytes:
    """A request's line."""
    return encode({**arguments, "do": do})


def encode_response(result: Any) -> bytes:
    """A good answer's line."""
    return encode({"ok": True, "result": result})


def encode_error(text: str) -> bytes:
    """The line of an answer that says no."""
    return encode({"ok": False, "error": text})


def decode_response(line: bytes) -> Any:
    """An answer's result.  Raises :class:`RequestRejectedError` with what the node said, or :class:`ProtocolError`."""
    message = _decode(line)
    if message.get("ok") is True:
        return message.get("result")
    raise RequestRejectedError(str(message.get("error") or "refused without a reason"))
