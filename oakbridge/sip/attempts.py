"""Attempts: carries out the balancer's actions, and reports the attempts' results to the balancer.

Two rules hold here: no attempt starts for a request that has its final response or is cancelled,
and a request never has two attempts in flight.
"""

from __future__ import annotations

from oakbridge.policy.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from oakbridge.policy.events import AttemptEnded, AttemptResult, ResponseStarted
from oakbridge.sip.client_transactions import ClientTransactions
from oakbridge.sip.message import Headers, Response
from oakbridge.sip.outbox import Outbox
from oakbridge.sip.peer import Peer
from oakbridge.sip.request_builder import RequestBuilder
from oakbridge.sip.routing import Router
from oakbridge.sip.server_transactions import ServerTransactions
from oakbridge.sip.transaction import TRANSACTION_TIMEOUT_US, client_transaction
from oakbridge.sip.transaction_store import AttemptBranch, ResponseContext, TransactionStore
from oakbridge.sip.transaction_tables import Output

SECOND_US = 1_000_000
TIMER_C_US = 180 * SECOND_US  # restarts at each provisional response above 100; section 16.8

# Statuses that report a fault of the server and not of the request.
SERVER_FAULT_STATUSES = frozenset({500, 502, 503})
# Statuses of a timeout behind the server, where the request may have run.
TIMEOUT_STATUSES = frozenset({408, 504})

_UNKNOWN_PEER = Peer("UDP", "", 0)


def attempt_result(status: int, *, first_response: bool) -> AttemptResult | None:
    """Return an attempt's result for the status of its final response.

    None means that the response concerns the request and says nothing about the server. With
    ``first_response`` no provisional response came before it: then a 503 means that the server did
    not accept the request (section 21.5.4). After a provisional response the server may have run
    the request.
    """
    if status < 300:
        return AttemptResult.OK
    if status == 503 and first_response:
        return AttemptResult.REJECTED
    if status in SERVER_FAULT_STATUSES:
        return AttemptResult.ERROR
    return AttemptResult.TIMEOUT if status in TIMEOUT_STATUSES else None


class Attempts:
    """Sends and cancels attempts, and reports the result of each attempt once."""

    def __init__(
        self,
        store: TransactionStore,
        outbox: Outbox,
        router: Router,
        builder: RequestBuilder,
        server_transactions: ServerTransactions,
    ) -> None:
        self._store = store
        self._outbox = outbox
        self._router = router
        self._builder = builder
        self._server_transactions = server_transactions
        self.client_transactions = ClientTransactions(
            store,
            outbox,
            builder,
            server_transactions,
            on_attempt_response=self._response_received,
            on_attempt_failure=self._transaction_failed,
        )

    # ---- the balancer's actions

    def send(self, action: SendAttempt, now: int) -> None:
        """Start an attempt, or report that it was not sent."""
        context = self._store.contexts_by_request_id.get(action.request_id)
        if context is None or not _may_start_attempt(context):
            self._report_not_sent(action, len(context.attempts) if context is not None else 0)
            return
        peer = self._router.servers.get(action.server)
        branch = self._new_branch(context, action, peer or _UNKNOWN_PEER, now)
        context.attempts.append(branch)
        if peer is None:  # the server was removed after the balancer chose it
            self._report(branch, AttemptResult.CONNECT_FAILED, now)
            return
        self.client_transactions.start(branch, now)

    def cancel(self, action: CancelAttempt, now: int) -> None:
        """Cancel an attempt, unless its caller sent a CANCEL and waits for the final response."""
        context = self._store.contexts_by_request_id.get(action.request_id)
        for branch in context.attempts if context is not None else []:
            is_cancelled = branch.number == action.attempt and not branch.result_reported
            if is_cancelled and not branch.awaited_by_cancelled_caller:
                self._abandon(branch, AttemptResult.CANCELLED, now)

    def reject(self, action: RejectRequest, now: int) -> None:
        """Respond with 503 and a Retry-After, which is rounded up to whole seconds."""
        seconds = max(1, -(-action.retry_after // SECOND_US))
        retry_after = [("retry-after", str(seconds))]
        self._finish_request(action.request_id, 503, now, retry_after)

    def fail(self, action: FailRequest, now: int) -> None:
        """Respond with 500."""
        self._finish_request(action.request_id, 500, now)

    def _finish_request(
        self,
        request_id: int,
        status: int,
        now: int,
        headers: Headers | None = None,
    ) -> None:
        context = self._store.contexts_by_request_id.get(request_id)
        if context is not None and not context.cancelled:
            self._server_transactions.respond(context, status, now, headers)

    def _new_branch(
        self, context: ResponseContext, action: SendAttempt, peer: Peer, now: int
    ) -> AttemptBranch:
        request = self._builder.attempt(context.request, action.server)
        return AttemptBranch(
            context=context,
            number=len(context.attempts),
            server=action.server,
            peer=peer,
            request=request,
            transaction=client_transaction(request.method, reliable=peer.reliable),
            sent_at=now,
            deadline=now + action.timeout,
        )

    # ---- the caller's CANCEL, and deadlines of attempts

    def cancel_request(self, context: ResponseContext, now: int) -> None:
        """Cancel the attempts in flight at a caller's INVITE (section 16.10).

        If no attempt is in flight, the INVITE's response is 487.
        """
        in_flight = [
            branch
            for branch in context.attempts
            if not branch.abandoned and not branch.transaction.terminated
        ]
        for branch in in_flight:
            # The wait for the INVITE's own final response is limited (section 9.1).
            branch.deadline = min(branch.deadline, now + TRANSACTION_TIMEOUT_US)
            self._request_cancel(branch, now)
            self._store.update(branch)
        if not in_flight:
            self._server_transactions.respond(context, 487, now)

    def check_deadline(self, branch: AttemptBranch, now: int) -> None:
        """End an attempt whose deadline has passed, or the wait for a cancelled attempt."""
        if branch.result_reported or branch.deadline > now:
            return
        self._abandon(branch, AttemptResult.TIMEOUT, now)
        self._respond_without_retry(branch, now)

    def _respond_without_retry(self, branch: AttemptBranch, now: int) -> None:
        """Respond to the caller if no other server may be tried for its request.

        A cancelled INVITE gets 487, as section 9.1 lets its transaction end without the server's
        response. A request that rings gets 408, as when Timer C fires (section 16.8).
        """
        context = branch.context
        if context.final_status:
            return
        if context.cancelled:
            self._server_transactions.respond(context, 487, now)
        elif branch.provisional_forwarded:
            self._server_transactions.respond(context, 408, now)

    def _abandon(self, branch: AttemptBranch, result: AttemptResult, now: int) -> None:
        """Ignore further responses on a branch, cancel its INVITE, and report the result.

        If the server still accepts the INVITE, :meth:`_end_late_dialog` ends the dialog.
        """
        branch.abandoned = True
        branch.transaction.stop_retransmissions()
        self._request_cancel(branch, now)
        self._report(branch, result, now)

    def _request_cancel(self, branch: AttemptBranch, now: int) -> None:
        """Send a CANCEL once a provisional response has been received (section 9.1).

        Before it, the server may not have received the INVITE and would have nothing to cancel.
        """
        branch.cancel_requested = True
        is_invite = branch.request.method == "INVITE"
        if not branch.provisional_received or branch.cancel_sent or not is_invite:
            return
        branch.cancel_sent = True
        cancel = self._builder.cancel(branch.request)
        self.client_transactions.start_direct(cancel, branch.peer, now)

    # ---- responses and failures from the transactions

    def _response_received(self, branch: AttemptBranch, response: Response, now: int) -> None:
        if response.status < 200:
            self._provisional_received(branch, response, now)
        elif _is_late(branch, response):
            if response.status < 300:
                self._end_late_dialog(branch, response, now)
            self._report(branch, AttemptResult.CANCELLED, now)
        else:
            self._final_received(branch, response, now)

    def _provisional_received(self, branch: AttemptBranch, response: Response, now: int) -> None:
        branch.provisional_received = True
        if branch.cancel_requested:
            self._request_cancel(branch, now)
            return
        context = branch.context
        if response.status == 100 or branch.abandoned or context.final_status:
            return
        if not branch.provisional_forwarded:
            # The caller knows that its call rings: no other server may be tried, and Timer C runs.
            branch.provisional_forwarded = True
            self._outbox.post(ResponseStarted(context.request_id, branch.number))
        branch.deadline = max(branch.deadline, now + TIMER_C_US)
        self._server_transactions.forward(context, response, now)

    def _final_received(self, branch: AttemptBranch, response: Response, now: int) -> None:
        context = branch.context
        result = attempt_result(response.status, first_response=not branch.provisional_received)
        is_server_fault = result is not None and result is not AttemptResult.OK
        if is_server_fault and not branch.provisional_forwarded and not context.cancelled:
            # Another server may be tried; the balancer decides whether it is.
            branch.abandoned = True
            self._report(branch, result, now)
            return
        context.accepted_by = branch if result is AttemptResult.OK else None
        self._server_transactions.forward(context, response, now)
        if context.cancelled:
            result = AttemptResult.CANCELLED
        self._report(branch, result, now, request_finished=True)

    def _end_late_dialog(self, branch: AttemptBranch, response: Response, now: int) -> None:
        """Acknowledge a 2xx that is not forwarded, then end its dialog with a BYE.

        Without the ACK the server repeats its 2xx for 32 s; without the BYE it keeps a call without
        a caller. The caller gets none of these messages, as it has or gets another response.
        """
        invite = branch.request
        if invite.method != "INVITE":
            return
        ack = self._builder.ack_of_success(invite, response, branch.peer)
        self._outbox.transmit(branch.peer, ack.to_bytes())
        bye = self._builder.bye(invite, response, branch.peer)
        if not branch.bye_sent:
            branch.bye_sent = True
            self.client_transactions.start_direct(bye, branch.peer, now)

    def _transaction_failed(self, branch: AttemptBranch, output: Output, now: int) -> None:
        branch.abandoned = True
        self._report(branch, _failure_result(branch, output), now)
        self._respond_without_retry(branch, now)

    # ---- events for the balancer

    def _report(
        self,
        branch: AttemptBranch,
        result: AttemptResult | None,
        now: int,
        *,
        request_finished: bool = False,
    ) -> None:
        """Report an attempt's result to the balancer once.

        A result of None says nothing about the server and is reported as NOT_SENT.
        """
        if branch.result_reported:
            return
        branch.result_reported = True
        self._outbox.post(
            AttemptEnded(
                branch.context.request_id,
                branch.number,
                branch.server,
                result if result is not None else AttemptResult.NOT_SENT,
                latency=now - branch.sent_at,
                request_finished=request_finished,
            )
        )

    def _report_not_sent(self, action: SendAttempt, number: int) -> None:
        self._outbox.post(
            AttemptEnded(
                action.request_id,
                number,
                action.server,
                AttemptResult.NOT_SENT,
                latency=0,
                request_finished=True,
            )
        )


def _may_start_attempt(context: ResponseContext) -> bool:
    """Return whether a request is open and has no attempt in flight."""
    if context.final_status or context.cancelled:
        return False
    return all(branch.result_reported for branch in context.attempts)


def _is_late(branch: AttemptBranch, response: Response) -> bool:
    """Return whether a final response comes too late to be forwarded to the caller."""
    if branch.abandoned:
        return True
    if not branch.context.final_status:
        return False
    return response.status >= 300 or branch.context.accepted_by is not branch


def _failure_result(branch: AttemptBranch, output: Output) -> AttemptResult:
    """Return the result of an attempt whose transaction timed out or had a transport error.

    Only if the attempt's single datagram was refused is it certain that the request never ran: the
    server may have received an earlier datagram before it died.
    """
    if output is Output.TIMEOUT:
        return AttemptResult.TIMEOUT
    is_only_datagram = not branch.peer.reliable and branch.transmissions == 1
    if is_only_datagram and not branch.provisional_received:
        return AttemptResult.CONNECT_FAILED
    return AttemptResult.RESET
