"""Chunked framing."""

from __future__ import annotations


def chunk(data: bytes) -> bytes:
    """A chunk (RFC 9112, 7.1); with no data, the last one and the end of the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
