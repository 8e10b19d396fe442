"""The bytes of the responses that clients get."""

from __future__ import annotations

from oakbridge.node.upstream import Headers

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
    return (
        encode_response_head(status, headers, content_length_header(len(body)), close=close, http10=http10)
        + body
    )


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
