"""How messages are framed on both sides of a node, and how large they may be."""

from __future__ import annotations

from typing import NamedTuple

MAX_BODY_BYTES = 34 * 1024 * 1024
MAX_HEAD_BYTES = 16 * 1024
# Chunk sizes and line ends that may come with each byte of a body: more is no framing but a flood.
MAX_FRAMING_PER_BODY_BYTE = 8

BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413

Headers = list[tuple[bytes, bytes]]


class Framing(NamedTuple):
    """Where a message's body ends."""

    error_status: int  # 0: none
    content_length: int | None
    chunked: bool


def read_framing(headers: Headers) -> Framing:
    """Read a message's framing from its headers (RFC 9112, 6.1 to 6.3), in one pass.

    The error is 413 for a body that is longer than any may be, and 400 for a transfer coding that
    nobody here uses, so that others may see another end of it.  The parser has let nothing but
    digits through as a length.
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
