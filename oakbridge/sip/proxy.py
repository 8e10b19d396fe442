"""The stateful proxy (RFC 3261, section 16).  No I/O.

Its inputs are received bytes, times and the balancer's actions; its outputs are bytes to send and
events for the balancer. The balancer decides whether, when and to which server a request is sent.
The proxy translates between SIP messages and the balancer's events and actions:

- a request outside a dialog is one request of the balancer; its method and URI select the class;
- a branch to a server is an attempt; ``attempts.attempt_result`` gives its result;
- a request inside a dialog is sent to the dialog's server, which its Route names, without the
  balancer;
- a retransmission is absorbed by its transaction and is never an attempt.

Section numbers in this package are those of RFC 3261. Times are in microseconds.
"""

from __future__ import annotations

import random
import re
from collections import Counter
from collections.abc import Iterator

from oakbridge.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
)
from oakbridge.sip.ack_forwarder import AckForwarder
from oakbridge.sip.attempts import Attempts
from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.header_values import cseq
from oakbridge.sip.message import Response, build_response
from oakbridge.sip.outbox import Outbox, ProxyAction
from oakbridge.sip.parser import parse_message
from oakbridge.sip.peer import Peer, response_destination, via_with_source
from oakbridge.sip.request_builder import RequestBuilder
from oakbridge.sip.request_handler import RequestHandler
from oakbridge.sip.routing import Router
from oakbridge.sip.server_transactions import ServerTransactions
from oakbridge.sip.settings import ProxySettings
from oakbridge.sip.transaction import received_event
from oakbridge.sip.transaction_store import AttemptBranch, Owner, ResponseContext, TransactionStore
from oakbridge.sip.transaction_tables import Event
from oakbridge.sip.via import replace_top_via, top_via

MAX_ERROR_LENGTH = 80  # characters of an error's text that a reason phrase contains

_BRANCH_PARAMETER = re.compile(rb";branch=([^;,\s]+)")
_LINE_BREAKS_TO_BLANKS = str.maketrans("\r\n\t", "   ")


class Proxy:
    """The proxy. Methods that return actions return them in the order to carry them out.

    :meth:`fire_timers` has to be called at the time that :meth:`next_timer` returns.
    """

    def __init__(
        self,
        settings: ProxySettings,
        seed: int,
        request_ids: Iterator[int] | None = None,
    ) -> None:
        """Create a proxy; all fronts of a node share ``request_ids``."""
        rng = random.Random(seed)
        self.settings = settings
        self.dropped: Counter[str] = Counter()  # count of dropped messages by reason
        self.store = TransactionStore()
        self._outbox = Outbox()
        self._router = Router(settings)
        self._builder = RequestBuilder(settings, rng)
        ack_forwarder = AckForwarder(self._router, self._builder, self._outbox, self.dropped)
        self._server_transactions = ServerTransactions(self.store, self._outbox, ack_forwarder)
        self._attempts = Attempts(
            self.store, self._outbox, self._router, self._builder, self._server_transactions
        )
        self._client_transactions = self._attempts.client_transactions
        self._requests = RequestHandler(
            settings,
            self.store,
            self._outbox,
            self._router,
            self._builder,
            self._server_transactions,
            self._attempts,
            ack_forwarder,
            rng,
            request_ids,
        )

    @property
    def servers(self) -> dict[str, Peer]:
        """The servers by name: those that are up, and draining ones, which dialogs still use."""
        return self._router.servers

    def owns(self, request_id: int) -> bool:
        """Return whether a request, given by its balancer id, is open at this proxy."""
        return request_id in self.store.contexts_by_request_id

    def start_draining(self) -> None:
        """Start to reject new requests; requests in dialogs and open requests are still served."""
        self._requests.draining = True

    # ---- timers

    def next_timer(self) -> int | None:
        """Return the time at which the next timer is due, or None without timers."""
        return self.store.next_timer()

    def fire_timers(self, now: int) -> list[ProxyAction]:
        """Fire the timers that are due."""
        while (owner := self.store.pop_due(now)) is not None:
            self._fire_timers_of(owner, now)
            self.store.update(owner)
        return self._outbox.take()

    def _fire_timers_of(self, owner: Owner, now: int) -> None:
        if isinstance(owner, ResponseContext):
            outputs = owner.transaction.fire_timers(now)
            self._server_transactions.perform(owner, outputs)
            return
        if isinstance(owner, AttemptBranch):
            self._attempts.check_deadline(owner, now)
        outputs = owner.transaction.fire_timers(now)
        self._client_transactions.perform(owner, outputs, now)

    # ---- from the network

    def message_received(self, now: int, source: Peer, data: bytes) -> list[ProxyAction]:
        """Handle the bytes of one whole message."""
        try:
            message = parse_message(data)
        except SipMessageError as error:
            self._reject_unreadable(source, error)
            return self._outbox.take()
        if isinstance(message, Response):
            self._response_received(message, now)
        else:
            self._requests.handle(message, source, now)
        return self._outbox.take()

    def connection_lost(self, now: int, peer: Peer) -> list[ProxyAction]:
        """Handle the loss of a peer's TCP connection."""
        for branch in [sent for sent in self.store.branches.values() if sent.peer == peer]:
            self._client_transactions.handle(branch, Event.TRANSPORT_ERROR, now)
        for context in [known for known in self.store.contexts.values() if known.peer == peer]:
            self._server_transactions.handle(context, Event.TRANSPORT_ERROR, now)
        return self._outbox.take()

    def datagram_refused(self, now: int, data: bytes) -> list[ProxyAction]:
        """Handle the refusal of a datagram; ``data`` is the beginning of the datagram.

        The refusal affects only the transaction that the datagram belongs to.
        """
        found = _BRANCH_PARAMETER.search(data)
        if found is not None:
            method = data.split(b" ", 1)[0].decode("ascii", "replace")
            branch = self.store.branches.get((found[1].decode("ascii", "replace"), method))
            if branch is not None:
                self._client_transactions.handle(branch, Event.TRANSPORT_ERROR, now)
        return self._outbox.take()

    def _response_received(self, response: Response, now: int) -> None:
        via = top_via(response)
        branch = None
        if via.sent_by == self.settings.sent_by:
            _, method = cseq(response)
            branch = self.store.branches.get((via.branch, method))
        if branch is None:
            # RFC 6026 changes section 16.7: a response that matches no transaction is dropped and
            # not forwarded statelessly.
            self.dropped["response without transaction"] += 1
            return
        self._client_transactions.handle(branch, received_event(response.status), now, response)

    def _reject_unreadable(self, source: Peer, error: SipMessageError) -> None:
        """Respond to an invalid request if its Via and CSeq could be parsed.

        Responses and ACKs get no response.
        """
        request = error.request
        if request is None or request.method == "ACK" or not request.get("cseq"):
            self.dropped["unreadable"] += 1
            return
        try:
            via = via_with_source(top_via(request), source)
        except SipMessageError:
            self.dropped["unreadable"] += 1
            return
        replace_top_via(request, via)
        response = build_response(request, error.status, self._builder.new_tag())
        reason = f"{response.reason} ({str(error)[:MAX_ERROR_LENGTH]})"
        response.reason = reason.translate(_LINE_BREAKS_TO_BLANKS)
        self._outbox.transmit(response_destination(via, source), response.to_bytes())

    # ---- from the balancer

    def carry_out(self, now: int, action: Action) -> list[ProxyAction]:
        """Carry out an action of the balancer for a request of this proxy."""
        match action:
            case SendAttempt():
                self._attempts.send(action, now)
            case CancelAttempt():
                self._attempts.cancel(action, now)
            case RejectRequest():
                self._attempts.reject(action, now)
            case FailRequest():
                self._attempts.fail(action, now)
        return self._outbox.take()
