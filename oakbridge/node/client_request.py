"""One request of a client: its head and body, its deadlines, and its connection."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from oakbridge.node.clock import Timer
from oakbridge.node.http_framing import Headers
from oakbridge.node.request_body import StreamedBody

if TYPE_CHECKING:
    from oakbridge.node.client_connection import ClientConnection

# Between two hops only; what is said about this hop's framing is said anew on the next.
HOP_BY_HOP_HEADERS = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect", b"x-timeout", b"x-server-load",
})  # fmt: skip

_TIMEOUT = re.compile(rb"(\d{1,12})([mu])")
_US_PER_MS = 1000


class ClientRequest:
    """A request that was received, and the client that waits.  Times are in microseconds."""

    __slots__ = (
        "attempt",
        "attempt_count",
        "body",
        "body_sent_at",
        "client",
        "header_values",
        "headers",
        "http10",
        "id",
        "keep_alive",
        "method",
        "overdue_timer",
        "received_at",
        "respond_by",
        "response_settled",
        "response_streamed",
        "streamed_body",
        "target",
        "timeout_us",
    )

    def __init__(
        self, client: ClientConnection, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        self.client = client
        self.method = method
        self.target = target
        self.headers = headers
        self.header_values = dict(headers)
        self.body = body
        # The body, if it is forwarded while it is received.
        self.streamed_body: StreamedBody | None = None
        self.http10 = False  # an HTTP/1.0 client knows no chunks
        self.keep_alive = True
        self.id = 0  # the balancer's number; 0: it has not seen this request
        self.received_at = 0  # when the request was complete
        self.timeout_us: int | None = None  # from X-Timeout; None: not given
        self.respond_by: int | None = None  # when the node, which shuts down, needs it answered
        self.overdue_timer: Timer | None = None
        self.attempt_count = 0  # how many were made
        self.attempt: Any = None  # the one in flight
        self.response_settled = False  # no response is owed any more
        self.response_streamed = False  # the response is forwarded while it is received
        self.body_sent_at = 0  # when the last byte of a streamed body was written to the server

    def header_text(self, name: bytes) -> str:
        """Return a header's value as text; empty if there is none."""
        return self.header_values.get(name, b"").decode("latin-1")


def parse_timeout(value: bytes) -> int | None:
    """Return an ``X-Timeout`` value in microseconds; None if it is malformed."""
    match = _TIMEOUT.fullmatch(value.strip())
    if match is None:
        return None
    return int(match[1]) * (_US_PER_MS if match[2] == b"m" else 1)
