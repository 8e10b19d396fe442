"""One attempt to have a request served by a server, and the end of an attempt."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from oakbridge.node.clock import Timer
from oakbridge.node.http_framing import Headers
from oakbridge.node.request_body import StreamedBody
from oakbridge.node.request_writer import EncodedRequest
from oakbridge.policy.events import AttemptResult

if TYPE_CHECKING:
    from oakbridge.node.server_connection import ServerConnection


class ResponseSink(Protocol):
    """Receives a streamed response; the client's connection implements it."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the body; call :meth:`ServerConnection.pause` while buffers are full."""

    def finish_response(self) -> None:
        """Finish a complete response."""

    def abort_response(self) -> None:
        """End an incomplete response so that the client can recognise it as incomplete."""


@dataclass(slots=True)
class AttemptEnd:
    """The end of an attempt: its result, and the server's response if there was one."""

    result: AttemptResult
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    status: int = 0  # HTTP status; 0: there was no response


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: the bytes to write, the deadline, and the function to call once at its end.

    Times are in microseconds of the node's clock.
    """

    server: str
    # Returns the bytes of the request; called when they can be written, with the time that is left
    # then, in microseconds.
    render: Callable[[int], EncodedRequest]
    deadline: int
    on_end: Callable[[AttemptEnd], None]
    number: int = 0
    # Called with the status and headers of a long response, its length if known, and the
    # connection; returns the sink of the body, or None if the client no longer wants it.
    on_response_start: (
        Callable[[AttemptEnd, int | None, ServerConnection], ResponseSink | None] | None
    ) = None
    streamed_body: StreamedBody | None = None  # the rest of a body that is still being received
    # Called once the last byte of ``streamed_body`` is written.
    on_request_sent: Callable[[], None] | None = None
    start_by: int | None = None  # deadline for writing the first byte
    deliver_by: int | None = None  # deadline for the server to have the last byte
    # Until when the client waits for a response that is not long; 0: until ``deadline``.
    client_deadline: int = 0
    # Returns when the balancer will give the request up; None: it does not know the request.
    given_up_at: Callable[[], int | None] = field(default=lambda: None)
    # Returns whether the request would be retried if this attempt failed now.
    can_retry: Callable[[], bool] = field(default=lambda: False)
    # Returns whether the client still waits; called after a dial, before the first byte is written.
    is_wanted: Callable[[], bool] = field(default=lambda: True)
    connection: ServerConnection | None = field(default=None, init=False)
    timer: Timer | None = field(default=None, init=False)  # ends the attempt at its deadline
    ended: bool = field(default=False, init=False)

    def __post_init__(self) -> None:
        """Use the attempt's own deadline where the client has no later one."""
        self.client_deadline = max(self.client_deadline, self.deadline)

    def may_have_run(self) -> bool:
        """Return whether the last byte has left this machine, so that the server may have it."""
        return self.connection is not None and self.connection.may_have_run()

    def may_get_long_response(self) -> bool:
        """Return whether a response has begun that may be longer than would be buffered."""
        return self.connection is not None and self.connection.response_may_be_long()

    def finish(self, end: AttemptEnd) -> None:
        """End the attempt; only the first call has an effect."""
        if self.ended:
            return
        self.ended = True
        self.connection = None
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(end)
