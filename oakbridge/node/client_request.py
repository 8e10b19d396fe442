"""A client's request: its head, its body, its deadlines and its connection."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from oakbridge.node.clock import Timer
from oakbridge.node.http_framing import Headers
from oakbridge.node.memory_account import HEADER_BYTES, REJECTED_REQUEST_BYTES, REQUEST_BYTES
from oakbridge.node.request_body import StreamedBody

if TYPE_CHECKING:
    from oakbridge.node.client_connection import ClientConnection

# Headers that are not forwarded as they are.  The next hop has its own framing, timeout and load
# report.
HOP_BY_HOP_HEADERS = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect", b"x-timeout", b"x-server-load",
})  # fmt: skip

_TIMEOUT = re.compile(rb"(\d{1,12})([mu])")
_US_PER_MS = 1000


class ClientRequest:
    """A received request and the client's connection.  Times are microseconds of the node's clock."""

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
        "is_idempotent",
        "keep_alive",
        "memory_bytes",
        "method",
        "overdue_timer",
        "received_at",
        "rejected_for_memory",
        "respond_by",
        "response_settled",
        "response_streamed",
        "streamed_body",
        "target",
        "timeout_us",
    )

    def __init__(
        self,
        client: ClientConnection,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes | bytearray,
    ) -> None:
        self.client = client
        self.method = method
        self.target = target
        self.headers = headers
        self.header_values = dict(headers)
        self.body = body
        # What the request holds until its response is written, without a streamed body.
        self.memory_bytes = REQUEST_BYTES + head_memory(target, headers) + buffer_memory(body)
        # Received when the node's memory limit was reached: it has neither headers nor a body.
        self.rejected_for_memory = False
        # Set if the body is forwarded while it is received.
        self.streamed_body: StreamedBody | None = None
        self.http10 = False  # HTTP/1.0 has no chunked transfer coding
        self.keep_alive = True
        self.id = 0  # the balancer's number of the request; 0: not passed to the balancer
        # When the client may have sent the last byte; until then, when its body began to be streamed.
        self.received_at = 0
        self.is_idempotent = False  # by its class; it may run twice
        self.timeout_us: int | None = None  # from X-Timeout; None: no such header
        self.respond_by: int | None = None  # deadline set by the node's shutdown; None: none
        self.overdue_timer: Timer | None = None
        self.attempt_count = 0
        self.attempt: Any = None  # the attempt in flight
        # The response has begun, or the client has disconnected: no other response may be written.
        self.response_settled = False
        self.response_streamed = False  # the response is forwarded while it is received
        self.body_sent_at = 0  # when the last byte of a streamed body was written to the server

    def release_body(self) -> None:
        """Release what is left of the body, as no further attempt will be sent."""
        self.memory_bytes -= buffer_memory(self.body)
        self.body = b""
        if self.streamed_body is not None:
            self.streamed_body.discard()

    def time_left(self, now: int) -> int:
        """Return how long the client still waits, in microseconds; negative once its time is up.

        The timeout runs from the request's last byte.  Before that, it runs while the node does not
        read what the client may have sent, also if that is because a server does not take it.
        """
        timeout = self.timeout_us or 0
        if self.is_incomplete():
            return timeout - self.client.read_delay.total_us(now)
        return self.received_at + timeout - now

    def is_incomplete(self) -> bool:
        """Return whether the rest of the body is still being received."""
        return self.streamed_body is not None and not self.streamed_body.complete

    def mark_rejected_for_memory(self) -> None:
        """Mark a request that has neither headers nor a body, as it is rejected."""
        self.rejected_for_memory = True
        self.memory_bytes = REJECTED_REQUEST_BYTES

    def header_text(self, name: bytes) -> str:
        """Return a header's value as text; "" if the request does not have the header."""
        return self.header_values.get(name, b"").decode("latin-1")


def head_memory(target: bytes, headers: Headers) -> int:
    """Return the memory of a request's target and headers, in bytes."""
    size = len(target) + HEADER_BYTES * len(headers)
    for name, value in headers:
        size += len(name) + len(value)
    return size


def buffer_memory(buffer: bytes | bytearray) -> int:
    """Return the memory of a buffer in bytes; a bytearray may be longer than its content."""
    return buffer.__alloc__() if isinstance(buffer, bytearray) else len(buffer)


def parse_timeout(value: bytes) -> int | None:
    """Return the microseconds of an ``X-Timeout`` value ("5m", "5u"); None if it is malformed."""
    match = _TIMEOUT.fullmatch(value.strip())
    if match is None:
        return None
    return int(match[1]) * (_US_PER_MS if match[2] == b"m" else 1)
