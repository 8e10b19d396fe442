"""Syntax common to header fields: comma-separated lists and parameters.  No I/O."""

from __future__ import annotations

import re

from oakbridge.sip.errors import SipMessageError

# Size of each cache of parsed header values, as the values of a message are read several times.
# An entry takes 8 KB at most.
PARSE_CACHE_ENTRIES = 512

_PARAMETER = re.compile(
    r"""\s*;\s*([^\s;=,"]+)"""  # name
    r"""(?:\s*=\s*("(?:[^"\\]|\\.)*"|[^;,"\s]*))?\s*""",  # value
    re.DOTALL,
)


def split_list(value: str) -> list[str]:
    """Split a list at its commas, except those inside quotes or angle brackets (section 7.3.1)."""
    if "," not in value:
        return [value] if value else []
    members: list[str] = []
    start = 0
    quoted = False
    bracketed = False
    escaped = False
    for index, character in enumerate(value):
        if escaped:
            escaped = False
        elif quoted:
            escaped = character == "\\"
            quoted = character != '"'
        elif character == '"':
            quoted = True
        elif character in "<>":
            bracketed = character == "<"
        elif character == "," and not bracketed:
            members.append(value[start:index].strip())
            start = index + 1
    members.append(value[start:].strip())
    return [member for member in members if member]


def parse_parameters(text: str, where: str) -> dict[str, str]:
    """Parse ``;name=value`` pairs; ``where`` names the header field in errors.

    Names are returned in lower case, and values with their quotes. If a name is repeated, its first
    value is returned. Raises :class:`SipMessageError` for invalid syntax.
    """
    parameters: dict[str, str] = {}
    position = 0
    while position < len(text):
        match = _PARAMETER.match(text, position)
        if match is None:
            raise SipMessageError(f"{where}: expected parameters, got {text[position:]!r:.40}")
        parameters.setdefault(match[1].lower(), match[2] or "")
        position = match.end()
    return parameters
