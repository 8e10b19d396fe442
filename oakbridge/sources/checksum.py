"""The checksum line that may end a server file: ``# sha256: DIGITS`` over all bytes before it."""

from __future__ import annotations

import hashlib
import re

_CHECKSUM_LINE = re.compile(rb"\n?#[ \t]*sha256:[ \t]*([0-9a-fA-F]{64})[ \t]*\r?\n?\Z")
_SEARCHED_BYTES = 200  # of the end of the file: more than any checksum line has


def split_checksum(data: bytes) -> tuple[bytes, str | None]:
    """Return the content before the checksum line, and the digest that the line states."""
    match = _CHECKSUM_LINE.search(data[-_SEARCHED_BYTES:])
    if match is None:
        return data, None
    start = max(0, len(data) - _SEARCHED_BYTES) + match.start()
    # The line end before the comment belongs to the content: `sha256sum` over the file so far
    # gives the digest.
    end = start + 1 if data[start : start + 1] == b"\n" else start
    return data[:end], match[1].decode().lower()


def checksum_matches(data: bytes) -> bool | None:
    """Return whether the content has the digest that its checksum line states; None without one."""
    content, stated = split_checksum(data)
    if stated is None:
        return None
    return hashlib.sha256(content).hexdigest() == stated


def checksum_line(content: bytes) -> bytes:
    """Return the line to append to a content that ends in a line end."""
    return b"# sha256: " + hashlib.sha256(content).hexdigest().encode() + b"\n"
