"""Client transactions: send requests on branches, and pass on their responses and failures."""

from __future__ import annotations

from collections.abc import Callable

from oakbridge.sip.message import Message, Request, Response
from oakbridge.sip.outbox import Outbox
from oakbridge.sip.peer import Peer
from oakbridge.sip.request_builder import RequestBuilder
from oakbridge.sip.server_transactions import ServerTransactions
from oakbridge.sip.transaction import client_transaction
from oakbridge.sip.transaction_store import (
    AttemptBranch,
    Branch,
    DirectBranch,
    ResponseContext,
    TransactionStore,
)
from oakbridge.sip.transaction_tables import Event, Output

AttemptResponseHandler = Callable[[AttemptBranch, Response, int], None]
AttemptFailureHandler = Callable[[AttemptBranch, Output, int], None]


class ClientTransactions:
    """Drives the client transactions.

    The responses of an attempt's transaction go to ``on_attempt_response``, its TIMEOUT or
    TRANSPORT_ERROR to ``on_attempt_failure``. Responses on a direct branch are forwarded to the
    caller of its ``context``, if it has one.
    """

    def __init__(
        self,
        store: TransactionStore,
        outbox: Outbox,
        builder: RequestBuilder,
        server_transactions: ServerTransactions,
        on_attempt_response: AttemptResponseHandler,
        on_attempt_failure: AttemptFailureHandler,
    ) -> None:
        self._store = store
        self._outbox = outbox
        self._builder = builder
        self._server_transactions = server_transactions
        self._on_attempt_response = on_attempt_response
        self._on_attempt_failure = on_attempt_failure

    def start(self, branch: Branch, now: int) -> None:
        """Send a branch's request."""
        self._store.add_branch(branch)
        self.perform(branch, branch.transaction.begin(now), now)
        self._store.update(branch)

    def start_direct(
        self, request: Request, peer: Peer, now: int, context: ResponseContext | None = None
    ) -> None:
        """Send a request without the balancer; its responses are forwarded to ``context``, if any."""
        transaction = client_transaction(request.method, reliable=peer.reliable)
        branch = DirectBranch(peer, request, request.to_bytes(), transaction, context)
        self.start(branch, now)

    def handle(
        self,
        branch: Branch,
        event: Event,
        now: int,
        message: Message | None = None,
    ) -> None:
        """Pass an event to the transaction, and carry out the transaction's outputs."""
        self.perform(branch, branch.transaction.handle(event, now), now, message)
        self._store.update(branch)

    def perform(
        self, branch: Branch, outputs: list[Output], now: int, message: Message | None = None
    ) -> None:
        """Carry out the outputs of the transaction."""
        for output in outputs:
            if output is Output.RETRANSMIT:
                self._transmit(branch)
            elif output in (Output.TIMEOUT, Output.TRANSPORT_ERROR):
                self._fail(branch, output, now)
            elif isinstance(message, Response):
                if output is Output.SEND_ACK:
                    ack = self._builder.ack_of_failure(branch.request, message)
                    self._outbox.transmit(branch.peer, ack.to_bytes())
                elif output is Output.DELIVER:
                    self._deliver(branch, message, now)

    def _transmit(self, branch: Branch) -> None:
        if isinstance(branch, AttemptBranch):
            branch.transmissions += 1
            self._outbox.transmit(branch.peer, branch.request.to_bytes())
        else:
            self._outbox.transmit(branch.peer, branch.data)

    def _deliver(self, branch: Branch, response: Response, now: int) -> None:
        if isinstance(branch, AttemptBranch):
            self._on_attempt_response(branch, response, now)
        elif branch.context is not None:
            self._server_transactions.forward(branch.context, response, now)

    def _fail(self, branch: Branch, output: Output, now: int) -> None:
        if isinstance(branch, AttemptBranch):
            self._on_attempt_failure(branch, output, now)
        elif branch.context is not None:
            status = 408 if output is Output.TIMEOUT else 503
            self._server_transactions.respond(branch.context, status, now)
