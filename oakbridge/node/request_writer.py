"""Encodes a client's request for the server of an attempt."""

from __future__ import annotations

from typing import NamedTuple

from oakbridge.node.client_request import HOP_BY_HOP_HEADERS, ClientRequest

# Longer timeouts are written in milliseconds, as the number in X-Timeout has eight digits at most.
MAX_TIMEOUT_US = 99_999_999
_US_PER_MS = 1000
_METHODS_WITHOUT_BODY = (b"GET", b"DELETE", b"OPTIONS")


class EncodedRequest(NamedTuple):
    """The bytes of an attempt; the body is not copied, as it may be long."""

    head: bytes
    body: bytes | bytearray = b""


def encode_request(request: ClientRequest, timeout_us: int) -> EncodedRequest:
    """Return the bytes of an attempt, without a streamed body; ``timeout_us``: the time left."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines += [
        name + b": " + value for name, value in request.headers if name not in HOP_BY_HOP_HEADERS
    ]
    lines.append(b"x-timeout: " + _encode_timeout(timeout_us))
    if request.streamed_body is not None:
        length = request.streamed_body.length
        lines.append(
            b"transfer-encoding: chunked" if length is None else b"content-length: %d" % length
        )
    elif request.body or request.method not in _METHODS_WITHOUT_BODY:
        lines.append(b"content-length: %d" % len(request.body))
    return EncodedRequest(b"\r\n".join(lines) + b"\r\n\r\n", request.body)


def _encode_timeout(timeout_us: int) -> bytes:
    if timeout_us <= MAX_TIMEOUT_US:
        return b"%du" % timeout_us
    return b"%dm" % (timeout_us // _US_PER_MS)
