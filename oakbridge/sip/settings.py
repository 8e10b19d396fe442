"""Settings of the proxy."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from oakbridge.sip.message import Request
from oakbridge.sip.uri import SipUri


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Assigns a request class to requests by method and by the user of the Request-URI."""

    class_name: str
    methods: frozenset[str] = frozenset()  # empty: all
    user_prefix: str = ""

    def matches(self, request: Request, uri: SipUri) -> bool:
        """Whether the rule applies to a request with this Request-URI."""
        method_matches = not self.methods or request.method in self.methods
        return method_matches and uri.user.startswith(self.user_prefix)


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Settings of the proxy; the first rule that matches a request gives its class."""

    host: str
    port: int
    rules: tuple[ClassRule, ...]
    deadlines_us: Mapping[str, int]  # by class
    tenant_header: str = ""
    key_header: str = ""
    max_server_transactions: int = 20_000
    max_server_transactions_per_host: int = 2_000

    @property
    def sent_by(self) -> str:
        """The sent-by of the proxy's own Via."""
        return f"{self.host}:{self.port}"
