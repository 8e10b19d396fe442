"""Routing of requests: the class of a request, the server of its dialog, and loop detection."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.header_values import cseq, parse_address
from oakbridge.sip.message import Request
from oakbridge.sip.peer import Peer
from oakbridge.sip.settings import ProxySettings
from oakbridge.sip.uri import SipUri, parse_uri
from oakbridge.sip.via import parse_via

SERVER_PARAM = "srv"  # parameter of the proxy's Record-Route that names the dialog's server
_FINGERPRINT_BYTES = 6


@dataclass(slots=True)
class Router:
    """Routes requests; ``servers`` are those that are up or draining, by name."""

    settings: ProxySettings
    servers: dict[str, Peer] = field(default_factory=dict)

    def class_of(self, request: Request, uri: SipUri) -> str | None:
        """Return the request's class, or None if no rule matches."""
        for rule in self.settings.rules:
            if rule.matches(request, uri):
                return rule.class_name
        return None

    def pop_own_route(self, request: Request) -> str | None:
        """Remove the proxy's own entry from the Route (section 16.4; section 16.6, step 6).

        Returns the name of the dialog's server, or None if there is none. Raises
        :class:`SipMessageError` if the first entry of the Route can't be parsed.
        """
        routes = request.get_all("route")
        if not routes:
            return None
        uri = parse_uri(parse_address(routes[0], "Route")[0])
        if not self._names_proxy(uri):
            return None
        request.headers = [(name, value) for name, value in request.headers if name != "route"]
        if remaining := routes[1:]:
            request.headers.append(("route", ", ".join(remaining)))
        return uri.params.get(SERVER_PARAM)

    def dialog_target(self, uri: SipUri, server_name: str | None, source: Peer) -> Peer | None:
        """Return the destination of a request inside a dialog, or None if there is none.

        A request from the dialog's server is sent to its Request-URI, any other to that server.
        """
        if server_name is not None:
            server = self.servers.get(server_name)
            if server is None:
                return None
            if (source.host, source.port) != (server.host, server.port):
                return server
        if self._names_proxy(uri):
            return None  # the proxy would forward to itself until Max-Forwards is used up
        if uri.host.replace(".", "").isdigit():
            return Peer("UDP", *uri.host_port)
        return None  # host names are not resolved

    def is_loop(self, request: Request) -> bool:
        """Return whether the proxy forwarded the request before with the same routing fingerprint.

        RFC 5393, section 4.2.
        """
        suffix = ""
        for value in request.get_all("via"):
            try:
                via = parse_via(value)
            except SipMessageError:
                continue
            if via.sent_by == self.settings.sent_by:
                suffix = suffix or "." + routing_fingerprint(request)
                if via.branch.endswith(suffix):
                    return True
        return False

    def _names_proxy(self, uri: SipUri) -> bool:
        return uri.host_port == (self.settings.host, self.settings.port)


def routing_fingerprint(request: Request) -> str:
    """Return a hash of the fields that decide a request's route (RFC 5393, section 4.2.1).

    A request that returns with the same fingerprint would be routed in the same way without end.
    """
    number, _ = cseq(request)
    fields = (
        request.uri,
        request.get("to"),
        request.get("from"),
        request.get("call-id"),
        str(number),
        ",".join(request.get_all("route")),
        request.get("proxy-require"),
    )
    data = "\n".join(fields).encode("utf-8", "surrogateescape")
    return hashlib.blake2s(data, digest_size=_FINGERPRINT_BYTES).hexdigest()
