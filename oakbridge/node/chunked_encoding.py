"""The chunked transfer encoding (RFC 9112, 7.1), for what the node writes."""

from __future__ import annotations

LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk; with no data, the last one, which ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
