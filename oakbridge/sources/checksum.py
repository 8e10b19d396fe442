"""The checksum line, an optional last line ``# sha256: DIGITS`` of a server file.

Its digest covers all bytes before it.
"""

from __future__ import annotations

import hashlib
import re

_CHECKSUM_LINE = re.compile(rb"\n?#[ \t]*sha256:[ \t]*([0-9a-fA-F]{64})[ \t]*\r?\n?\Z")
# The checksum line is searched for in this many bytes of the file's end; no such line is longer.
_TAIL_BYTES = 200


def split_checksum(data: bytes) -> tuple[bytes, str | None]:
    """Return the content before the checksum line and the digest of that line; None without one."""
    match = _CHECKSUM_LINE.search(data[-_TAIL_BYTES:])
    if match is None:
        return data, None
    start = max(0, len(data) - _TAIL_BYTES) + match.start()
    # The newline before the checksum line belongs to the content, so that `sha256sum` gives the
    # digest when it is run on the file before the line is appended.
    end = start + 1 if data[start : start + 1] == b"\n" else start
    return data[:end], match[1].decode().lower()


def checksum_matches(data: bytes) -> bool | None:
    """Return whether the content has the digest of its checksum line; None without such a line."""
    content, expected_digest = split_checksum(data)
    if expected_digest is None:
        return None
    return hashlib.sha256(content).hexdigest() == expected_digest


def checksum_line(content: bytes) -> bytes:
    """Return the checksum line to append to ``content``, which ends with a newline."""
    return b"# sha256: " + hashlib.sha256(content).hexdigest().encode() + b"\n"
