"""Builder of the requests that the proxy sends: forwarded copies, ACK, CANCEL and BYE."""

from __future__ import annotations

import random

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.header_values import cseq, max_forwards, parse_address
from oakbridge.sip.message import Headers, Message, Request, Response
from oakbridge.sip.peer import Peer
from oakbridge.sip.routing import SERVER_PARAM, routing_fingerprint
from oakbridge.sip.settings import ProxySettings
from oakbridge.sip.transaction_store import BRANCH_COOKIE
from oakbridge.sip.via import Via, push_via, top_via

# Methods that may form a dialog: the proxy adds a Record-Route to stay on the dialog's path.
DIALOG_FORMING_METHODS = frozenset({"INVITE", "SUBSCRIBE", "REFER", "NOTIFY"})

_ACK_HEADERS = frozenset({"from", "call-id", "route", "max-forwards"})
_CANCEL_HEADERS = frozenset({"from", "to", "call-id", "route", "max-forwards"})
_DIALOG_HEADERS = frozenset({"from", "call-id"})


class RequestBuilder:
    """Builds requests; tags and branch parameters are drawn from ``rng``."""

    def __init__(self, settings: ProxySettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng

    def new_tag(self) -> str:
        """Draw a tag for the To of the proxy's own responses."""
        return f"{self._rng.getrandbits(48):012x}"

    def forwarded(self, request: Request) -> Request:
        """Build the copy to forward, with the proxy's Via and one hop fewer (section 16.6)."""
        return self._forwarded(request, [])

    def attempt(self, request: Request, server: str) -> Request:
        """Build the copy for a server, with a Record-Route if the method may form a dialog."""
        if request.method not in DIALOG_FORMING_METHODS:
            return self._forwarded(request, [])
        host, port = self._settings.host, self._settings.port
        record_route = f"<sip:{host}:{port};lr;{SERVER_PARAM}={server}>"
        return self._forwarded(request, [("record-route", record_route)])

    def ack_of_failure(self, invite: Request, response: Response) -> Request:
        """Build the ACK to a final response other than 2xx, on the INVITE's branch (17.1.1.3)."""
        number, _ = cseq(invite)
        headers = [
            ("via", str(top_via(invite))),
            *_copied(invite, _ACK_HEADERS),
            ("to", response.get("to")),
            ("cseq", f"{number} ACK"),
        ]
        return Request(headers, b"", "ACK", invite.uri)

    def cancel(self, invite: Request) -> Request:
        """Build the CANCEL of a sent INVITE (section 9.1)."""
        number, _ = cseq(invite)
        headers = [
            ("via", str(top_via(invite))),
            *_copied(invite, _CANCEL_HEADERS),
            ("cseq", f"{number} CANCEL"),
        ]
        return Request(headers, b"", "CANCEL", invite.uri)

    def ack_of_success(self, invite: Request, response: Response, peer: Peer) -> Request:
        """Build the ACK to a 2xx that the proxy itself acknowledges (section 13.2.2.4)."""
        number, _ = cseq(invite)
        return self._in_dialog("ACK", number, invite, response, peer)

    def bye(self, invite: Request, response: Response, peer: Peer) -> Request:
        """Build the BYE that ends the dialog that a 2xx established."""
        number, _ = cseq(invite)
        return self._in_dialog("BYE", number + 1, invite, response, peer)

    def _in_dialog(
        self, method: str, sequence: int, invite: Request, response: Response, peer: Peer
    ) -> Request:
        headers = [
            ("via", str(self._new_via(peer.transport, ""))),
            *_copied(invite, _DIALOG_HEADERS),
            ("to", response.get("to")),
            ("max-forwards", "70"),
            ("cseq", f"{sequence} {method}"),
        ]
        return Request(headers, b"", method, _remote_target(response, invite))

    def _forwarded(self, request: Request, record_route: Headers) -> Request:
        headers = [
            *record_route,
            *((name, value) for name, value in request.headers if name != "max-forwards"),
        ]
        headers.append(("max-forwards", str(max_forwards(request) - 1)))
        copy = Request(headers, request.body, request.method, request.uri)
        push_via(copy, self._new_via("UDP", routing_fingerprint(request)))
        return copy

    def _new_via(self, transport: str, fingerprint: str) -> Via:
        """Draw a branch parameter that is unique in space and time (section 8.1.1.7).

        Its suffix is the routing fingerprint, by which loops are detected.
        """
        branch = f"{BRANCH_COOKIE}{self._rng.getrandbits(64):016x}.{fingerprint}"
        return Via(transport, self._settings.host, self._settings.port, (("branch", branch),))


def _copied(message: Message, names: frozenset[str]) -> Headers:
    return [(name, value) for name, value in message.headers if name in names]


def _remote_target(response: Response, invite: Request) -> str:
    try:
        return parse_address(response.get("contact"), "Contact")[0]
    except SipMessageError:
        return invite.uri
