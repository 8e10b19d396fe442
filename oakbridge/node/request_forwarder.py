"""Forwards requests from clients to the servers that the balancer picks, and the responses back."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from typing import Protocol

from oakbridge.node.attempt import Attempt, AttemptEnd, ResponseSink
from oakbridge.node.client_request import ClientRequest
from oakbridge.node.clock import Clock
from oakbridge.node.connection_pool import ConnectionPool
from oakbridge.node.endpoint_updates import EndpointUpdates
from oakbridge.node.forwarded_attempt import ForwardedAttempt, ForwardedResponse
from oakbridge.node.http_framing import Headers
from oakbridge.node.invariants import Invariant, InvariantCounters
from oakbridge.node.message_rules import (
    end_to_end_headers,
    is_request_fault,
    load_report,
    request_cost,
)
from oakbridge.node.request_ids import RequestIds
from oakbridge.node.server_connection import ServerConnection
from oakbridge.node.unserved_requests import UnservedRequests
from oakbridge.policy.actions import (
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendAttempt,
    UnservedReason,
)
from oakbridge.policy.events import (
    NEVER_RAN,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestBodySent,
    RequestReceived,
    TimeLeftChanged,
)
from oakbridge.policy.retry_safety import transfer_time
from oakbridge.policy.settings import Idempotency, ReportSource, Settings

# A node that shuts down finishes its last responses this long before the process must exit.
SHUTDOWN_MARGIN_US = 50_000
# The balancer finishes each request by its deadline, and a process that is paused between two clock
# readings is a little late.  Less than SHUTDOWN_MARGIN_US, so that it also holds at a shutdown.
OVERDUE_GRACE_US = 20_000


class EventSink(Protocol):
    """Hands an event to the balancer."""

    def __call__(self, event: Event, as_of: int | None = None) -> None:
        """``as_of``: when the ``time_left`` of the event was measured."""


class RequestOutlook(Protocol):
    """Tells what the balancer will do with a request, given its id."""

    def given_up_at(self, request_id: int) -> int | None:
        """Return when it will give the request up; None: it does not know the request."""

    def can_retry(self, request_id: int) -> bool:
        """Return whether it would retry the request if its attempt in flight failed now."""


class RequestForwarder:
    """All requests that arrived over HTTP and are not finished.  Times are in microseconds."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        pool: ConnectionPool,
        endpoints: EndpointUpdates,
        post: EventSink,
        ids: Iterator[int],
        outlook: RequestOutlook,
    ) -> None:
        """``post``: hands an event to the balancer; ``ids``: request ids, shared by all fronts.

        ``outlook``: tells what the balancer will do with a request.
        """
        self.requests: dict[int, ClientRequest] = {}
        self.request_ids = RequestIds(clock.now)  # X-Request-IDs of all processes of the node
        self.served = 0  # responses since the start
        self.rejected = 0
        self.failed = 0
        self.unserved = UnservedRequests()
        self.invariants = InvariantCounters()
        self._clock = clock
        self._pool = pool
        self._endpoints = endpoints
        self._post = post
        self._ids = ids
        self._outlook = outlook
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Use other settings for requests that arrive from now on."""
        self._settings = settings
        self._classes = {priority_class.name: priority_class for priority_class in settings.classes}
        self._tenants = {tenant.name for tenant in settings.tenants}

    # ---- requests in

    def has_usable_server(self) -> bool:
        """Return whether there is a server that requests may be sent to."""
        return self._endpoints.has_usable()

    def has_priority_class(self, name: str) -> bool:
        """Return whether there is a priority class of this name."""
        return name in self._classes

    def is_repeated(self, request_id: bytes) -> bool:
        """Return whether a request with this id is open, or may have run and must not run twice."""
        return self.request_ids.is_known(request_id)

    def handle_request(self, request: ClientRequest) -> None:
        """Hand a request to the balancer, which decides about it until its response."""
        class_name = request.header_text(b"x-priority-class")
        now = self._clock.now()
        priority_class = self._classes[class_name]
        request.is_idempotent = priority_class.idempotency is Idempotency.IDEMPOTENT
        if request.timeout_us is None:
            request.timeout_us = priority_class.deadline
        if self._endpoints.all_offline():  # it is useless to wait for a server
            retry_after = [(b"retry-after", b"1")] if self._settings.max_retry_after else []
            request.client.respond(request, 503, retry_after, b"")
            return
        if (
            self._settings.max_open_requests
            and len(self.requests) >= self._settings.max_open_requests
        ):
            # As on the simulator, the balancer does not see such a request.
            request.client.respond(request, 503, [], b"")
            return
        request.id = next(self._ids)
        self.requests[request.id] = request
        self.request_ids.add_open(
            request.header_values[b"x-request-id"], is_idempotent=request.is_idempotent
        )
        time_left = self._response_time_left(request, now)
        if request.is_incomplete():
            self._set_upload_timer(request, now)
        else:
            self._set_overdue_timer(request, now + time_left)
        self._post(
            RequestReceived(
                request.id,
                class_name,
                time_left,
                self._tenant(request),
                request.header_values.get(b"x-retried") == b"1",
                request.header_text(b"x-route-key"),
                request_cost(request),
                streamed=request.streamed_body is not None,
                body_bytes=len(request.body),
            ),
            now,
        )

    def reject_for_memory(self, request: ClientRequest) -> None:
        """Reject a request that arrived when the node's memory limit was reached, with a 503."""
        request.client.respond(request, 503, [], b"")
        self.on_incomplete_rejected()

    def on_incomplete_rejected(self) -> None:
        """Count a request that was rejected for its memory."""
        self.rejected += 1
        self.unserved.add(UnservedReason.MEMORY_LIMIT, self._clock.now())

    def now(self) -> int:
        """Return the current time."""
        return self._clock.now()

    @staticmethod
    def _response_time_left(request: ClientRequest, now: int) -> int:
        """Return how long a response may still take, for its client and for a shutdown."""
        time_left = request.time_left(now)
        if request.respond_by is not None:
            time_left = min(time_left, request.respond_by - SHUTDOWN_MARGIN_US - now)
        return max(0, time_left)

    # ---- streamed bodies

    def _set_upload_timer(self, request: ClientRequest, now: int) -> None:
        """Check a request again when its time may be up although its body is not complete."""
        request.overdue_timer = self._clock.call_at(
            now + max(1, request.time_left(now)), lambda: self._on_upload_timer(request)
        )

    def _on_upload_timer(self, request: ClientRequest) -> None:
        if request.response_settled or not request.is_incomplete():
            return
        now = self._clock.now()
        if request.time_left(now) > 0:
            self._set_upload_timer(request, now)
            return
        if request.attempt is not None:
            self._pool.expire(request.attempt)
        if not request.response_settled:
            self._set_overdue_timer(request, now)
            self._post(TimeLeftChanged(request.id, 0), now)

    def on_body_received(self, request: ClientRequest) -> None:
        """Set the deadline of a request whose streamed body is complete."""
        if request.response_settled or not request.id:
            return
        now = self._clock.now()
        time_left = self._response_time_left(request, now)
        self._cancel_overdue_timer(request)
        self._set_overdue_timer(request, now + time_left)
        if request.attempt is not None:
            self._pool.set_deadline(request.attempt, now + time_left)
        self._post(TimeLeftChanged(request.id, time_left), now)

    def _tenant(self, request: ClientRequest) -> str:
        """Return the tenant, or "" if it is not in the settings.

        Clients could otherwise fill the memory with state for made-up tenants.
        """
        name = request.header_text(b"x-tenant-id")
        return name if name in self._tenants else ""

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """Drop a request whose client has disconnected; withdraw it if its server has not got it."""
        self._forget(request)
        if request.attempt is not None and not request.attempt.may_have_run():
            self._pool.withdraw(request.attempt)
        if request.id:
            self._post(ClientDisconnected(request.id))

    def _set_overdue_timer(self, request: ClientRequest, due: int) -> None:
        """Guard against a request that the balancer has forgotten; it finishes all others before."""
        request.overdue_timer = self._clock.call_at(
            due + OVERDUE_GRACE_US, lambda: self._on_overdue(request)
        )

    def _on_overdue(self, request: ClientRequest) -> None:
        if not request.response_settled:
            self.invariants.violated(Invariant.UNANSWERED_IN_TIME, f"request {request.id}")
            self.abandon(request.id)
            self._post(ClientDisconnected(request.id))

    # ---- attempts

    def send(self, action: SendAttempt, decided_at: int) -> None:
        """Send an attempt to the server that the balancer picked.

        The deadline for its start counts from ``decided_at``: this process may have been paused
        since then, while the time for which servers remember an idempotency key goes on.  The
        deadline of the attempt counts from now: the balancer's own timer finishes the request
        first, so that the server does not count as timed out.
        """
        request = self.requests.get(action.request_id)
        if request is None or request.attempt is not None:
            # Nothing may be sent for a finished request, and no two attempts may be in flight at
            # once.
            self.invariants.violated(
                Invariant.SENT_AFTER_END, f"request {action.request_id}, not sent"
            )
            self._post_unsent_end(request, action)
            return
        if request.client.client_has_closed():
            # The client disconnected while its request was queued or waited for a retry, and the
            # loop has not reported that yet.
            request.response_settled = True
            self._post_unsent_end(request, action)
            self._forget(request)
            request.client.abort()
            return
        number, now = request.attempt_count, self._clock.now()
        request.attempt_count = number + 1
        forwarded = ForwardedAttempt(self, request, number, action.server, now)
        start_by = decided_at + action.start_within if action.start_within else None
        request.attempt = Attempt(
            server=action.server,
            render=forwarded.render,
            deadline=now + action.timeout,
            on_end=forwarded.on_end,
            number=number,
            on_response_start=forwarded.on_response_start,
            streamed_body=request.streamed_body,
            on_request_sent=None if request.streamed_body is None else forwarded.on_request_sent,
            start_by=start_by,
            deliver_by=None if start_by is None else start_by + transfer_time(len(request.body)),
            client_deadline=now + self._response_time_left(request, now),
            given_up_at=partial(self._outlook.given_up_at, request.id),
            can_retry=partial(self._outlook.can_retry, request.id),
            is_wanted=forwarded.is_wanted,
        )
        self._pool.send(request.attempt)

    def _post_unsent_end(self, request: ClientRequest | None, action: SendAttempt) -> None:
        """Post the end of an attempt that was never sent: the balancer expects one for each."""
        number, over = 0, True
        if request is not None:
            number, over = request.attempt_count, request.response_settled
            request.attempt_count += 1
        self._post(
            AttemptEnded(action.request_id, number, action.server, AttemptResult.NOT_SENT, 0, over)
        )

    def on_body_sent(self, forwarded: ForwardedAttempt) -> None:
        """Measure the server's latency from now, as the last byte of a streamed body is written."""
        request = forwarded.request
        if request.response_settled or request.attempt is None:
            return
        now = request.body_sent_at = self._clock.now()
        time_left = self._response_time_left(request, now)
        self._post(RequestBodySent(request.id, forwarded.number, time_left), now)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt, if it is in flight.

        One that was to be retried elsewhere goes on if its server has begun a response that may be
        long: only the first byte of such a response has to be in time.
        """
        request = self.requests.get(action.request_id)
        if request is None or request.attempt is None or request.attempt.number != action.attempt:
            return
        if request.response_settled or not request.attempt.may_get_long_response():
            self._pool.cancel(request.attempt)

    # ---- responses

    def on_response_start(
        self,
        forwarded: ForwardedAttempt,
        end: AttemptEnd,
        length: int | None,
        connection: ServerConnection,
    ) -> ResponseSink | None:
        """Start to stream a long response; for the balancer, the attempt has ended with OK."""
        request = forwarded.request
        headers = end_to_end_headers(end.headers)
        source = ForwardedResponse(self._pool, request, connection)
        if not request.client.start_response(request, end.status, headers, length, source):
            return None
        self.served += 1
        self._cancel_overdue_timer(request)
        self._post_end(forwarded, AttemptResult.OK, finished=True, report=self._load_report(end))
        return request.client

    def on_attempt_end(self, forwarded: ForwardedAttempt, end: AttemptEnd) -> None:
        """Forward a server's response to the client; after that, report the end to the balancer."""
        request = forwarded.request
        request.attempt = None
        if end.result not in NEVER_RAN and not request.is_idempotent:
            self.request_ids.add_recent(request.header_values[b"x-request-id"])
        if request.response_streamed:
            self._end_streamed(forwarded, end)
            return
        result = end.result
        if result == AttemptResult.OK and not request.response_settled:
            request.client.respond(request, 200, end_to_end_headers(end.headers), end.body)
            self.served += 1
        elif result == AttemptResult.ERROR and is_request_fault(end.status):
            # Any server would refuse this request, so its response does not count against the
            # server.
            request.client.respond(request, end.status, [], b"")
            result = AttemptResult.NOT_SENT
        if request.response_settled:
            self._forget(request)
        self._post_end(
            forwarded, result, finished=request.response_settled, report=self._load_report(end)
        )

    def _end_streamed(self, forwarded: ForwardedAttempt, end: AttemptEnd) -> None:
        """End an attempt with a streamed response; notify the balancer only of a broken one."""
        request = forwarded.request
        self._forget(request)
        if end.result == AttemptResult.RESET:
            self._post(
                AttemptEnded(request.id, forwarded.number, forwarded.server, end.result, 0, True)
            )

    def _post_end(
        self,
        forwarded: ForwardedAttempt,
        result: AttemptResult,
        *,
        finished: bool,
        report: dict[str, float] | None,
    ) -> None:
        request = forwarded.request
        latency = self._clock.now() - (request.body_sent_at or forwarded.sent_at)
        self._post(
            AttemptEnded(
                request.id, forwarded.number, forwarded.server, result, latency, finished, report
            )
        )

    def _load_report(self, end: AttemptEnd) -> dict[str, float] | None:
        if self._settings.report_source != ReportSource.RESPONSES:
            return None
        return load_report(end)

    def reject(self, action: RejectRequest) -> None:
        """Reject a request for which the balancer has no server in time, with a 503."""
        headers = []
        if action.retry_after:
            headers.append((b"retry-after", b"%.3f" % (action.retry_after / 1e6)))
        if self._finish(action.request_id, 503, headers):
            self.rejected += 1
            self.unserved.add(action.reason, self._clock.now())

    def fail(self, action: FailRequest) -> None:
        """Fail a request that may have run and can't be retried, with a 502."""
        if self._finish(action.request_id, 502, []):
            self.failed += 1
            self.unserved.add(action.reason, self._clock.now())

    def abandon(self, request_id: int) -> None:
        """Fail a request after a fault of the balancer with a 500, and cancel its attempt."""
        if self._finish(request_id, 500, []):
            self.failed += 1
        request = self.requests.get(request_id)
        if request is not None and request.attempt is not None:
            self._pool.cancel(request.attempt)

    def abandon_all(self) -> None:
        """Fail all requests when the node stops."""
        for request_id in list(self.requests):
            self.abandon(request_id)

    def _finish(self, request_id: int, status: int, headers: Headers) -> bool:
        """Write the response of a request that no server served; return False if it is unknown."""
        request = self.requests.get(request_id)
        if request is None:
            return False
        request.client.respond(request, status, headers, b"")
        self._forget(request)
        return True

    def _forget(self, request: ClientRequest) -> None:
        """Remove a finished request, unless its attempt is in flight and may be cancelled yet."""
        self._cancel_overdue_timer(request)
        if request.attempt is None and self.requests.pop(request.id, None) is not None:
            self.request_ids.remove_open(request.header_values[b"x-request-id"])

    @staticmethod
    def _cancel_overdue_timer(request: ClientRequest) -> None:
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
            request.overdue_timer = None
