"""SIP messages: reading bytes, writing bytes, and the parts of headers that a proxy looks at.  Pure.

A proxy passes on what it does not know as it came, so a message keeps its headers in order with their values unread;
what the proxy itself needs (Via, CSeq, tags, addresses) is read by the functions below when it is needed.  Bytes that
are no UTF-8 survive by surrogate escapes.  RFC 3261, sections 7, 18.3, 20 and 25.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import lru_cache

MAX_MESSAGE = 64 * 1024  # bytes; a UDP datagram can't hold more
MAX_HEADERS = 128
MAX_LINE = 8 * 1024
CRLF = b"\r\n"
RECENT = (
    512  # values that are remembered as read: one message's are asked for several times; 8 KB each at most
)

COMPACT = {
    "i": "call-id", "m": "contact", "e": "content-encoding", "l": "content-length", "c": "content-type", "f": "from",
    "s": "subject", "k": "supported", "t": "to", "v": "via", "o": "event", "u": "allow-events", "r": "refer-to",
}  # fmt: skip
# Written as phones and people know them; any other name is written with a capital after each dash.
SPELLED = {
    "call-id": "Call-ID",
    "cseq": "CSeq",
    "www-authenticate": "WWW-Authenticate",
    "mime-version": "MIME-Version",
}
ONCE = ("to", "from", "call-id", "cseq", "max-forwards", "content-length")
NEEDED = ("to", "from", "call-id", "cseq", "via")

REASONS = {
    100: "Trying", 200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
    413: "Request Entity Too Large", 414: "Request-URI Too Long", 416: "Unsupported URI Scheme", 420: "Bad Extension",
    481: "Call/Transaction Does Not Exist", 482: "Loop Detected", 483: "Too Many Hops", 487: "Request Terminated",
    500: "Server Internal Error", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Server Time-out",
    505: "Version Not Supported", 513: "Message Too Large",
}  # fmt: skip

_TOKEN = re.compile(r"[A-Za-z0-9\-.!%*_+`'~]+")
_REQUEST = re.compile(r"([A-Za-z0-9\-.!%*_+`'~]+) (\S+) (SIP/\d+\.\d+)", re.ASCII)
_LOOSE = re.compile(r"([A-Za-z0-9\-.!%*_+`'~]+)\s+(\S.*?)\s+(SIP/\d+\.\d+)\s*", re.ASCII)
_STATUS = re.compile(r"SIP/2\.0 ([1-6]\d\d) ?(.*)", re.IGNORECASE | re.ASCII)
_CSEQ = re.compile(r"(\d{1,10})[ \t]+([A-Za-z0-9\-.!%*_+`'~]+)", re.ASCII)
_VIA = re.compile(
    r"SIP\s*/\s*2\.0\s*/\s*([A-Za-z0-9\-]+)\s+(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.\-]+)(?:\s*:\s*(\d{1,5}))?\s*(;.*)?",
    re.IGNORECASE | re.ASCII | re.DOTALL,
)
_URI = re.compile(
    r"(sips?):(?:([^@]*)@)?(\[[0-9A-Fa-f:.]+\]|[^;?:@]+)(?::(\d{1,5}))?((?:;[^?]*)?)(\?.*)?",
    re.IGNORECASE | re.DOTALL,
)
_PARAM = re.compile(r"""\s*;\s*([^\s;=,"]+)(?:\s*=\s*("(?:[^"\\]|\\.)*"|[^;,"\s]*))?\s*""", re.DOTALL)

Headers = list[tuple[str, str]]


class BadMessage(ValueError):
    """Bytes that are no message.  ``status``: what a sender is told, where ``request`` says enough to tell it."""

    def __init__(self, text: str, status: int = 400, request: Request | None = None) -> None:
        super().__init__(text)
        self.status, self.request = status, request


@dataclass(slots=True)
class Message:
    """What requests and responses have in common.  Names are in lower case and in the long form."""

    headers: Headers = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str) -> str:
        """The first value of a header; empty if there is none."""
        for n, value in self.headers:
            if n == name:
                return value
        return ""

    def all(self, name: str) -> list[str]:
        """All values of a header that may be a list, one each, over lines and commas."""
        return [part for n, value in self.headers if n == name for part in split_list(value)]

    def first_line(self) -> str:
        """The start line."""
        raise NotImplementedError

    def render(self) -> bytes:
        """The bytes; Content-Length says what the body is, whatever was said before."""
        lines = [self.first_line()]
        lines += [f"{spell(n)}: {v}" for n, v in self.headers if n != "content-length"]
        lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + b"\r\n\r\n" + self.body


@dataclass(slots=True)
class Request(Message):
    """A request."""

    method: str = ""
    uri: str = ""

    def first_line(self) -> str:
        """The request line."""
        return f"{self.method} {self.uri} SIP/2.0"


@dataclass(slots=True)
class Response(Message):
    """A response."""

    status: int = 0
    reason: str = ""

    def first_line(self) -> str:
        """The status line."""
        return f"SIP/2.0 {self.status} {self.reason}"


@lru_cache(RECENT)
def spell(name: str) -> str:
    """A header's name as it is written."""
    return SPELLED.get(name) or "-".join(part[:1].upper() + part[1:] for part in name.split("-"))


# ---- reading


def parse(data: bytes) -> Request | Response:
    """One whole message, as a datagram holds it.  Raises :class:`BadMessage`.

    Section 18.3: with Content-Length, bytes behind the body are dropped, and too few are an error.
    """
    if len(data) > MAX_MESSAGE:
        raise BadMessage(f"expected at most {MAX_MESSAGE} bytes, got {len(data)}", 513)
    head, separator, body = data.lstrip(CRLF).partition(b"\r\n\r\n")
    if not separator:
        raise BadMessage("expected an empty line behind the headers")
    lines = head.decode("utf-8", "surrogateescape").split("\r\n")
    message, version, fault = _start(lines[0])
    try:
        message.headers = _headers(lines[1:])
        if fault:
            raise BadMessage(fault)
        _check(message, version)
        message.body = _body(message, body)
    except BadMessage as e:
        if isinstance(message, Request):
            e.request = message
        raise
    return message


def _start(line: str) -> tuple[Request | Response, str, str]:
    """The start line, the version, and what is wrong with it though its sender can still be told so."""
    if len(line) > MAX_LINE:
        raise BadMessage("start line: too long", 414)
    if found := _STATUS.fullmatch(line):
        return Response(status=int(found[1]), reason=found[2]), "SIP/2.0", ""
    if found := _REQUEST.fullmatch(line):
        return Request(method=found[1], uri=found[2]), found[3].upper(), ""
    if found := _LOOSE.fullmatch(line):
        return (
            Request(method=found[1], uri=found[2]),
            found[3].upper(),
            "start line: blanks where none may be",
        )
    raise BadMessage(f"start line: expected a request or a status, got {line!r:.60}")


def _headers(lines: list[str]) -> Headers:
    found: Headers = []
    for number, line in enumerate(lines, 2):
        if line[:1] in (" ", "\t") and found:  # folded: section 7.3.1
            name, value = found[-1]
            found[-1] = name, f"{value} {line.strip()}".strip()
            if len(found[-1][1]) > MAX_LINE:
                raise BadMessage(f"line {number}: too long")
            continue
        name, colon, value = line.partition(":")
        name = name.rstrip().lower()
        if not colon or not _TOKEN.fullmatch(name):
            raise BadMessage(f"line {number}: expected a header, got {line!r:.60}")
        if len(found) >= MAX_HEADERS or len(value) > MAX_LINE:
            raise BadMessage(f"line {number}: too much")
        found.append((COMPACT.get(name, name), value.strip()))
    return found


def _check(message: Request | Response, version: str) -> None:
    """What a proxy has to have before it does anything: section 16.3, and 8.1.1."""
    counts = {name: 0 for name in (*ONCE, *NEEDED)}
    for name, _ in message.headers:
        if name in counts:
            counts[name] += 1
    if missing := [name for name in NEEDED if not counts[name]]:
        raise BadMessage(f"{spell(missing[0])}: missing")
    if twice := [name for name in ONCE if counts[name] > 1]:
        raise BadMessage(f"{spell(twice[0])}: expected once")
    if version != "SIP/2.0":
        raise BadMessage(f"expected SIP/2.0, got {version}", 505)
    number, method = cseq(message)
    if isinstance(message, Request) and method != message.method:
        raise BadMessage(f"CSeq: expected {message.method}, got {method}")
    top_via(message)
    for name in ("to", "from"):
        address(message.get(name), spell(name))
    if isinstance(message, Request):
        max_forwards(message)


def _body(message: Message, body: bytes) -> bytes:
    said = message.get("content-length")
    if not said:
        return body
    if not (said.isascii() and said.isdigit() and len(said) <= 9):
        raise BadMessage(f"Content-Length: expected a number, got {said!r:.20}")
    if len(body) < int(said):
        raise BadMessage(f"Content-Length: expected {said} bytes, got {len(body)}")
    return body[: int(said)]


def split_list(value: str) -> list[str]:
    """The members of a list: commas inside quotes or angle brackets separate nothing.  Section 7.3.1."""
    if "," not in value:
        return [value] if value else []
    parts, start, quoted, angled, skip = list[str](), 0, False, False, False
    for place, sign in enumerate(value):
        if skip:
            skip = False
        elif quoted:
            skip, quoted = sign == "\\", sign != '"'
        elif sign == '"':
            quoted = True
        elif sign in "<>":
            angled = sign == "<"
        elif sign == "," and not angled:
            parts.append(value[start:place].strip())
            start = place + 1
    parts.append(value[start:].strip())
    return [part for part in parts if part]


def params(text: str, where: str) -> dict[str, str]:
    """``;name=value`` pairs; names in lower case, quotes kept.  The first of a name counts."""
    found: dict[str, str] = {}
    place = 0
    while place < len(text):
        match = _PARAM.match(text, place)
        if match is None:
            raise BadMessage(f"{where}: expected parameters, got {text[place:]!r:.40}")
        found.setdefault(match[1].lower(), match[2] or "")
        place = match.end()
    return found


# ---- the parts that a proxy looks at


@dataclass(frozen=True, slots=True)
class Via:
    """One hop.  Section 20.42; ``received`` and ``rport`` are RFC 3581's."""

    transport: str
    host: str
    port: int  # 0: not said, which means the transport's own
    params: tuple[tuple[str, str], ...]

    def param(self, name: str) -> str | None:
        """A parameter; None if it is not there, empty if it has no value."""
        return next((v for n, v in self.params if n == name), None)

    @property
    def branch(self) -> str:
        """What tells transactions apart."""
        return self.param("branch") or ""

    @property
    def sent_by(self) -> str:
        """Host and port, as keys of transactions are made of."""
        return f"{self.host.lower()}:{self.port or 5060}"

    def with_params(self, **given: str) -> Via:
        """With these parameters, in place of those of the same name."""
        kept = tuple((n, given.pop(n, v)) for n, v in self.params)
        return replace(self, params=(*kept, *given.items()))

    def __str__(self) -> str:
        """As it is written."""
        port = f":{self.port}" if self.port else ""
        rest = "".join(f";{n}={v}" if v else f";{n}" for n, v in self.params)
        return f"SIP/2.0/{self.transport} {self.host}{port}{rest}"


@lru_cache(RECENT)
def parse_via(value: str) -> Via:
    """Read one Via."""
    found = _VIA.fullmatch(value)
    if found is None or int(found[3] or 0) > 65535:
        raise BadMessage(f"Via: expected SIP/2.0/TRANSPORT HOST, got {value!r:.60}")
    return Via(found[1].upper(), found[2], int(found[3] or 0), tuple(params(found[4] or "", "Via").items()))


def top_via(message: Message) -> Via:
    """The last hop."""
    first = split_list(message.get("via"))[:1]
    if not first:
        raise BadMessage("Via: missing")
    return parse_via(first[0])


def push_via(message: Message, via: Via) -> None:
    """Put a hop on top."""
    message.headers.insert(0, ("via", str(via)))


def pop_via(message: Message) -> None:
    """Take the top hop away; what is left of its line stays where it was."""
    for place, (name, value) in enumerate(message.headers):
        if name == "via":
            rest = split_list(value)[1:]
            message.headers[place : place + 1] = [("via", ", ".join(rest))] if rest else []
            return


def replace_top_via(message: Message, via: Via) -> None:
    """The top hop, said otherwise."""
    pop_via(message)
    push_via(message, via)


def cseq(message: Message) -> tuple[int, str]:
    """The sequence number, below 2**31, and the method."""
    return _read_cseq(message.get("cseq"))


@lru_cache(RECENT)
def _read_cseq(value: str) -> tuple[int, str]:
    found = _CSEQ.fullmatch(value)
    if found is None or int(found[1]) >= 2**31:
        raise BadMessage(f"CSeq: expected a number below 2**31 and a method, got {value!r:.40}")
    return int(found[1]), found[2]


def max_forwards(message: Message) -> int:
    """How many hops are left; 70 where it is not said (section 16.6, 3)."""
    said = message.get("max-forwards")
    if not said:
        return 70
    if not (said.isascii() and said.isdigit() and len(said) <= 10 and int(said) <= 255):
        raise BadMessage(f"Max-Forwards: expected 0 to 255, got {said!r:.20}")
    return int(said)


@lru_cache(RECENT)
def address(value: str, where: str) -> tuple[str, Mapping[str, str]]:
    """``"Name" <uri>;params`` or ``uri;params``: the URI, and the parameters of the header.  Section 20.10."""
    text = value.strip()
    if text.startswith('"'):
        end = re.match(r'"(?:[^"\\]|\\.)*"', text, re.DOTALL)
        if end is None:
            raise BadMessage(f"{where}: a quote is not closed")
        text = text[end.end() :].lstrip()
        if not text.startswith("<"):
            raise BadMessage(f"{where}: expected <uri>, got {text!r:.40}")
    if "<" in text:
        _, _, rest = text.partition("<")
        uri, closed, tail = rest.partition(">")
        if not closed or not uri:
            raise BadMessage(f"{where}: expected <uri>, got {value!r:.60}")
        return uri.strip(), params(tail, where)
    uri, semicolon, tail = text.partition(";")
    if not uri or any(c.isspace() for c in uri.strip()):
        raise BadMessage(f"{where}: expected an address, got {value!r:.60}")
    return uri.strip(), params(semicolon + tail, where)


def tag(message: Message, name: str) -> str:
    """The tag of From or To; empty if it has none."""
    return address(message.get(name), spell(name))[1].get("tag", "")


@dataclass(frozen=True, slots=True)
class Uri:
    """A SIP URI, as far as routing needs it."""

    scheme: str
    user: str
    host: str
    port: int
    params: dict[str, str]


def parse_uri(text: str) -> Uri:
    """Read a SIP URI.  Raises :class:`BadMessage`: 416 for another scheme, 400 for one that can't be read."""
    scheme = text.partition(":")[0].lower()
    if scheme not in ("sip", "sips"):
        raise BadMessage(
            f"URI: expected sip:, got {text!r:.40}", 416 if scheme.isalpha() and ":" in text else 400
        )
    found = _URI.fullmatch(text)
    if found is None or int(found[4] or 0) > 65535:
        raise BadMessage(f"URI: can't be read: {text!r:.60}")
    return Uri(scheme, found[2] or "", found[3], int(found[4] or 0), params(found[5], "URI"))


def respond(request: Request, status: int, to_tag: str = "", headers: Headers | None = None) -> Response:
    """A response to a request of which the headers that have to come back can be told.  Section 8.2.6."""
    kept = [(n, v) for n, v in request.headers if n in ("via", "from", "to", "call-id", "cseq")]
    if status > 100 and to_tag:
        kept = [(n, f"{v};tag={to_tag}" if n == "to" and ";tag=" not in v.lower() else v) for n, v in kept]
    return Response([*kept, *(headers or [])], b"", status, REASONS.get(status, "Answer"))
