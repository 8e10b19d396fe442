"""Settings of the SIP proxy."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from oakbridge.sip.message import Request
from oakbridge.sip.uri import SipUri


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Assigns a request class to requests by method and by the user of the Request-URI."""

    class_name: str
    methods: frozenset[str] = frozenset()  # empty: all methods
    user_prefix: str = ""

    def matches(self, request: Request, uri: SipUri) -> bool:
        """Whether the rule applies to a request with this Request-URI."""
        method_matches = not self.methods or request.method in self.methods
        return method_matches and uri.user.startswith(self.user_prefix)


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Settings of the proxy; the first rule that matches a request assigns its class.

    ``host`` and ``port`` are the address that the proxy listens on and writes into its Via and
    Record-Route. The header names are in lower case; an empty one means that no header is read.
    """

    host: str
    port: int
    rules: tuple[ClassRule, ...]
    deadlines_us: Mapping[str, int]  # time for a request, by the name of its class
    tenant_header: str = ""
    key_header: str = ""
    max_server_transactions: int = 20_000
    max_server_transactions_per_host: int = 2_000

    @property
    def sent_by(self) -> str:
        """The sent-by of the proxy's own Via: host and port."""
        return f"{self.host}:{self.port}"
