"""The Via header field (RFC 3261, section 20.42; RFC 3581).  No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from functools import lru_cache

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.message import Message
from oakbridge.sip.syntax import PARSE_CACHE_ENTRIES, parse_parameters, split_list
from oakbridge.sip.uri import DEFAULT_PORT, MAX_PORT

_VIA = re.compile(
    r"SIP\s*/\s*2\.0\s*/\s*([A-Za-z0-9\-]+)"  # transport
    r"\s+(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.\-]+)"  # host
    r"(?:\s*:\s*(\d{1,5}))?"  # port
    r"\s*(;.*)?",  # parameters
    re.IGNORECASE | re.ASCII | re.DOTALL,
)


@dataclass(frozen=True, slots=True)
class Via:
    """A Via value, which describes one hop; RFC 3581 extends the parameters with ``rport``."""

    transport: str
    host: str
    port: int  # 0: not given, the default port
    params: tuple[tuple[str, str], ...]

    def param(self, name: str) -> str | None:
        """Return a parameter's value: None if it is missing, empty if it has no value."""
        return next((value for param, value in self.params if param == name), None)

    @property
    def branch(self) -> str:
        """The branch parameter, which identifies the transaction."""
        return self.param("branch") or ""

    @property
    def sent_by(self) -> str:
        """Host and port, normalised for use in transaction keys."""
        return f"{self.host.lower()}:{self.port or DEFAULT_PORT}"

    def with_params(self, **params: str) -> Via:
        """Return a copy with parameters added; those of the same name are replaced."""
        updated = tuple((name, params.pop(name, value)) for name, value in self.params)
        return replace(self, params=(*updated, *params.items()))

    def __str__(self) -> str:
        """Return the value on the wire."""
        port = f":{self.port}" if self.port else ""
        params = "".join(f";{name}={value}" if value else f";{name}" for name, value in self.params)
        return f"SIP/2.0/{self.transport} {self.host}{port}{params}"


@lru_cache(PARSE_CACHE_ENTRIES)
def parse_via(value: str) -> Via:
    """Parse one Via value. Raises :class:`SipMessageError` if it is invalid."""
    found = _VIA.fullmatch(value)
    if found is None or int(found[3] or 0) > MAX_PORT:
        raise SipMessageError(f"Via: expected SIP/2.0/TRANSPORT HOST, got {value!r:.60}")
    params = parse_parameters(found[4] or "", "Via")
    return Via(found[1].upper(), found[2], int(found[3] or 0), tuple(params.items()))


def top_via(message: Message) -> Via:
    """Return the topmost Via, which the last hop added.

    Raises :class:`SipMessageError` if the Via is missing or invalid.
    """
    first = split_list(message.get("via"))[:1]
    if not first:
        raise SipMessageError("Via: missing")
    return parse_via(first[0])


def push_via(message: Message, via: Via) -> None:
    """Add a Via on top."""
    message.headers.insert(0, ("via", str(via)))


def pop_via(message: Message) -> None:
    """Remove the topmost Via; further values on its line keep their place."""
    for index, (name, value) in enumerate(message.headers):
        if name == "via":
            rest = split_list(value)[1:]
            message.headers[index : index + 1] = [("via", ", ".join(rest))] if rest else []
            return


def replace_top_via(message: Message, via: Via) -> None:
    """Replace the topmost Via."""
    pop_via(message)
    push_via(message, via)
