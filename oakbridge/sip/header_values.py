"""Parsers of header fields that a proxy reads: CSeq, Max-Forwards, addresses and tags.

No I/O.  The functions raise :class:`SipMessageError` for an invalid value.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from functools import lru_cache

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.message import Message, display_name
from oakbridge.sip.syntax import PARSE_CACHE_ENTRIES, parse_parameters

CSEQ_LIMIT = 2**31  # sequence numbers are below this limit; section 8.1.1.5
DEFAULT_MAX_FORWARDS = 70  # section 16.6, step 3
HIGHEST_MAX_FORWARDS = 255  # section 20.22

_CSEQ = re.compile(r"(\d{1,10})[ \t]+([A-Za-z0-9\-.!%*_+`'~]+)", re.ASCII)
_QUOTED_STRING = re.compile(r'"(?:[^"\\]|\\.)*"', re.DOTALL)


def cseq(message: Message) -> tuple[int, str]:
    """Return the sequence number, which is below 2**31, and the method."""
    return _parse_cseq(message.get("cseq"))


@lru_cache(PARSE_CACHE_ENTRIES)
def _parse_cseq(value: str) -> tuple[int, str]:
    found = _CSEQ.fullmatch(value)
    if found is None or int(found[1]) >= CSEQ_LIMIT:
        text = f"CSeq: expected a number below 2**31 and a method, got {value!r:.40}"
        raise SipMessageError(text)
    return int(found[1]), found[2]


def max_forwards(message: Message) -> int:
    """Return the number of hops left; 70 if the header field is missing."""
    value = message.get("max-forwards")
    if not value:
        return DEFAULT_MAX_FORWARDS
    is_number = value.isascii() and value.isdigit() and len(value) <= 10
    if not is_number or int(value) > HIGHEST_MAX_FORWARDS:
        raise SipMessageError(f"Max-Forwards: expected 0 to 255, got {value!r:.20}")
    return int(value)


@lru_cache(PARSE_CACHE_ENTRIES)
def parse_address(value: str, where: str) -> tuple[str, Mapping[str, str]]:
    """Parse ``"Name" <uri>;params`` or ``uri;params`` (section 20.10).

    Returns the URI and the parameters of the header field, which ``where`` names in errors.
    """
    text = value.strip()
    if text.startswith('"'):
        text = _without_display_name(text, where)
    if "<" in text:
        _, _, rest = text.partition("<")
        uri, closing_bracket, params = rest.partition(">")
        if not closing_bracket or not uri:
            raise SipMessageError(f"{where}: expected <uri>, got {value!r:.60}")
        return uri.strip(), parse_parameters(params, where)
    uri, semicolon, params = text.partition(";")
    if not uri or any(character.isspace() for character in uri.strip()):
        raise SipMessageError(f"{where}: expected an address, got {value!r:.60}")
    return uri.strip(), parse_parameters(semicolon + params, where)


def _without_display_name(text: str, where: str) -> str:
    """Return the rest behind a quoted display name, which has to be a URI in brackets."""
    quoted = _QUOTED_STRING.match(text)
    if quoted is None:
        raise SipMessageError(f"{where}: a quote is not closed")
    rest = text[quoted.end() :].lstrip()
    if not rest.startswith("<"):
        raise SipMessageError(f"{where}: expected <uri>, got {rest!r:.40}")
    return rest


def header_tag(message: Message, name: str) -> str:
    """Return the tag of From or To, or an empty string."""
    return parse_address(message.get(name), display_name(name))[1].get("tag", "")
