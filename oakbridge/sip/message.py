"""SIP messages and their bytes on the wire (RFC 3261, sections 7, 18.3, 20 and 25).

No I/O.  A proxy forwards unknown header fields unchanged, so a message keeps its header
fields in order and their values unparsed; ``header_values``, ``via`` and ``uri`` parse the values
that the proxy needs. Bytes that are not UTF-8 are kept as surrogate escapes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache

from oakbridge.sip.syntax import PARSE_CACHE_ENTRIES, split_list

# Header names whose usual spelling has other capitals than the first letter of each part.
_DISPLAY_NAMES = {
    "call-id": "Call-ID",
    "cseq": "CSeq",
    "www-authenticate": "WWW-Authenticate",
    "mime-version": "MIME-Version",
}
_COPIED_TO_RESPONSE = frozenset({"via", "from", "to", "call-id", "cseq"})  # section 8.2.6.2

REASON_PHRASES = {
    100: "Trying",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Request Entity Too Large",
    414: "Request-URI Too Long",
    416: "Unsupported URI Scheme",
    420: "Bad Extension",
    481: "Call/Transaction Does Not Exist",
    482: "Loop Detected",
    483: "Too Many Hops",
    487: "Request Terminated",
    500: "Server Internal Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Server Time-out",
    505: "Version Not Supported",
    513: "Message Too Large",
}

Headers = list[tuple[str, str]]


@dataclass(slots=True)
class Message:
    """The part common to requests and responses; header names are lower-case long forms."""

    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str) -> str:
        """Return the first value of a header field, or an empty string."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return ""

    def get_all(self, name: str) -> list[str]:
        """Return all values of a header field that may have several lines and be a list on each."""
        return [
            member
            for header_name, value in self.headers
            if header_name == name
            for member in split_list(value)
        ]

    def start_line(self) -> str:
        """Return the request line or status line."""
        raise NotImplementedError

    def to_bytes(self) -> bytes:
        """Return the bytes on the wire, with a Content-Length that is the length of the body."""
        lines = [self.start_line()]
        lines += [
            f"{display_name(name)}: {value}"
            for name, value in self.headers
            if name != "content-length"
        ]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n" + self.body


@dataclass(slots=True)
class Request(Message):
    """A request."""

    method: str = ""
    uri: str = ""

    def start_line(self) -> str:
        """Return the request line."""
        return f"{self.method} {self.uri} SIP/2.0"


@dataclass(slots=True)
class Response(Message):
    """A response."""

    status: int = 0
    reason: str = ""

    def start_line(self) -> str:
        """Return the status line."""
        return f"SIP/2.0 {self.status} {self.reason}"


@lru_cache(PARSE_CACHE_ENTRIES)
def display_name(name: str) -> str:
    """Return a header field's name in the spelling used on the wire."""
    usual = _DISPLAY_NAMES.get(name)
    return usual or "-".join(part[:1].upper() + part[1:] for part in name.split("-"))


def build_response(
    request: Request, status: int, to_tag: str = "", headers: Headers | None = None
) -> Response:
    """Build a response to a request, with additional ``headers`` (section 8.2.6).

    Except in a 100, ``to_tag`` is added to a To that has no tag.
    """
    copied = [(name, value) for name, value in request.headers if name in _COPIED_TO_RESPONSE]
    if status > 100 and to_tag:
        copied = [(name, _with_tag(name, value, to_tag)) for name, value in copied]
    return Response([*copied, *(headers or [])], b"", status, REASON_PHRASES.get(status, "Answer"))


def _with_tag(name: str, value: str, to_tag: str) -> str:
    if name != "to" or ";tag=" in value.lower():
        return value
    return f"{value};tag={to_tag}"
