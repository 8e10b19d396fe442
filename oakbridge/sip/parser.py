"""Parser of whole SIP messages (RFC 3261, sections 7, 16.3 and 18.3).  No I/O."""

from __future__ import annotations

import re
from typing import NamedTuple

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.header_values import cseq, max_forwards, parse_address
from oakbridge.sip.message import Headers, Message, Request, Response, display_name
from oakbridge.sip.via import top_via

MAX_MESSAGE_BYTES = 64 * 1024  # a UDP datagram holds no more
MAX_HEADERS = 128
MAX_LINE_LENGTH = 8 * 1024
CRLF = b"\r\n"
END_OF_HEADERS = b"\r\n\r\n"
SIP_VERSION = "SIP/2.0"

# Long forms of header names by their compact forms.
_LONG_NAMES = {
    "i": "call-id",
    "m": "contact",
    "e": "content-encoding",
    "l": "content-length",
    "c": "content-type",
    "f": "from",
    "s": "subject",
    "k": "supported",
    "t": "to",
    "v": "via",
    "o": "event",
    "u": "allow-events",
    "r": "refer-to",
}
_SINGLE_HEADERS = ("to", "from", "call-id", "cseq", "max-forwards", "content-length")
_REQUIRED_HEADERS = ("to", "from", "call-id", "cseq", "via")

_TOKEN = re.compile(r"[A-Za-z0-9\-.!%*_+`'~]+")
_REQUEST_LINE = re.compile(r"([A-Za-z0-9\-.!%*_+`'~]+) (\S+) (SIP/\d+\.\d+)", re.ASCII)
# A request line with extra blanks: it is invalid, but a response can be sent.
_LOOSE_REQUEST_LINE = re.compile(
    r"([A-Za-z0-9\-.!%*_+`'~]+)\s+(\S.*?)\s+(SIP/\d+\.\d+)\s*",
    re.ASCII,
)
_STATUS_LINE = re.compile(r"SIP/2\.0 ([1-6]\d\d) ?(.*)", re.IGNORECASE | re.ASCII)


class _StartLine(NamedTuple):
    message: Request | Response
    version: str
    error: str = ""  # why the line is invalid, if a response can still be sent


def parse_message(data: bytes) -> Request | Response:
    """Parse the bytes of one whole message, such as a datagram.

    Bytes beyond the Content-Length are ignored (section 18.3). Raises :class:`SipMessageError` for
    an invalid message, also if the body is shorter than the Content-Length.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise SipMessageError(f"expected at most {MAX_MESSAGE_BYTES} bytes, got {len(data)}", 513)
    head, separator, body = data.lstrip(CRLF).partition(END_OF_HEADERS)
    if not separator:
        raise SipMessageError("expected an empty line behind the headers")
    lines = head.decode("utf-8", "surrogateescape").split("\r\n")
    message, version, error = _parse_start_line(lines[0])
    try:
        message.headers = _parse_headers(lines[1:])
        if error:
            raise SipMessageError(error)
        _validate(message, version)
        message.body = _parse_body(message, body)
    except SipMessageError as parse_error:
        if isinstance(message, Request):
            parse_error.request = message
        raise
    return message


def _parse_start_line(line: str) -> _StartLine:
    if len(line) > MAX_LINE_LENGTH:
        raise SipMessageError("start line: too long", 414)
    if found := _STATUS_LINE.fullmatch(line):
        return _StartLine(Response(status=int(found[1]), reason=found[2]), SIP_VERSION)
    if found := _REQUEST_LINE.fullmatch(line):
        return _StartLine(Request(method=found[1], uri=found[2]), found[3].upper())
    if found := _LOOSE_REQUEST_LINE.fullmatch(line):
        request = Request(method=found[1], uri=found[2])
        return _StartLine(request, found[3].upper(), "start line: blanks where none may be")
    raise SipMessageError(f"start line: expected a request or a status, got {line!r:.60}")


def _parse_headers(lines: list[str]) -> Headers:
    headers: Headers = []
    for number, line in enumerate(lines, 2):
        if line[:1] in (" ", "\t") and headers:  # a folded line: section 7.3.1
            name, value = headers[-1]
            unfolded = f"{value} {line.strip()}".strip()
            headers[-1] = name, unfolded
            if len(unfolded) > MAX_LINE_LENGTH:
                raise SipMessageError(f"line {number}: too long")
            continue
        name, colon, value = line.partition(":")
        name = name.rstrip().lower()
        if not colon or not _TOKEN.fullmatch(name):
            raise SipMessageError(f"line {number}: expected a header, got {line!r:.60}")
        if len(headers) >= MAX_HEADERS or len(value) > MAX_LINE_LENGTH:
            raise SipMessageError(f"line {number}: too much")
        headers.append((_LONG_NAMES.get(name, name), value.strip()))
    return headers


def _validate(message: Request | Response, version: str) -> None:
    """Check the parts that a proxy has to validate first (sections 16.3 and 8.1.1)."""
    _check_header_counts(message)
    if version != SIP_VERSION:
        raise SipMessageError(f"expected SIP/2.0, got {version}", 505)
    _, method = cseq(message)
    if isinstance(message, Request) and method != message.method:
        raise SipMessageError(f"CSeq: expected {message.method}, got {method}")
    top_via(message)
    for name in ("to", "from"):
        parse_address(message.get(name), display_name(name))
    if isinstance(message, Request):
        max_forwards(message)


def _check_header_counts(message: Message) -> None:
    counts = dict.fromkeys((*_SINGLE_HEADERS, *_REQUIRED_HEADERS), 0)
    for name, _ in message.headers:
        if name in counts:
            counts[name] += 1
    if missing := [name for name in _REQUIRED_HEADERS if not counts[name]]:
        raise SipMessageError(f"{display_name(missing[0])}: missing")
    if repeated := [name for name in _SINGLE_HEADERS if counts[name] > 1]:
        raise SipMessageError(f"{display_name(repeated[0])}: expected once")


def _parse_body(message: Message, body: bytes) -> bytes:
    length = message.get("content-length")
    if not length:
        return body
    if not (length.isascii() and length.isdigit() and len(length) <= 9):
        raise SipMessageError(f"Content-Length: expected a number, got {length!r:.20}")
    if len(body) < int(length):
        raise SipMessageError(f"Content-Length: expected {length} bytes, got {len(body)}")
    return body[: int(length)]
