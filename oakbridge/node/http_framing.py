"""How messages are framed on both sides of a node, and how large they may be."""

from __future__ import annotations

MOST_BODY = 34 * 1024 * 1024  # no body is longer, either way
MAX_HEAD = 16 * 1024
FRAMING = 8  # bytes that frame one of a body at most: more is no framing but a flood

Headers = list[tuple[bytes, bytes]]


def framing(headers: Headers) -> tuple[int, int | None, bool]:
    """How a message is framed (RFC 9112, 6.1 to 6.3): its fault, or 0; its length, if told; whether it is in chunks.

    413: it says that it is longer than any may be (the parser let nothing but digits through); 400: it is framed in a
    way that nobody here uses, so that others may see another end of it.  One pass, for each message.
    """
    length, chunked = None, False
    for name, value in headers:
        if name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            if value.lower() != b"chunked":
                return 400, None, False
            chunked = True
    return 413 if length is not None and length > MOST_BODY else 0, length, chunked
