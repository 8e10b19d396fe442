"""Encodes messages that the node writes with the chunked transfer coding (RFC 9112, 7.1)."""

from __future__ import annotations

LAST_CHUNK = b"0\r\n\r\n"


def encode_chunk(data: bytes | bytearray) -> bytes:
    """Return one chunk; empty data gives the last chunk, which terminates the body."""
    return b"".join((b"%x\r\n" % len(data), data, b"\r\n"))
