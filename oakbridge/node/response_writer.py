"""Responses to clients: their bytes, and those that are streamed from a server."""

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
    """Return the header that frames a body by its length."""
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

    ``framing``: the header that tells where the body ends; empty if the end of the connection does.
    ``close``: this response is the last on its connection.
    ``http10``: for an HTTP/1.0 client, whose connection is kept only if both sides say so.
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
    """Return the header that frames a streamed response; empty if it ends with the connection.

    ``length``: of the body; None if it is not known yet.
    """
    if length is not None:
        return content_length_header(length)
    return b"" if http10 else CHUNKED_HEADER


class ResponseSource(Protocol):
    """What a response is streamed from: a server's connection."""

    def pause(self) -> None:
        """Send nothing more for now."""

    def resume(self) -> None:
        """Go on."""

    def cancel(self) -> None:
        """Give the rest up: the client is gone."""


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
        """``is_last``: the head has told the client that the connection ends with this response."""
        self._transport = transport
        self._chunked = framing == CHUNKED_HEADER
        # The client can tell a whole body from one that breaks off, however its connection ends.
        self.is_framed = bool(framing)
        self.source = source
        self.is_last = is_last

    def write(self, data: bytes) -> None:
        """Write a part."""
        if data:
            self._transport.write(encode_chunk(data) if self._chunked else data)

    def end(self) -> None:
        """Write what ends the body."""
        if self._chunked:
            self._transport.write(LAST_CHUNK)
