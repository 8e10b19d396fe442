"""Requests from callers: validates them, and passes them to the balancer or to their dialog."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

from oakbridge.policy.events import ClientDisconnected, RequestReceived
from oakbridge.sip.ack_forwarder import AckForwarder
from oakbridge.sip.attempts import Attempts
from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.header_values import header_tag, max_forwards
from oakbridge.sip.message import Request, build_response
from oakbridge.sip.outbox import Outbox
from oakbridge.sip.peer import Peer, response_destination, via_with_source
from oakbridge.sip.request_builder import RequestBuilder
from oakbridge.sip.routing import Router
from oakbridge.sip.server_transactions import ServerTransactions
from oakbridge.sip.settings import ProxySettings
from oakbridge.sip.transaction import server_transaction
from oakbridge.sip.transaction_store import ResponseContext, TransactionStore, server_key
from oakbridge.sip.transaction_tables import Event
from oakbridge.sip.uri import SipUri, parse_uri
from oakbridge.sip.via import replace_top_via, top_via

# A request above the transaction limits is rejected with a Retry-After drawn from 1 to this value.
MAX_OVERLOAD_RETRY_AFTER_S = 4
DRAINING_RETRY_AFTER_S = 1


class RequestHandler:
    """Matches requests to server transactions, and creates new transactions."""

    def __init__(
        self,
        settings: ProxySettings,
        store: TransactionStore,
        outbox: Outbox,
        router: Router,
        builder: RequestBuilder,
        server_transactions: ServerTransactions,
        attempts: Attempts,
        ack_forwarder: AckForwarder,
        rng: random.Random,
        request_ids: Iterator[int] | None,
    ) -> None:
        # While draining, new requests are rejected; requests in dialogs and open ones are served.
        self.draining = False
        self._settings = settings
        self._store = store
        self._outbox = outbox
        self._router = router
        self._builder = builder
        self._server_transactions = server_transactions
        self._attempts = attempts
        self._ack_forwarder = ack_forwarder
        self._rng = rng
        self._request_ids = request_ids if request_ids is not None else itertools.count(1)

    def handle(self, request: Request, source: Peer, now: int) -> None:
        """Handle a request, a retransmission of one, or an ACK."""
        via = via_with_source(top_via(request), source)
        replace_top_via(request, via)
        key = server_key(request, via)
        context = self._store.contexts.get(key)
        if context is not None:
            event = Event.ACK if request.method == "ACK" else Event.REQUEST
            self._server_transactions.handle(context, event, now, request)
        elif request.method == "ACK":
            self._ack_forwarder.forward(request)
        elif self._is_full(source.host):
            self._reject_without_transaction(request, response_destination(via, source))
        else:
            context = ResponseContext(
                key=key,
                request=request,
                peer=response_destination(via, source),
                transaction=server_transaction(request.method, reliable=source.reliable),
                to_tag=self._builder.new_tag(),
            )
            self._store.add_context(context)
            context.transaction.begin(now)
            self._process_new(context, source, now)
            self._store.update(context)

    def _is_full(self, host: str) -> bool:
        host_transactions = self._store.contexts_per_host[host]
        return (
            len(self._store.contexts) >= self._settings.max_server_transactions
            or host_transactions >= self._settings.max_server_transactions_per_host
        )

    def _reject_without_transaction(self, request: Request, peer: Peer) -> None:
        """Reject a request statelessly, so that rejections do not add to an overload."""
        seconds = 1 + self._rng.randrange(MAX_OVERLOAD_RETRY_AFTER_S)
        retry_after = [("retry-after", str(seconds))]
        response = build_response(request, 503, self._builder.new_tag(), retry_after)
        self._outbox.transmit(peer, response.to_bytes())

    def _process_new(self, context: ResponseContext, source: Peer, now: int) -> None:
        """Validate a new request (section 16.3), and forward it or pass it to the balancer."""
        request = context.request
        if request.method == "CANCEL":
            self._cancel(context, now)
            return
        try:
            uri = parse_uri(request.uri)
            dialog_server = self._router.pop_own_route(request)
        except SipMessageError as error:
            self._server_transactions.respond(context, error.status, now)
            return
        if self._reject_invalid(context, now):
            return
        if header_tag(request, "to"):
            self._forward_in_dialog(context, uri, dialog_server, source, now)
        elif self.draining:
            retry_after = [("retry-after", str(DRAINING_RETRY_AFTER_S))]
            self._server_transactions.respond(context, 503, now, retry_after)
        else:
            self._pass_to_balancer(context, uri, now)

    def _reject_invalid(self, context: ResponseContext, now: int) -> bool:
        """Reject a request that can't be forwarded; return whether it was rejected."""
        request = context.request
        if max_forwards(request) == 0:
            self._server_transactions.respond(context, 483, now)
        elif extensions := request.get("proxy-require"):
            unsupported = [("unsupported", extensions)]
            self._server_transactions.respond(context, 420, now, unsupported)
        elif self._router.is_loop(request):
            self._server_transactions.respond(context, 482, now)
        else:
            return False
        return True

    def _pass_to_balancer(self, context: ResponseContext, uri: SipUri, now: int) -> None:
        request = context.request
        class_name = self._router.class_of(request, uri)
        if class_name is None:
            self._server_transactions.respond(context, 404, now)
            return
        if request.method == "INVITE":
            self._server_transactions.send_trying(context, now)
        context.request_id = next(self._request_ids)
        self._store.contexts_by_request_id[context.request_id] = context
        self._outbox.post(
            RequestReceived(
                context.request_id,
                class_name,
                time_left=self._settings.deadlines_us[class_name],
                tenant=_optional_header(request, self._settings.tenant_header),
                key=_optional_header(request, self._settings.key_header),
            )
        )

    def _forward_in_dialog(
        self,
        context: ResponseContext,
        uri: SipUri,
        dialog_server: str | None,
        source: Peer,
        now: int,
    ) -> None:
        target = self._router.dialog_target(uri, dialog_server, source)
        if target is None:
            # The dialog's server was removed: 481 makes a phone end the dialog without a retry.
            self._server_transactions.respond(context, 481, now)
            return
        request = self._builder.forwarded(context.request)
        self._attempts.client_transactions.start_direct(request, target, now, context)

    def _cancel(self, cancel: ResponseContext, now: int) -> None:
        """Respond to a CANCEL, then cancel the INVITE that it names (sections 9.2 and 16.10)."""
        invite = self._store.invite_of(cancel.request)
        if invite is None:
            self._server_transactions.respond(cancel, 481, now)
            return
        self._server_transactions.respond(cancel, 200, now)
        if invite.final_status or invite.cancelled:
            return  # the INVITE has its final response, or was cancelled before
        invite.cancelled = True
        if invite.request_id:
            self._outbox.post(ClientDisconnected(invite.request_id))
        self._attempts.cancel_request(invite, now)


def _optional_header(request: Request, name: str) -> str:
    """Return the header field of a configured name; empty if no name is configured."""
    return request.get(name) if name else ""
