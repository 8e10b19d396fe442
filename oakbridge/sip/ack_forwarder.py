"""Forwarding of the ACK to a 2xx: end to end, outside transactions (sections 13.2.2.4, 16.11)."""

from __future__ import annotations

from collections import Counter

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.header_values import max_forwards
from oakbridge.sip.message import Request
from oakbridge.sip.outbox import Outbox
from oakbridge.sip.peer import Peer
from oakbridge.sip.request_builder import RequestBuilder
from oakbridge.sip.routing import Router
from oakbridge.sip.uri import parse_uri

_ANY_SOURCE = Peer("UDP", "", 0)


class AckForwarder:
    """Forwards ACKs; one without a target is dropped and counted, as an ACK gets no response."""

    def __init__(
        self, router: Router, builder: RequestBuilder, outbox: Outbox, dropped: Counter[str]
    ) -> None:
        self._router = router
        self._builder = builder
        self._outbox = outbox
        self._dropped = dropped

    def forward(self, ack: Request) -> None:
        """Forward an ACK to its dialog's server, or to its Request-URI."""
        try:
            target = self._target(ack)
        except SipMessageError:
            target = None
        if target is None or self._router.is_loop(ack):
            self._dropped["ACK"] += 1
            return
        self._outbox.transmit(target, self._builder.forwarded(ack).to_bytes())

    def _target(self, ack: Request) -> Peer | None:
        uri = parse_uri(ack.uri)
        server = self._router.pop_own_route(ack)
        if not max_forwards(ack):
            return None
        return self._router.dialog_target(uri, server, _ANY_SOURCE)
