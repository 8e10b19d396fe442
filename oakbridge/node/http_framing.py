"""Message framing and size limits that apply to requests and responses alike."""

from __future__ import annotations

from typing import NamedTuple

MAX_BODY_BYTES = 34 * 1024 * 1024
MAX_HEAD_BYTES = 16 * 1024
# Bytes of chunk sizes and line ends allowed per byte of the body; a message with more is a flood.
MAX_FRAMING_PER_BODY_BYTE = 8

BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413

Headers = list[tuple[bytes, bytes]]


class Framing(NamedTuple):
    """How the length of a message's body is determined."""

    error_status: int  # HTTP status for a framing that is rejected; 0: valid
    content_length: int | None  # bytes; None: no Content-Length header
    chunked: bool


def read_framing(headers: Headers) -> Framing:
    """Read a message's framing from its headers (RFC 9112, 6.1 to 6.3), in one pass.

    The error status is 413 for a body longer than :data:`MAX_BODY_BYTES`, and 400 for a transfer
    coding other than chunked: another HTTP implementation might find the end of such a body
    elsewhere.  The parser has already ensured that a Content-Length consists of digits.
    """
    content_length = None
    chunked = False
    for name, value in headers:
        if name == b"content-length":
            content_length = int(value)
        elif name == b"transfer-encoding":
            if value.lower() != b"chunked":
                return Framing(BAD_REQUEST, None, chunked=False)
            chunked = True
    too_large = content_length is not None and content_length > MAX_BODY_BYTES
    return Framing(CONTENT_TOO_LARGE if too_large else 0, content_length, chunked)
