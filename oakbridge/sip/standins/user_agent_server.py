"""A SIP server that responds by a script, and counts how often it ran each request.

A request runs when the server begins to work on it; its retransmissions do not run it again.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from oakbridge.sip.header_values import header_tag
from oakbridge.sip.message import Request, Response, build_response
from oakbridge.sip.outbox import Transmit
from oakbridge.sip.parser import parse_message
from oakbridge.sip.peer import Peer
from oakbridge.sip.standins.scheduler import Scheduler
from oakbridge.sip.transaction import (
    T1_US,
    T2_US,
    TRANSACTION_TIMEOUT_US,
    Transaction,
    sent_event,
    server_transaction,
)
from oakbridge.sip.transaction_tables import Event, Output
from oakbridge.sip.via import top_via


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """A server transaction, and its responses."""

    request: Request
    transaction: Transaction
    peer: Peer  # destination of responses
    to_tag: str
    last_response: bytes = b""
    final_status: int = 0  # 0: no final response was sent
    acknowledged: bool = False
    repeat_interval_us: int = T1_US  # between repetitions of its 2xx


Script = Callable[["UserAgentServer", ReceivedRequest, int], None]


class UserAgentServer:
    """One server; ``script`` responds to each new request outside a dialog.

    ``outgoing`` collects the messages that its driver has to transmit.
    """

    def __init__(self, name: str, peer: Peer, seed: int, script: Script) -> None:
        self.name = name
        self.peer = peer
        self.rng = random.Random(f"{name}/{seed}")
        self.scheduler = Scheduler()
        self.outgoing: list[Transmit] = []
        self.script = script
        self.requests: dict[tuple[str, str], ReceivedRequest] = {}
        self.runs: Counter[tuple[str, str]] = Counter()  # by Call-ID and CSeq
        self.unacknowledged = 0  # count of 2xx that got no ACK until the timeout

    def received(self, now: int, peer: Peer, data: bytes) -> None:
        """Handle a datagram."""
        message = parse_message(data)
        if isinstance(message, Response):
            return
        branch = top_via(message).branch
        if message.method == "ACK":
            self._ack_received(message, branch, now)
            return
        known = self.requests.get((branch, message.method))
        if known is not None:
            self._handle(known, Event.REQUEST, now)
            return
        to_tag = f"{self.name}{self.rng.getrandbits(32):08x}"
        transaction = server_transaction(message.method, reliable=peer.reliable)
        request = ReceivedRequest(message, transaction, peer, to_tag)
        self.requests[branch, message.method] = request
        transaction.begin(now)
        if message.method == "CANCEL":
            self._cancel(request, branch, now)
        elif header_tag(message, "to"):
            self.respond(request, 200, now)
        else:
            self.script(self, request, now)

    def run(self, request: ReceivedRequest) -> None:
        """Count a run of a request; one that is not idempotent must not run twice."""
        self.runs[request.request.get("call-id"), request.request.get("cseq")] += 1

    def respond_at(self, request: ReceivedRequest, status: int, when: int) -> None:
        """Send a response at the time ``when``, unless a final response was sent before."""

        def respond(now: int) -> None:
            if not request.final_status:
                self.respond(request, status, now)

        self.scheduler.call_at(when, respond)

    def respond(self, request: ReceivedRequest, status: int, now: int) -> None:
        """Send a response."""
        headers = [("contact", f"<sip:{self.name}@{self.peer.host}:{self.peer.port}>")]
        headers += [
            (name, value) for name, value in request.request.headers if name == "record-route"
        ]
        response = build_response(request.request, status, request.to_tag, headers)
        request.last_response = response.to_bytes()
        request.final_status = status if status >= 200 else 0
        self._handle(request, sent_event(status), now)
        if request.request.method == "INVITE" and 200 <= status < 300:
            self.scheduler.call_at(now + T1_US, lambda at: self._repeat_success(request, now, at))

    def _ack_received(self, ack: Request, branch: str, now: int) -> None:
        invite = self.requests.get((branch, "INVITE")) or self._invite_of_dialog(ack)
        if invite is not None:
            invite.acknowledged = True
            self._handle(invite, Event.ACK, now)

    def _cancel(self, cancel: ReceivedRequest, branch: str, now: int) -> None:
        invite = self.requests.get((branch, "INVITE"))
        self.respond(cancel, 200 if invite else 481, now)
        if invite is not None and not invite.final_status:
            self.respond(invite, 487, now)

    def _repeat_success(self, invite: ReceivedRequest, since: int, now: int) -> None:
        """Repeat the 2xx that was sent at ``since`` until it is acknowledged (section 13.3.1.4)."""
        if invite.acknowledged:
            return
        if now - since > TRANSACTION_TIMEOUT_US:
            self.unacknowledged += 1
            return
        self.outgoing.append(Transmit(invite.peer, invite.last_response))
        invite.repeat_interval_us = min(T2_US, 2 * invite.repeat_interval_us)
        repeat_at = now + invite.repeat_interval_us
        self.scheduler.call_at(repeat_at, lambda at: self._repeat_success(invite, since, at))

    def _invite_of_dialog(self, ack: Request) -> ReceivedRequest | None:
        to_tag = header_tag(ack, "to")
        for request in self.requests.values():
            if request.to_tag == to_tag and request.request.method == "INVITE":
                return request
        return None

    def _handle(self, request: ReceivedRequest, event: Event, now: int) -> None:
        self._perform(request, request.transaction.handle(event, now))
        self._schedule_timer(request)

    def _schedule_timer(self, request: ReceivedRequest) -> None:
        if (due := request.transaction.next_timer()) is not None:
            self.scheduler.call_at(due, lambda now: self._fire_timers(request, now))

    def _fire_timers(self, request: ReceivedRequest, now: int) -> None:
        if (due := request.transaction.next_timer()) is not None and due <= now:
            self._perform(request, request.transaction.fire_timers(now))
            self._schedule_timer(request)

    def _perform(self, request: ReceivedRequest, outputs: list[Output]) -> None:
        for output in outputs:
            if output in (Output.RETRANSMIT, Output.RESPOND) and request.last_response:
                self.outgoing.append(Transmit(request.peer, request.last_response))
