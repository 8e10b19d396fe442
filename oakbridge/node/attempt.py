"""One attempt to have a request served, and how it ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from oakbridge.node.clock import Timer
from oakbridge.node.http_framing import Headers
from oakbridge.node.request_body import StreamedBody
from oakbridge.policy.events import AttemptResult

if TYPE_CHECKING:
    from oakbridge.node.server_connection import ServerConnection


class ResponseSink(Protocol):
    """Where a response goes that is passed on as it comes: a client's connection."""

    def write_body(self, data: bytes) -> None:
        """Take a part of the body; call :meth:`ServerConnection.pause` when that is enough for now."""

    def finish_response(self) -> None:
        """Take the end of a complete response."""

    def abort_response(self) -> None:
        """Take the end of a response that broke off; the client must be able to tell."""


@dataclass(slots=True)
class AttemptEnd:
    """How an attempt ended, and what the server responded."""

    result: AttemptResult
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    status: int = 0  # 0: there was no response


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: what to write, how long to wait, and whom to call at its end, once.

    Times are the node's clock's, in microseconds.
    """

    server: str
    # Returns the bytes of the request, made once they can be written: it is given the microseconds
    # that are left then.
    render: Callable[[int], bytes]
    deadline: int
    on_end: Callable[[AttemptEnd], None]
    number: int = 0
    # Given a long response's status and headers, its length if known, and the connection; returns
    # where it goes.
    on_response_start: (
        Callable[[AttemptEnd, int | None, ServerConnection], ResponseSink | None] | None
    ) = None
    upload: StreamedBody | None = None  # the rest of a body that is still coming
    on_request_sent: Callable[[], None] | None = (
        None  # called once the last of ``upload`` is written
    )
    start_by: int | None = None  # the request may not start to be written later
    # Returns whether the client still waits; asked after a dial, before the first byte is written.
    is_wanted: Callable[[], bool] = field(default=lambda: True)
    connection: ServerConnection | None = field(default=None, init=False)
    timer: Timer | None = field(default=None, init=False)  # fires at the deadline
    ended: bool = field(default=False, init=False)

    def is_written(self) -> bool:
        """Return whether the last byte was written: the request may run from then on."""
        return self.connection is not None and self.connection.request_written()

    def finish(self, outcome: AttemptEnd) -> None:
        """End the attempt; only the first call counts."""
        if self.ended:
            return
        self.ended = True
        self.connection = None
        if self.timer is not None:
            self.timer.cancel()
        self.on_end(outcome)
