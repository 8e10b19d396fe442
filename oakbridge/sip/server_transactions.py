"""Server transactions: send provisional and final responses to callers."""

from __future__ import annotations

from typing import TypeGuard

from oakbridge.sip.ack_forwarder import AckForwarder
from oakbridge.sip.message import Headers, Message, Request, Response, build_response
from oakbridge.sip.outbox import Outbox
from oakbridge.sip.transaction import sent_event
from oakbridge.sip.transaction_store import ResponseContext, TransactionStore
from oakbridge.sip.transaction_tables import Event, Output
from oakbridge.sip.via import pop_via


class ServerTransactions:
    """Sends each caller one final response, and drives its server transaction."""

    def __init__(
        self, store: TransactionStore, outbox: Outbox, ack_forwarder: AckForwarder
    ) -> None:
        self._store = store
        self._outbox = outbox
        self._ack_forwarder = ack_forwarder

    def handle(
        self, context: ResponseContext, event: Event, now: int, message: Message | None = None
    ) -> None:
        """Pass an event to the transaction, and carry out the transaction's outputs."""
        self.perform(context, context.transaction.handle(event, now), message)
        self._store.update(context)

    def perform(
        self, context: ResponseContext, outputs: list[Output], message: Message | None = None
    ) -> None:
        """Carry out the outputs of the transaction.

        TIMEOUT and TRANSPORT_ERROR, for a caller that sends no ACK or can't be reached, are
        ignored.
        """
        for output in outputs:
            if output in (Output.RETRANSMIT, Output.RESPOND):
                if context.last_response:
                    self._outbox.transmit(context.peer, context.last_response)
            elif output is Output.DELIVER and _is_ack(message):
                self._ack_forwarder.forward(message)

    def respond(
        self, context: ResponseContext, status: int, now: int, headers: Headers | None = None
    ) -> None:
        """Send a final response that the proxy itself makes."""
        response = build_response(context.request, status, context.to_tag, headers)
        self._send_final(context, response, now)

    def send_trying(self, context: ResponseContext, now: int) -> None:
        """Send a 100 (Trying)."""
        self._send_provisional(context, build_response(context.request, 100), now)

    def forward(self, context: ResponseContext, response: Response, now: int) -> None:
        """Forward a server's response, unchanged but for the removed Via (section 16.7)."""
        pop_via(response)
        if response.status < 200:
            self._send_provisional(context, response, now)
        else:
            self._send_final(context, response, now)

    def _send_provisional(self, context: ResponseContext, response: Response, now: int) -> None:
        if not context.final_status:
            self._send(context, response, now)

    def _send_final(self, context: ResponseContext, response: Response, now: int) -> None:
        """Send a final response, unless one was sent before.

        A 2xx to an INVITE is forwarded each time that the server repeats it (section 13.3.1.4).
        """
        if context.final_status and not _is_repeated_success(context, response):
            return
        context.final_status = response.status
        self._send(context, response, now)

    def _send(self, context: ResponseContext, response: Response, now: int) -> None:
        context.last_response = response.to_bytes()
        self.handle(context, sent_event(response.status), now, response)


def _is_ack(message: Message | None) -> TypeGuard[Request]:
    return isinstance(message, Request) and message.method == "ACK"


def _is_repeated_success(context: ResponseContext, response: Response) -> bool:
    both_succeed = context.final_status < 300 and response.status < 300
    return both_succeed and context.request.method == "INVITE"
