"""Forwards clients' requests: from the client to the balancer, to the servers that it picks, and back."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from oakbridge.node.attempt import Attempt, AttemptEnd, ResponseSink
from oakbridge.node.client_request import HOP_BY_HOP_HEADERS, ClientRequest
from oakbridge.node.clock import Clock
from oakbridge.node.connection_pool import ConnectionPool
from oakbridge.node.endpoint_updates import EndpointUpdates
from oakbridge.node.forwarded_attempt import ForwardedAttempt, ForwardedResponse
from oakbridge.node.http_framing import Headers
from oakbridge.node.invariants import Invariant, InvariantCounters
from oakbridge.node.load_report import parse_load_report
from oakbridge.node.server_connection import ServerConnection
from oakbridge.node.unserved_requests import UnservedRequests
from oakbridge.policy.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt
from oakbridge.policy.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    RequestBodySent,
    RequestReceived,
)
from oakbridge.policy.settings import ReportSource, Settings

# Of 4xx: these say nothing against the request, nor that it has not run.
RETRYABLE_CLIENT_ERRORS = (408, 425, 429)
# A node that shuts down has its last responses written so long before it must.
SHUTDOWN_MARGIN_US = 50_000
# The balancer ends each request before its time is up, by its own clock: a process that is held up
# between two readings is a little late with that.  Within the margin of a node that shuts down.
OVERDUE_GRACE_US = 20_000
MAX_COST_DIGITS = 15


class EventSink(Protocol):
    """Hands an event to the balancer."""

    def __call__(self, event: Event, as_of: int | None = None) -> None:
        """``as_of``: when the time left that the event tells was read."""


class RequestForwarder:
    """All requests that came in over HTTP and are not ended yet.  Times are in microseconds."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        pool: ConnectionPool,
        endpoints: EndpointUpdates,
        post: EventSink,
        ids: Iterator[int],
    ) -> None:
        """``post``: hands an event to the balancer; ``ids``: its numbers of requests, for all fronts."""
        self.requests: dict[int, ClientRequest] = {}
        self.open_ids: set[bytes] = set()  # their X-Request-IDs
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
        self.configure(settings)

    def configure(self, settings: Settings) -> None:
        """Use other settings for requests that come from now on."""
        self._settings = settings
        self._classes = {one.name: one for one in settings.classes}
        self._tenants = {tenant.name for tenant in settings.tenants}

    # ---- requests in

    def has_usable_server(self) -> bool:
        """Return whether requests can be served: a server is known that may be sent to."""
        return self._endpoints.has_usable()

    def has_priority_class(self, name: str) -> bool:
        """Return whether there is a priority class of this name."""
        return name in self._classes

    def has_open_request(self, request_id: bytes) -> bool:
        """Return whether a request with this id is open: owed a response, or with an attempt in flight."""
        return request_id in self.open_ids

    def handle_request(self, request: ClientRequest) -> None:
        """Take a request over: it is the balancer's until its one response."""
        class_name = request.header_text(b"x-priority-class")
        now = self._clock.now()
        due = self._due(request, self._classes[class_name].deadline)
        if self._endpoints.all_offline():  # nobody is left to wait for
            retry_after = [(b"retry-after", b"1")] if self._settings.max_retry_after else []
            request.client.respond(request, 503, retry_after, b"")
            return
        if (
            self._settings.max_open_requests
            and len(self.requests) >= self._settings.max_open_requests
        ):
            request.client.respond(
                request, 503, [], b""
            )  # as on the simulator: the balancer sees none
            return
        request.id = next(self._ids)
        self.requests[request.id] = request
        self.open_ids.add(request.header_values[b"x-request-id"])
        body = request.streamed_body
        if body is None or body.complete:
            # The balancer ends each request before this; it guards against one that it has
            # forgotten.
            self._set_overdue_timer(request, max(due, now + 1))
        self._post(
            RequestReceived(
                request.id,
                class_name,
                max(0, due - now),
                self._tenant(request),
                request.header_values.get(b"x-retried") == b"1",
                request.header_text(b"x-route-key"),
                _cost(request),
                streamed=body is not None,
            ),
            now,
        )

    def client_time_left(self, request: ClientRequest) -> int:
        """Return for how long the client will wait, from its request's last byte on."""
        timeout = request.timeout_us or 0
        body = request.streamed_body
        if body is not None and not body.complete:
            return timeout
        return request.received_at + timeout - self._clock.now()

    @staticmethod
    def _due(request: ClientRequest, class_deadline: int) -> int:
        """Return when a request's response is due at the latest."""
        if request.timeout_us is None:
            request.timeout_us = class_deadline
        due = request.received_at + request.timeout_us
        if request.respond_by is not None:
            due = min(due, request.respond_by - SHUTDOWN_MARGIN_US)
        return due

    def _tenant(self, request: ClientRequest) -> str:
        """Return the tenant, if the settings know it: what is kept by tenant must not grow with each name."""
        name = request.header_text(b"x-tenant-id")
        return name if name in self._tenants else ""

    def on_client_disconnected(self, request: ClientRequest) -> None:
        """Note that the client is gone: nothing is owed, and what is not written yet never is."""
        self._forget(request)
        if request.attempt is not None and not request.attempt.is_written():
            self._pool.withdraw(request.attempt)
        if request.id:
            self._post(ClientDisconnected(request.id))

    def _set_overdue_timer(self, request: ClientRequest, due: int) -> None:
        request.overdue_timer = self._clock.call_at(
            due + OVERDUE_GRACE_US, lambda: self._on_overdue(request)
        )

    def _on_overdue(self, request: ClientRequest) -> None:
        if not request.response_settled:
            self.invariants.violated(Invariant.UNANSWERED_IN_TIME, f"request {request.id}")
            self.abandon(request.id)
            self._post(ClientDisconnected(request.id))

    # ---- attempts out

    def send(self, action: SendAttempt, decided_at: int) -> None:
        """Send an attempt to the server that the balancer picked.

        Its latest begin counts from ``decided_at``: the process may have been held up since, and a
        server that remembers a key has not.  Its deadline does not: the balancer's own timer ends
        the request first, so that the server is not taken for one that times out.
        """
        request = self.requests.get(action.request_id)
        if request is None or request.attempt is not None:
            # Guards two rules: nothing is sent for what is over, and no two attempts are in flight
            # at once.
            self.invariants.violated(
                Invariant.SENT_AFTER_END, f"request {action.request_id}, not sent"
            )
            self._end_unsent(request, action)
            return
        if request.client.client_has_closed():
            # It waited for its turn or a retry, and the end of its connection lies unread: nothing
            # starts for it.
            request.response_settled = True
            self._end_unsent(request, action)
            self._forget(request)
            request.client.abort()
            return
        number, now = request.attempt_count, self._clock.now()
        request.attempt_count = number + 1
        forwarded = ForwardedAttempt(self, request, number, action.server, now)
        request.attempt = Attempt(
            server=action.server,
            render=forwarded.render,
            deadline=now + action.timeout,
            on_end=forwarded.on_end,
            number=number,
            on_response_start=forwarded.on_response_start,
            upload=request.streamed_body,
            on_request_sent=None if request.streamed_body is None else forwarded.on_request_sent,
            start_by=decided_at + action.start_within if action.start_within else None,
            is_wanted=forwarded.is_wanted,
        )
        self._pool.send(request.attempt)

    def _end_unsent(self, request: ClientRequest | None, action: SendAttempt) -> None:
        """Post the end of an attempt that was never made: each attempt has one outcome."""
        number, over = 0, True
        if request is not None:
            number, over = request.attempt_count, request.response_settled
            request.attempt_count += 1
        self._post(
            AttemptEnded(action.request_id, number, action.server, AttemptResult.NOT_SENT, 0, over)
        )

    def on_body_sent(self, forwarded: ForwardedAttempt) -> None:
        """Count the request's time from now: the last byte of its streamed body is written."""
        request = forwarded.request
        if request.response_settled or request.attempt is None:
            return
        now, timeout = self._clock.now(), request.timeout_us or 0
        request.body_sent_at = now
        self._pool.set_deadline(request.attempt, now + timeout)
        self._set_overdue_timer(request, now + timeout)
        self._post(RequestBodySent(request.id, forwarded.number, timeout), now)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt, if it is the one in flight."""
        request = self.requests.get(action.request_id)
        attempt = None if request is None else request.attempt
        if attempt is not None and attempt.number == action.attempt:
            self._pool.cancel(attempt)

    # ---- responses back

    def on_response_start(
        self,
        forwarded: ForwardedAttempt,
        outcome: AttemptEnd,
        length: int | None,
        connection: ServerConnection,
    ) -> ResponseSink | None:
        """Forward a long response as it comes; for the balancer, the attempt has ended well."""
        request = forwarded.request
        headers = _end_to_end(outcome.headers)
        source = ForwardedResponse(self._pool, request, connection)
        if not request.client.start_response(request, outcome.status, headers, length, source):
            return None
        self.served += 1
        self._cancel_overdue_timer(request)
        self._post_end(
            forwarded, AttemptResult.OK, finished=True, report=self._load_report(outcome)
        )
        return request.client

    def on_attempt_end(self, forwarded: ForwardedAttempt, outcome: AttemptEnd) -> None:
        """Forward a server's response to the client first; then the balancer sees the end."""
        request = forwarded.request
        request.attempt = None
        if request.response_streamed:
            self._end_streamed(forwarded, outcome)
            return
        result = outcome.result
        if result == AttemptResult.OK and not request.response_settled:
            request.client.respond(request, 200, _end_to_end(outcome.headers), outcome.body)
            self.served += 1
        elif result == AttemptResult.ERROR and _blames_request(outcome.status):
            # The server has no use for this request; no other will have, and it is no fault of the
            # server.
            request.client.respond(request, outcome.status, [], b"")
            result = AttemptResult.NOT_SENT
        if request.response_settled:
            self._forget(request)
        self._post_end(
            forwarded, result, finished=request.response_settled, report=self._load_report(outcome)
        )

    def _end_streamed(self, forwarded: ForwardedAttempt, outcome: AttemptEnd) -> None:
        """End an attempt whose response was being forwarded; only a break is news to the balancer."""
        request = forwarded.request
        self._forget(request)
        if outcome.result == AttemptResult.RESET:
            self._post(
                AttemptEnded(
                    request.id, forwarded.number, forwarded.server, outcome.result, 0, True
                )
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

    def _load_report(self, outcome: AttemptEnd) -> dict[str, float] | None:
        if self._settings.report_source != ReportSource.RESPONSES:
            return None
        text = dict(outcome.headers).get(b"x-server-load")
        return parse_load_report(text.decode("latin-1")) if text else None

    def reject(self, action: RejectRequest) -> None:
        """Reject a request for which the balancer has no server in time."""
        headers = []
        if action.retry_after:
            headers.append((b"retry-after", b"%.3f" % (action.retry_after / 1e6)))
        if self._finish(action.request_id, 503, headers):
            self.rejected += 1
            self.unserved.add(action.reason, self._clock.now())

    def fail(self, action: FailRequest) -> None:
        """Fail a request that may have run and can't be retried."""
        if self._finish(action.request_id, 502, []):
            self.failed += 1
            self.unserved.add(action.reason, self._clock.now())

    def abandon(self, request_id: int) -> None:
        """Fail a request that the balancer can't be trusted with any more, and cancel its attempt."""
        if self._finish(request_id, 500, []):
            self.failed += 1
        request = self.requests.get(request_id)
        if request is not None and request.attempt is not None:
            self._pool.cancel(request.attempt)

    def abandon_all(self) -> None:
        """Fail all requests, at the node's end: nobody is left to wait for."""
        for request_id in list(self.requests):
            self.abandon(request_id)

    def _finish(self, request_id: int, status: int, headers: Headers) -> bool:
        """Write the final response of a request that no server served; False if there is no such request."""
        request = self.requests.get(request_id)
        if request is None:
            return False
        request.client.respond(request, status, headers, b"")
        self._forget(request)
        return True

    def _forget(self, request: ClientRequest) -> None:
        """Owe nothing any more; while an attempt is in flight the balancer may still cancel it."""
        self._cancel_overdue_timer(request)
        if request.attempt is None and self.requests.pop(request.id, None) is not None:
            self.open_ids.discard(request.header_values[b"x-request-id"])

    @staticmethod
    def _cancel_overdue_timer(request: ClientRequest) -> None:
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
            request.overdue_timer = None


def _end_to_end(headers: Headers) -> Headers:
    """Return the headers that are forwarded."""
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS]


def _blames_request(status: int) -> bool:
    """Return whether a server's response says that no server will serve this request."""
    return 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS


def _cost(request: ClientRequest) -> int:
    """Return the work that the client tells, in the settings' unit; 0 if it tells none."""
    cost = request.header_text(b"x-cost")
    return int(cost) if cost.isascii() and cost.isdigit() and len(cost) <= MAX_COST_DIGITS else 0
