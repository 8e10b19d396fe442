"""Encodes responses to clients, and forwards streamed responses."""

from __future__ import annotations

import asyncio
from typing import Protocol

from oakbridge.node.chunked_encoding import LAST_CHUNK, encode_chunk
from oakbridge.node.http_framing import Headers

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"  # RFC 9110, 10.1.1
CHUNKED_HEADER = b"transfer-encoding: chunked"

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}
_OTHER_REASON = b"Answer"


def content_length_header(length: int) -> bytes:
    """Return the Content-Length header for a body of ``length`` bytes."""
    return b"content-length: %d" % length


def encode_response(
    status: int, headers: Headers, body: bytes, *, close: bool, http10: bool = False
) -> bytes:
    """Return a complete response; the arguments are those of :func:`encode_response_head`."""
    framing = content_length_header(len(body))
    return encode_response_head(status, headers, framing, close=close, http10=http10) + body


def encode_response_head(
    status: int, headers: Headers, framing: bytes, *, close: bool, http10: bool = False
) -> bytes:
    """Return a response's head.

    ``framing``: the header that frames the body; empty if closing the connection ends the body.
    ``close``: this response is the last on its connection.
    ``http10``: the client uses HTTP/1.0, where both sides must send keep-alive to keep a connection.
    """
    lines = [b"HTTP/1.1 %d %s" % (status, _REASON_PHRASES.get(status, _OTHER_REASON))]
    lines += [name + b": " + value for name, value in headers]
    if framing:
        lines.append(framing)
    if close:
        lines.append(b"connection: close")
    elif http10:
        lines.append(b"connection: keep-alive")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def stream_framing(length: int | None, *, http10: bool) -> bytes:
    """Return the header that frames a streamed response; empty if closing the connection ends it.

    ``length``: bytes of the body; None if it is not known yet.
    """
    if length is not None:
        return content_length_header(length)
    return b"" if http10 else CHUNKED_HEADER


class ResponseSource(Protocol):
    """The source of a streamed response: a server's connection."""

    def pause(self) -> None:
        """Pause reading from the server."""

    def resume(self) -> None:
        """Resume reading from the server."""

    def cancel(self) -> None:
        """Cancel the rest of the response, as the client has disconnected."""


class ResponseStream:
    """The body of a response that is forwarded while it is received."""

    __slots__ = ("_chunked", "_transport", "is_framed", "is_last", "source")

    def __init__(
        self,
        transport: asyncio.Transport,
        source: ResponseSource,
        framing: bytes,
        *,
        is_last: bool,
    ) -> None:
        """``is_last``: the response's head announces that the connection closes after it."""
        self._transport = transport
        self._chunked = framing == CHUNKED_HEADER
        # Whether the client can detect a truncated body however the connection closes.
        self.is_framed = bool(framing)
        self.source = source
        self.is_last = is_last

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            self._transport.write(encode_chunk(data) if self._chunked else data)

    def finish(self) -> None:
        """Write the last chunk, if the body is chunked."""
        if self._chunked:
            self._transport.write(LAST_CHUNK)
