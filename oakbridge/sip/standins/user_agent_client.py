"""A phone, which sends requests through client transactions and records their responses."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from oakbridge.sip.header_values import cseq, header_tag, parse_address
from oakbridge.sip.message import Message, Request, Response, build_response
from oakbridge.sip.outbox import Transmit
from oakbridge.sip.parser import parse_message
from oakbridge.sip.peer import Peer
from oakbridge.sip.standins.scheduler import Scheduler
from oakbridge.sip.transaction import Transaction, client_transaction, received_event
from oakbridge.sip.transaction_store import BRANCH_COOKIE
from oakbridge.sip.transaction_tables import Output
from oakbridge.sip.via import top_via

_CANCEL_HEADERS = frozenset({"via", "max-forwards", "from", "to", "call-id"})


@dataclass(slots=True, eq=False)
class SentRequest:
    """A client transaction, and its responses."""

    request: Request
    transaction: Transaction
    final_statuses: list[int] = field(default_factory=list)  # a repeated 2xx is listed once
    final_responses: set[tuple[int, str]] = field(default_factory=set)  # status and To tag
    provisional_statuses: list[int] = field(default_factory=list)
    retry_after: str = ""  # of the latest final response
    timed_out: bool = False


class UserAgentClient:
    """One caller; ``outgoing`` collects the messages that its driver has to transmit."""

    def __init__(self, peer: Peer, proxy: Peer, seed: int) -> None:
        self.peer = peer
        self.proxy = proxy
        self.scheduler = Scheduler()
        self.outgoing: list[Transmit] = []
        self.sent: dict[tuple[str, str], SentRequest] = {}
        self.byes_received = 0
        self._rng = random.Random(seed)

    def build_request(
        self,
        method: str,
        uri: str,
        call_id: str,
        number: int = 1,
        to_tag: str = "",
        branch: str = "",
    ) -> Request:
        """Build a request; without ``branch``, a new branch parameter is drawn."""
        peer = self.peer
        branch = branch or f"{BRANCH_COOKIE}{self._rng.getrandbits(48):012x}"
        to_params = f";tag={to_tag}" if to_tag else ""
        via = f"SIP/2.0/{peer.transport} {peer.host}:{peer.port};branch={branch};rport"
        headers = [
            ("via", via),
            ("max-forwards", "70"),
            ("from", f"<sip:car@{peer.host}>;tag=f{peer.port}"),
            ("to", f"<{uri}>{to_params}"),
            ("call-id", call_id),
            ("cseq", f"{number} {method}"),
            ("contact", f"<sip:car@{peer.host}:{peer.port}>"),
        ]
        return Request(headers, b"", method, uri)

    def send(self, request: Request, now: int) -> SentRequest:
        """Send a request; its responses are recorded in the result."""
        transaction = client_transaction(request.method, reliable=self.peer.reliable)
        sent = SentRequest(request, transaction)
        self.sent[top_via(request).branch, request.method] = sent
        self._perform(sent, transaction.begin(now), None)
        self._schedule_timer(sent)
        return sent

    def cancel(self, sent: SentRequest, now: int) -> SentRequest:
        """Send the CANCEL of an INVITE at once.

        Section 9.1 requires a provisional response first, but a proxy has to handle callers that do
        not wait for it.
        """
        invite = sent.request
        number, _ = cseq(invite)
        headers = [(name, value) for name, value in invite.headers if name in _CANCEL_HEADERS]
        headers.append(("cseq", f"{number} CANCEL"))
        return self.send(Request(headers, b"", "CANCEL", invite.uri), now)

    def received(self, now: int, data: bytes) -> None:
        """Handle a datagram."""
        message = parse_message(data)
        if isinstance(message, Request):
            if message.method == "BYE":
                self.byes_received += 1
                self.outgoing.append(Transmit(self.proxy, build_response(message, 200).to_bytes()))
            return
        sent = self.sent.get((top_via(message).branch, cseq(message)[1]))
        if sent is not None:
            outputs = sent.transaction.handle(received_event(message.status), now)
            self._perform(sent, outputs, message)
            self._schedule_timer(sent)

    def _schedule_timer(self, sent: SentRequest) -> None:
        if (due := sent.transaction.next_timer()) is not None:
            self.scheduler.call_at(due, lambda now: self._fire_timers(sent, now))

    def _fire_timers(self, sent: SentRequest, now: int) -> None:
        if (due := sent.transaction.next_timer()) is not None and due <= now:
            self._perform(sent, sent.transaction.fire_timers(now), None)
            self._schedule_timer(sent)

    def _perform(self, sent: SentRequest, outputs: list[Output], message: Message | None) -> None:
        for output in outputs:
            if output is Output.RETRANSMIT:
                self.outgoing.append(Transmit(self.proxy, sent.request.to_bytes()))
            elif output is Output.TIMEOUT:
                sent.timed_out = True
            elif isinstance(message, Response):
                if output is Output.SEND_ACK:
                    self._acknowledge(sent, message, top_via(sent.request).branch)
                elif output is Output.DELIVER:
                    self._response_received(sent, message)

    def _response_received(self, sent: SentRequest, response: Response) -> None:
        if response.status < 200:
            sent.provisional_statuses.append(response.status)
            return
        identity = response.status, header_tag(response, "to")
        if identity not in sent.final_responses:
            sent.final_responses.add(identity)
            sent.final_statuses.append(response.status)
        sent.retry_after = response.get("retry-after")
        if response.status < 300 and sent.request.method == "INVITE":
            self._acknowledge(sent, response, "")

    def _acknowledge(self, sent: SentRequest, response: Response, branch: str) -> None:
        number, _ = cseq(sent.request)
        is_success = response.status < 300
        uri = sent.request.uri
        if is_success:
            uri = parse_address(response.get("contact"), "Contact")[0]
        call_id = sent.request.get("call-id")
        ack = self.build_request("ACK", uri, call_id, number, branch=branch)
        to = response.get("to")
        ack.headers = [
            (name, to if name == "to" else value)
            for name, value in ack.headers
            if name != "contact"
        ]
        if is_success and (routes := response.get_all("record-route")):
            ack.headers.append(("route", ", ".join(reversed(routes))))
        self.outgoing.append(Transmit(self.proxy, ack.to_bytes()))
