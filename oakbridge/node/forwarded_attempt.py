"""An attempt for a forwarded request, and the source of a streamed response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oakbridge.node.attempt import AttemptEnd, ResponseSink
from oakbridge.node.client_request import ClientRequest
from oakbridge.node.connection_pool import ConnectionPool
from oakbridge.node.request_writer import EncodedRequest, encode_request
from oakbridge.node.server_connection import ServerConnection

if TYPE_CHECKING:
    from oakbridge.node.request_forwarder import RequestForwarder


class ForwardedAttempt:
    """One attempt for one request; the pool calls its methods as the attempt proceeds."""

    __slots__ = ("_forwarder", "number", "request", "sent_at", "server")

    def __init__(
        self,
        forwarder: RequestForwarder,
        request: ClientRequest,
        number: int,
        server: str,
        sent_at: int,
    ) -> None:
        self._forwarder = forwarder
        self.request = request
        self.number = number
        self.server = server
        self.sent_at = sent_at

    def render(self, timeout_us: int) -> EncodedRequest:
        """Return the bytes to write, with a timeout of at most the time left to the client."""
        time_left = self.request.time_left(self._forwarder.now())
        return encode_request(self.request, max(1, min(timeout_us, time_left)))

    def is_wanted(self) -> bool:
        """Return whether the client still waits for the response."""
        return not (self.request.response_settled or self.request.client.client_has_closed())

    def on_request_sent(self) -> None:
        """Report that the last byte of a streamed body is written."""
        self._forwarder.on_body_sent(self)

    def on_response_start(
        self, end: AttemptEnd, length: int | None, connection: ServerConnection
    ) -> ResponseSink | None:
        """Start to forward a long response; return the sink of its body."""
        return self._forwarder.on_response_start(self, end, length, connection)

    def on_end(self, end: AttemptEnd) -> None:
        """Forward a short response, or have the balancer decide what to do next."""
        self._forwarder.on_attempt_end(self, end)


class ForwardedResponse:
    """The source of a streamed response's body, for the client's connection."""

    def __init__(
        self, pool: ConnectionPool, request: ClientRequest, connection: ServerConnection
    ) -> None:
        self._pool = pool
        self._request = request
        self.pause = connection.pause
        self.resume = connection.resume

    def cancel(self) -> None:
        """Cancel the attempt at once, as the client has disconnected."""
        if self._request.attempt is not None:
            self._pool.cancel(self._request.attempt)
