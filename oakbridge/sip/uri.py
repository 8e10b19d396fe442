"""The parts of SIP URIs that routing needs (RFC 3261, section 19.1).  No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.syntax import parse_parameters

DEFAULT_PORT = 5060
MAX_PORT = 65535

_URI = re.compile(
    r"(sips?):"  # scheme
    r"(?:([^@]*)@)?"  # user
    r"(\[[0-9A-Fa-f:.]+\]|[^;?:@]+)"  # host
    r"(?::(\d{1,5}))?"  # port
    r"((?:;[^?]*)?)"  # parameters
    r"(\?.*)?",  # headers
    re.IGNORECASE | re.DOTALL,
)


@dataclass(frozen=True, slots=True)
class SipUri:
    """A SIP URI."""

    scheme: str
    user: str
    host: str
    port: int  # 0: not given
    params: dict[str, str]

    @property
    def host_port(self) -> tuple[str, int]:
        """Host and port; the default port if none is given."""
        return self.host, self.port or DEFAULT_PORT


def parse_uri(text: str) -> SipUri:
    """Parse a SIP URI.

    Raises :class:`SipMessageError` with status 416 for another scheme and 400 for invalid syntax.
    """
    scheme = text.partition(":")[0].lower()
    if scheme not in ("sip", "sips"):
        status = 416 if scheme.isalpha() and ":" in text else 400
        raise SipMessageError(f"URI: expected sip:, got {text!r:.40}", status)
    found = _URI.fullmatch(text)
    if found is None or int(found[4] or 0) > MAX_PORT:
        raise SipMessageError(f"URI: can't be read: {text!r:.60}")
    params = parse_parameters(found[5], "URI")
    return SipUri(scheme, found[2] or "", found[3], int(found[4] or 0), params)
