"""A client's connection: one request is in flight at a time, each gets exactly one response."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING, cast

from oakbridge.node.client_request import ClientRequest
from oakbridge.node.connection_state import (
    ENDED_STATES,
    ConnectionEvent,
    ConnectionState,
    next_state,
)
from oakbridge.node.http_framing import Headers
from oakbridge.node.invariants import Invariant
from oakbridge.node.read_deadlines import MIN_BODY_BYTES_PER_CHECK, ClientProgress
from oakbridge.node.request_parser import RequestParser, RequestPhase
from oakbridge.node.response_writer import (
    CONTINUE,
    ResponseSource,
    ResponseStream,
    encode_response,
    encode_response_head,
    stream_framing,
)
from oakbridge.node.socket_state import (
    has_unread_bytes,
    last_received_ago_us,
    peer_has_closed,
    reset_on_close,
)

if TYPE_CHECKING:
    from oakbridge.node.http_server import HttpServer

PAUSE_READING_AT = 16  # requests that wait on one connection
MAX_PIPELINED = 64  # and those that are taken of what one read has brought
TOO_MANY_REQUESTS = 429


_IDLE = ConnectionState.IDLE  # looked up for each request


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection.

    Its state says what is being done about responses, the parser's phase what is being
    received.  Beside both, reading or writing may be paused for back-pressure.  Wherever the client
    has to act next, a deadline runs (``limits.awaiting_client``), and so it does while the
    connection is idle (``limits.idle``).
    """

    __slots__ = (
        "_server",
        "_sock",
        "in_flight",
        "over_limit",
        "parser",
        "pending",
        "progress",
        "reading_paused",
        "response_stream",
        "state",
        "transport",
        "write_blocked",
    )

    def __init__(self, server: HttpServer, sock: socket.socket, *, over_limit: bool) -> None:
        """``over_limit``: beyond the limit of connections, so that its requests are rejected."""
        self._server = server
        self._sock = sock
        self.over_limit = over_limit
        self.transport: asyncio.Transport | None = None
        self.state = ConnectionState.IDLE
        self.parser = RequestParser(self, server.body_buffers)
        self.progress = ClientProgress()
        self.in_flight: ClientRequest | None = None
        self.pending: deque[ClientRequest] = deque()  # received, and not dispatched yet
        self.reading_paused = False  # because enough requests are pending
        self.write_blocked = False  # the client does not read what was written
        self.response_stream: ResponseStream | None = None  # the response that is being streamed

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, unless it has been evicted already."""
        self.transport = cast(asyncio.Transport, transport)  # other loops have classes of their own
        if self.is_closing():
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Cancel what was in flight, and notify the handler if a response was owed."""
        self.transport = None
        self._change_state(ConnectionEvent.CONNECTION_CLOSED)
        self.pending.clear()
        request, self.in_flight = self.in_flight, None
        self.parser.release_body()
        self._cancel_streamed_request()
        stream, self.response_stream = self.response_stream, None
        self._server.on_connection_lost(self)
        if stream is not None:
            stream.source.cancel()
        self._abandon(request)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - asyncio's signature
        """Return the buffer of all connections: it is parsed before anything else is read."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse requests; a malformed one ends the connection once earlier ones are answered."""
        self.progress.bytes_received += nbytes
        if self.parser.error_status or self.is_closing():
            return  # discarded: see _end_sending
        limits = self._server.limits
        if not self.parser.request_bytes and not self.write_blocked:
            # A request begins: it has its own time, whenever the client connected.
            limits.awaiting_client.remove(self)
        if self.parser.feed(self._server.read_buffer[:nbytes]) and not self.write_blocked:
            limits.awaiting_client.remove(self)
        if self.parser.error_status:
            self._cancel_streamed_request()
        elif self.parser.in_progress():
            limits.idle.remove(self)
            limits.awaiting_client.add(self)
        self._dispatch_pending()
        if len(self.pending) >= PAUSE_READING_AT and not self.reading_paused:
            self.reading_paused = True
            self.update_reading()

    def pause_writing(self) -> None:
        """Dispatch nothing more until the client reads, for which it has a deadline."""
        self.write_blocked = True
        self._server.limits.awaiting_client.add(self)
        if self.response_stream is not None:
            self.response_stream.source.pause()

    def resume_writing(self) -> None:
        """Go on: the client has read enough."""
        self.write_blocked = False
        self.progress.writing_resumed()
        if self.is_closing():
            return
        if not self.parser.in_progress():
            self._server.limits.awaiting_client.remove(self)
        if self.response_stream is not None:
            self.response_stream.source.resume()
        self._dispatch_pending()

    # ---- the parser's callbacks

    def last_received_at(self) -> int:
        """Return when the last bytes reached this machine, in microseconds: its client's time runs."""
        return self._server.clock.now() - last_received_ago_us(self._sock)

    def on_head(self) -> None:
        """Give the body a time of its own, and ask for it if the client waits for that."""
        if not self.write_blocked:  # a client that does not read keeps its deadline all the same
            self._server.limits.awaiting_client.remove(self)
        self.progress.body_started()
        if self.parser.expects_continue and self.in_flight is None and not self.pending:
            self._send_continue()

    def on_request(self, request: ClientRequest) -> None:
        """Queue a complete request, unless one before it was said to be the last (RFC 9112, 9.6)."""
        last = self.pending[-1] if self.pending else self.in_flight
        if last is not None and not last.keep_alive:
            return
        if len(self.pending) >= MAX_PIPELINED:
            self.parser.fail(503)
        else:
            self.pending.append(request)

    def on_streamed_request(self, request: ClientRequest) -> None:
        """Queue a request whose body is forwarded while it is received."""
        self.pending.append(request)
        self.update_reading()

    def update_reading(self) -> None:
        """Read, unless enough requests or enough of a streamed body waits here already."""
        if self.transport is None or self.is_closing():
            return
        if self.reading_paused or self.parser.body_is_held_back():
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- dispatch

    def _change_state(self, event: ConnectionEvent) -> None:
        self.state = next_state(self.state, event)

    def is_closing(self) -> bool:
        """Return whether nothing more is written on this connection."""
        return self.state in ENDED_STATES

    def _dispatch_pending(self) -> None:
        """Dispatch the next request, or end the connection after an error, if none is in flight."""
        while self.state is _IDLE and not self.write_blocked and self.pending:
            request = self.in_flight = self.pending.popleft()
            self._change_state(ConnectionEvent.REQUEST_DISPATCHED)
            self._server.limits.idle.remove(self)
            self._server.dispatch(request)
        error = self.parser.error_status
        if self.state is _IDLE and not self.pending and error:
            self._write_response(error, [], b"", close=True)
        if self.parser.expects_continue and self.in_flight is None and not error:
            self._send_continue()
        if self.reading_paused and not self.pending and self.transport is not None:
            self.reading_paused = False
            self.update_reading()

    def _send_continue(self) -> None:
        """Ask for the body (RFC 9110, 10.1.1)."""
        self.parser.expects_continue = False
        if self.transport is not None and not self.is_closing():
            self.transport.write(CONTINUE)

    def _cancel_streamed_request(self) -> None:
        """Give up the request whose body never becomes complete: no response is owed for it."""
        request, self.parser.streamed_request = self.parser.streamed_request, None
        if request is None:
            return
        if request.streamed_body is not None:
            request.streamed_body.discard()
        if request is self.in_flight:
            self.in_flight = None
            self._change_state(ConnectionEvent.REQUEST_CANCELLED)
        elif request in self.pending:
            self.pending.remove(request)
        self._abandon(request)
        self.update_reading()

    def _abandon(self, request: ClientRequest | None) -> None:
        """Notify the handler that nobody waits any more for the response to a request."""
        if request is not None and not request.response_settled:
            request.response_settled = True
            self._server.handler.on_client_disconnected(request)

    # ---- responses

    def respond(self, request: ClientRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write a request's one response, unless none is owed any more."""
        if request.response_settled or request is not self.in_flight:
            return
        request.response_settled = True
        self.in_flight = None
        self._change_state(ConnectionEvent.RESPONSE_COMPLETE)
        # The rest of a streamed body is read and discarded.
        is_early = request is self.parser.streamed_request
        if is_early and request.streamed_body is not None:
            request.streamed_body.discard()
        rejected = 400 <= status < 500 and status != TOO_MANY_REQUESTS
        close = is_early or self._closes_after(request, rejected=rejected)
        self._write_response(status, headers, body, close=close, http10=request.http10)
        if is_early:
            self.parser.streamed_request = None
            self.update_reading()
        self._after_response()

    def start_response(
        self,
        request: ClientRequest,
        status: int,
        headers: Headers,
        length: int | None,
        source: ResponseSource,
    ) -> bool:
        """Write the head of a request's one response, whose body comes by :meth:`write_body`.

        ``length``: of the body, if it is known.  Returns False if no response is owed any more.
        """
        if request.response_settled or request is not self.in_flight:
            return False
        if self.transport is None or self.is_closing():
            return False
        request.response_settled = True
        request.response_streamed = True
        self._change_state(ConnectionEvent.RESPONSE_STARTED)
        framing = stream_framing(length, http10=request.http10)
        is_last = not framing or self._closes_after(request)
        self.response_stream = ResponseStream(self.transport, source, framing, is_last=is_last)
        head = encode_response_head(status, headers, framing, close=is_last, http10=request.http10)
        self.transport.write(head)
        return True

    def write_body(self, data: bytes) -> None:
        """Write a part of a streamed response."""
        if self.response_stream is not None:
            self.response_stream.write(data)

    def finish_response(self) -> None:
        """End a streamed response that is complete."""
        stream = self._forget_stream()
        if stream is None or self.is_closing():
            return
        stream.end()
        if stream.is_last and not self.pending:
            self._end_sending()
        self._after_response()

    def abort_response(self) -> None:
        """Break a streamed response off: the client sees that it is not whole.

        What was written still leaves, as a client that gets no head got no answer at all.  A reset,
        which may take it along, only tells where the end of the connection is the end of the body.
        """
        stream = self._forget_stream()
        if stream is not None and stream.is_framed and not self.pending:
            if not self.is_closing():
                self._end_sending()
            return
        reset_on_close(self._sock)
        self.abort()

    def _forget_stream(self) -> ResponseStream | None:
        stream, self.response_stream = self.response_stream, None
        self.in_flight = None
        self._change_state(ConnectionEvent.RESPONSE_COMPLETE)
        return stream

    def _closes_after(self, request: ClientRequest, *, rejected: bool = False) -> bool:
        """Return whether the connection ends with the response to this request."""
        if not request.keep_alive:
            return True
        if self.pending or self.parser.in_progress():
            return False  # the next request has come, or a part of it
        if rejected or self.over_limit:
            return True
        wants_to_close = self._server.closes_connections() or self._server.limits.is_nearly_full()
        return wants_to_close and not self.has_unread_bytes()

    def _write_response(
        self, status: int, headers: Headers, body: bytes, *, close: bool, http10: bool = False
    ) -> None:
        if self.transport is None or self.is_closing():
            return
        self.transport.write(encode_response(status, headers, body, close=close, http10=http10))
        if close:
            self._end_sending()

    def _after_response(self) -> None:
        """Go on with the next request, or become idle."""
        if self.is_closing():
            return
        if self.pending or self.parser.expects_continue:
            # Not from in here: a long pipeline would nest as deep.
            self._server.loop.call_soon(self._dispatch_pending)
        elif self.parser.error_status:
            self._dispatch_pending()
        elif not self.parser.in_progress():
            self._server.limits.idle.add(self)
            if self._server.is_handing_over():
                self._server.loop.call_soon(self._server.hand_over_if_idle, self)

    def _end_sending(self) -> None:
        """Write nothing more; what the client still sends is read and discarded for a while.

        Guards the last response: to close on bytes that were not read resets the connection, and
        the client loses what it has not read yet.  One that neither reads nor ends has a deadline,
        and is then cut off all the same.
        """
        self._change_state(ConnectionEvent.SENDING_ENDED)
        if self.pending:
            self._server.invariants.violated(
                Invariant.CLOSED_UNANSWERED, f"{len(self.pending)} pipelined requests"
            )
            self.pending.clear()
        limits = self._server.limits
        limits.idle.remove(self)
        limits.awaiting_client.remove(self)
        limits.awaiting_client.add(self)
        if self.transport is None:
            return
        if limits.is_nearly_full() and not self.has_unread_bytes():
            self.transport.close()  # its place is needed at once
        else:
            with suppress(OSError):  # the client has reset it: its end is read
                self.transport.write_eof()
            self.transport.resume_reading()

    # ---- deadlines and the end

    def is_idle(self) -> bool:
        """Return whether nothing is owed and nothing has begun on this connection."""
        return not self.has_requests() and not self.parser.in_progress()

    def has_requests(self) -> bool:
        """Return whether a request was received that has no response yet."""
        return self.in_flight is not None or bool(self.pending)

    def is_owed_nothing(self) -> bool:
        """Return whether no response is owed, also to a request that is not read yet."""
        return not (self.has_requests() or self.has_unsent_bytes() or self.has_unread_bytes())

    def has_unread_bytes(self) -> bool:
        """Return whether something has arrived that the loop has not read yet."""
        return has_unread_bytes(self._sock)

    def has_unsent_bytes(self) -> bool:
        """Return whether a part of a response has not been taken by the kernel yet."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def client_has_closed(self) -> bool:
        """Return whether the client has ended its side, also behind bytes that were not read."""
        closed = peer_has_closed(self._sock)
        return self.transport is None if closed is None else closed

    def _made_progress(self) -> bool:
        """Return whether the client has read, or sent enough, since the last check."""
        received = self.progress.take_received()
        if self.is_closing():
            return self.progress.may_linger(self.transport, received)
        if self.write_blocked:
            return self.progress.has_read(self.transport)
        if self.parser.phase is not RequestPhase.BODY:
            return False
        return self.parser.body_is_held_back() or received >= MIN_BODY_BYTES_PER_CHECK

    def on_deadline(self) -> None:
        """Give up on a client that did not do its part in time."""
        if self._made_progress():
            self._server.limits.awaiting_client.add(self)
        elif self.is_closing() or self.write_blocked:
            self.abort()
        elif self.parser.streamed_request is not None:
            self._cancel_streamed_request()
            self.parser.fail(408)
            self._dispatch_pending()
        elif self.has_requests():
            self.parser.fail(408)  # written behind the responses that are owed
        elif self.parser.in_progress():
            self.parser.fail(408)
            self._dispatch_pending()
        else:
            self.close()

    def close(self) -> None:
        """Close between requests; unread bytes are served first."""
        if self.is_closing():
            return
        if self.reading_paused or self.write_blocked or not self.has_unread_bytes():
            self._end_sending()

    def abort(self) -> None:
        """Close now, whatever is unread or unsent."""
        self._change_state(ConnectionEvent.CONNECTION_CLOSED)
        if self.transport is not None:
            self.transport.abort()
