"""A client's connection: at most one request is in flight, and each gets exactly one response."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING, cast

from oakbridge.node.client_request import ClientRequest
from oakbridge.node.clock import Timer
from oakbridge.node.connection_state import (
    CLOSING_STATES,
    ConnectionEvent,
    ConnectionState,
    next_state,
)
from oakbridge.node.http_framing import Headers
from oakbridge.node.incomplete_requests import IncompleteRequest
from oakbridge.node.invariants import Invariant
from oakbridge.node.memory_account import CONNECTION_BYTES, SMALL_READ_BYTES, MemoryShare
from oakbridge.node.read_deadlines import MIN_BODY_BYTES_PER_CHECK, ClientProgress
from oakbridge.node.read_delay import ReadDelay
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
    peer_has_closed,
    reset_on_close,
    unread_bytes,
)

if TYPE_CHECKING:
    from oakbridge.node.http_server import HttpServer

PAUSE_READING_AT = 16  # pending requests of one connection at which reading pauses
# Limit on the pipelined requests of one connection: those pending, as one read may bring more than
# PAUSE_READING_AT, and those that wait unread in a pause.  A connection that exceeds it gets 503.
MAX_PIPELINED = 64
# Interval of checks in a pause.  The end of the client's stream arrives behind what is unread, and a
# client that has closed must not have requests sent for over 0.1 s.
PAUSE_CHECK_INTERVAL_US = 30_000
TOO_MANY_REQUESTS = 429
# Unsent bytes of a streamed response at which reading from its server pauses.
WRITE_BUFFER_BYTES = 64 * 1024


_IDLE = ConnectionState.IDLE  # used for each request: the lookup of an Enum's member is slow


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection.

    ``state`` is the state of its responses, and the parser's phase that of receiving requests.
    Independently of both, back-pressure may pause reading or writing.  While the client has to act
    next, the connection has a deadline in ``limits.awaiting_client``; while it is idle, it has one
    in ``limits.idle``.
    """

    __slots__ = (
        "_memory",
        "_pause_timer",
        "_server",
        "_sock",
        "in_flight",
        "over_limit",
        "parser",
        "pending",
        "progress",
        "read_delay",
        "reading_paused",
        "response_stream",
        "state",
        "transport",
        "write_blocked",
    )

    def __init__(self, server: HttpServer, sock: socket.socket, *, over_limit: bool) -> None:
        """``over_limit``: the connection exceeds the limit, and its requests are rejected."""
        self._server = server
        self._sock = sock
        self.over_limit = over_limit
        self.transport: asyncio.Transport | None = None
        self.state = ConnectionState.IDLE
        self._memory = MemoryShare(server.memory)
        self._memory.set(CONNECTION_BYTES)
        self.parser = RequestParser(self, server.memory)
        self.progress = ClientProgress()
        self.read_delay = ReadDelay(server.clock, sock)
        self.in_flight: ClientRequest | None = None
        self.pending: deque[ClientRequest] = deque()  # received, not dispatched yet
        self.reading_paused = False  # PAUSE_READING_AT requests are pending
        self._pause_timer: Timer | None = None  # for the next check in a pause
        self.write_blocked = False  # the write buffer is full, as the client does not read
        self.response_stream: ResponseStream | None = None  # the response being streamed

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; abort it if the connection has been evicted already."""
        self.transport = cast(asyncio.Transport, transport)  # event loops have different classes
        if self.is_closing():
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Cancel the requests in flight, and notify the handler if a response was due."""
        self.transport = None
        self._change_state(ConnectionEvent.CONNECTION_CLOSED)
        self._clear_pending()
        request, self.in_flight = self.in_flight, None
        self._cancel_streamed_request()
        self.parser.release()
        self._memory.set(0)
        stream, self.response_stream = self.response_stream, None
        self._server.on_connection_lost(self)
        if stream is not None:
            stream.source.cancel()
        self._abandon(request)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - asyncio's signature
        """Return the buffer that all connections share; it is parsed before the next read."""
        return self._server.read_buffer[: self._max_read_bytes()]

    def _max_read_bytes(self) -> int:
        """Return how many bytes one read takes at most."""
        server = self._server
        return SMALL_READ_BYTES if server.memory.is_short() else len(server.read_buffer)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes.

        A malformed request closes the connection, after the responses to earlier requests.
        """
        progress = self.progress
        progress.bytes_received += nbytes
        progress.last_read_at = self._server.clock.now()
        if not self.parser.in_progress():
            progress.request_began_at = progress.last_read_at
        if not self.pending:
            progress.burst_started(nbytes, self.parser.completed_count)
        self.read_delay.on_read(filled_buffer=nbytes >= self._max_read_bytes())
        if self.parser.error_status or self.is_closing():
            return  # discarded: see _close_write_side
        limits = self._server.limits
        if not self.parser.request_bytes and not self.write_blocked:
            # A request begins; its timeout does not depend on when the client connected.
            limits.awaiting_client.remove(self)
        if self.parser.feed(self._server.read_buffer[:nbytes]) and not self.write_blocked:
            limits.awaiting_client.remove(self)
        if self.parser.error_status:
            self._cancel_streamed_request()
        elif self.parser.in_progress():
            limits.idle.remove(self)
            limits.awaiting_client.add(self)
        self.read_delay.on_progress(self.parser.missing_body_bytes())
        self._dispatch_pending()
        pause_at = self._server.memory.scaled(PAUSE_READING_AT)
        if len(self.pending) >= pause_at and not self.reading_paused:
            self.reading_paused = True
            self.update_reading()
            self._check_pause()
        if not (self.read_delay.is_behind() or self.parser.in_progress()):
            self.read_delay.reset()
        self.update_memory()

    def pause_writing(self) -> None:
        """Dispatch no request until the client reads; start a deadline for that."""
        self.write_blocked = True
        self._server.limits.awaiting_client.add(self)
        if self.response_stream is not None:
            self.response_stream.source.pause()

    def resume_writing(self) -> None:
        """Resume dispatching and streaming, as the client has read enough."""
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

    def on_head(self) -> None:
        """Stop the timeout of the head, as the body has its own; send 100 Continue if expected."""
        if not self.write_blocked:  # a client that does not read keeps its deadline
            self._server.limits.awaiting_client.remove(self)
        self.progress.body_started()
        if self.parser.expects_continue and self.in_flight is None and not self.pending:
            self._send_continue()

    def on_request(self, request: ClientRequest) -> None:
        """Queue a complete request, unless an earlier one was announced as the last.

        A request after ``Connection: close`` is ignored (RFC 9112, 9.6).
        """
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

    def on_body_received(self, request: ClientRequest) -> None:
        """Report that the streamed body of a request is complete, if it has been dispatched."""
        if request is self.in_flight:
            self._server.handler.on_body_received(request)

    def update_reading(self) -> None:
        """Pause reading if too many requests, or too much of a streamed body, are pending."""
        if self.transport is None or self.is_closing():
            return
        if self.reading_paused or self.parser.body_is_held_back():
            self.transport.pause_reading()
            self.read_delay.on_paused()
        elif not self.transport.is_reading():
            self.transport.resume_reading()
            self.read_delay.on_resumed()

    def update_memory(self) -> None:
        """State the memory that this connection, its requests and its unsent responses hold."""
        held = 0
        if self.transport is not None:
            held = CONNECTION_BYTES + self.parser.held_bytes()
            held += self.transport.get_write_buffer_size()
        if self.in_flight is not None:
            held += self.in_flight.memory_bytes
        for request in self.pending:
            held += request.memory_bytes
        if held != self._memory.held_bytes:
            self._memory.set(held)

    def _check_pause(self) -> None:
        """In a pause, stop to receive requests if too many of them wait unread.

        What follows is read and discarded, so that the end of the client's stream is seen.
        """
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        if not self.reading_paused or self.transport is None or self.is_closing():
            return
        mean_bytes = self.progress.mean_request_bytes(self.parser.completed_count)
        if unread_bytes(self._sock) > MAX_PIPELINED * mean_bytes:
            self.reading_paused = False
            self.parser.fail(503)
            self.update_reading()
            return
        clock = self._server.clock
        self._pause_timer = clock.call_at(clock.now() + PAUSE_CHECK_INTERVAL_US, self._check_pause)

    def incomplete_request(self, now: int) -> IncompleteRequest | None:
        """Return the request that is being received; None if there is none to be rejected.

        One that a server gets already, or that the node itself does not read, is left alone.
        """
        parser, progress = self.parser, self.progress
        if self.is_closing() or parser.error_status or not parser.in_progress():
            return None
        if parser.streamed_request is not None or self.read_delay.is_behind():
            return None
        return IncompleteRequest(
            parser.held_bytes(),
            parser.request_bytes,
            now - progress.request_began_at,
            now - progress.last_read_at,
            parser.phase is not RequestPhase.BODY,
        )

    def reject_incomplete_request(self) -> None:
        """Reject the request that is being received, after the responses that are due."""
        self.parser.reject_incomplete()
        self._dispatch_pending()
        self.update_memory()

    # ---- dispatch

    def _change_state(self, event: ConnectionEvent) -> None:
        self.state = next_state(self.state, event)

    def is_closing(self) -> bool:
        """Return whether the node writes nothing more on this connection."""
        return self.state in CLOSING_STATES

    def _dispatch_pending(self) -> None:
        """If no request is in flight, dispatch the next one, or respond to a parser error."""
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
            self._restart_deadline()
            self.update_reading()

    def _restart_deadline(self) -> None:
        """Give the client its whole time for the rest of a request, as reading was paused."""
        if self.parser.in_progress() and not self.write_blocked and not self.is_closing():
            self.progress.body_started()
            self._server.limits.awaiting_client.remove(self)
            self._server.limits.awaiting_client.add(self)

    def _send_continue(self) -> None:
        """Send 100 Continue (RFC 9110, 10.1.1)."""
        self.parser.expects_continue = False
        if self.transport is not None and not self.is_closing():
            self.transport.write(CONTINUE)

    def _cancel_streamed_request(self) -> None:
        """Cancel the request whose streamed body will not be complete; it gets no response."""
        request, self.parser.streamed_request = self.parser.streamed_request, None
        if request is None:
            return
        request.release_body()
        if request is self.in_flight:
            self.in_flight = None
            self._change_state(ConnectionEvent.REQUEST_CANCELLED)
        elif request in self.pending:
            self.pending.remove(request)
        self._abandon(request)
        self.update_reading()

    def _clear_pending(self) -> None:
        for request in self.pending:
            request.release_body()
        self.pending.clear()

    def _abandon(self, request: ClientRequest | None) -> None:
        """Notify the handler that the client no longer waits for the response to a request."""
        if request is None:
            return
        request.release_body()
        if not request.response_settled:
            request.response_settled = True
            self._server.handler.on_client_disconnected(request)

    # ---- responses

    def respond(self, request: ClientRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write the response to a request, unless its response is settled."""
        if request.response_settled or request is not self.in_flight:
            return
        request.response_settled = True
        self.in_flight = None
        self._change_state(ConnectionEvent.RESPONSE_COMPLETE)
        # A response before the end of the body: the rest of the body is read and discarded.
        is_early = request is self.parser.streamed_request
        request.release_body()
        rejected = 400 <= status < 500 and status != TOO_MANY_REQUESTS
        close = is_early or self._closes_after(request, rejected=rejected)
        self._write_response(status, headers, body, close=close, http10=request.http10)
        if is_early:
            self.parser.streamed_request = None
            self.update_reading()
        self._after_response()
        self.update_memory()

    def start_response(
        self,
        request: ClientRequest,
        status: int,
        headers: Headers,
        length: int | None,
        source: ResponseSource,
    ) -> bool:
        """Write the head of a response; :meth:`write_body` and :meth:`finish_response` follow.

        ``length``: bytes of the body; None if it is not known.  Returns False if the response is
        settled already, or the connection is closing.
        """
        if request.response_settled or request is not self.in_flight:
            return False
        if self.transport is None or self.is_closing():
            return False
        request.response_settled = True
        request.response_streamed = True
        request.release_body()
        self._change_state(ConnectionEvent.RESPONSE_STARTED)
        framing = stream_framing(length, http10=request.http10)
        is_last = not framing or self._closes_after(request)
        self.response_stream = ResponseStream(self.transport, source, framing, is_last=is_last)
        head = encode_response_head(status, headers, framing, close=is_last, http10=request.http10)
        self._limit_write_buffer()
        self.transport.write(head)
        self.update_memory()
        return True

    def write_body(self, data: bytes) -> None:
        """Write a part of the body of a streamed response."""
        if self.response_stream is not None:
            self.response_stream.write(data)
            if self._server.memory.is_short():
                self._limit_write_buffer()
            self.update_memory()

    def _limit_write_buffer(self) -> None:
        """Limit the unsent bytes of a streamed response at which reading from its server pauses."""
        if self.transport is not None:
            high_water = self._server.memory.scaled(WRITE_BUFFER_BYTES)
            self.transport.set_write_buffer_limits(high=high_water)

    def finish_response(self) -> None:
        """Finish a streamed response whose body is complete."""
        stream = self._detach_response_stream()
        if stream is None or self.is_closing():
            return
        stream.finish()
        if stream.is_last and not self.pending:
            self._close_write_side()
        self._after_response()
        self.update_memory()

    def abort_response(self) -> None:
        """Abort a streamed response so that the client can detect that it is incomplete.

        The bytes written so far are still sent: a client that gets no head would see no response at
        all.  A reset may discard them; it is used only if closing the connection ends the body, or
        if requests are pending.
        """
        stream = self._detach_response_stream()
        if stream is not None and stream.is_framed and not self.pending:
            if not self.is_closing():
                self._close_write_side()
            return
        reset_on_close(self._sock)
        self.abort()

    def _detach_response_stream(self) -> ResponseStream | None:
        stream, self.response_stream = self.response_stream, None
        self.in_flight = None
        self._change_state(ConnectionEvent.RESPONSE_COMPLETE)
        return stream

    def _closes_after(self, request: ClientRequest, *, rejected: bool = False) -> bool:
        """Return whether the connection closes after the response to this request."""
        if not request.keep_alive:
            return True
        if self.pending or self.parser.in_progress():
            return False  # the next request was received, completely or in part
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
            self._close_write_side()

    def _after_response(self) -> None:
        """Dispatch the next request, or become idle."""
        if self.is_closing():
            return
        if self.pending or self.parser.expects_continue:
            # Not called directly: each pipelined request would deepen the call stack.
            self._server.loop.call_soon(self._dispatch_pending)
        elif self.parser.error_status:
            self._dispatch_pending()
        elif not self.parser.in_progress():
            self._server.limits.idle.add(self)
            if self._server.is_handing_over():
                self._server.loop.call_soon(self._server.hand_over_if_idle, self)

    def _close_write_side(self) -> None:
        """Close the write side; bytes that the client still sends are read and discarded.

        This protects the last response: closing a socket with unread bytes resets the connection,
        and the client loses what it has not read yet.  A client that neither reads nor closes is
        aborted at a deadline.
        """
        self._change_state(ConnectionEvent.WRITE_SIDE_CLOSED)
        if self.pending:
            self._server.invariants.violated(
                Invariant.CLOSED_UNANSWERED, f"{len(self.pending)} pipelined requests"
            )
            self._clear_pending()
        limits = self._server.limits
        limits.idle.remove(self)
        limits.awaiting_client.remove(self)
        limits.awaiting_client.add(self)
        if self.transport is None:
            return
        if limits.is_nearly_full() and not self.has_unread_bytes():
            self.transport.close()  # frees the descriptor at once
        else:
            with suppress(OSError):  # the client has reset the connection; the next read reports it
                self.transport.write_eof()
            self.transport.resume_reading()

    # ---- deadlines and closing

    def is_idle(self) -> bool:
        """Return whether the connection has no request, neither complete nor begun."""
        return not self.has_requests() and not self.parser.in_progress()

    def has_requests(self) -> bool:
        """Return whether a complete request has no response yet."""
        return self.in_flight is not None or bool(self.pending)

    def needs_no_response(self) -> bool:
        """Return whether no response is due or unsent, and no bytes are unread."""
        return not (self.has_requests() or self.has_unsent_bytes() or self.has_unread_bytes())

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that the event loop has not read yet."""
        return has_unread_bytes(self._sock)

    def has_unsent_bytes(self) -> bool:
        """Return whether the kernel has not accepted all bytes of the responses yet."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def client_has_closed(self) -> bool:
        """Return whether the client has closed its side, even if unread bytes precede that."""
        closed = peer_has_closed(self._sock)
        return self.transport is None if closed is None else closed

    def _made_progress(self) -> bool:
        """Return whether the client has read or sent enough since the last check."""
        received = self.progress.take_received()
        if self.is_closing():
            return self.progress.may_linger(self.transport, received)
        if self.write_blocked:
            return self.progress.has_read(self.transport)
        if self.reading_paused:
            return True  # what the client has sent meanwhile is not read
        if self.parser.phase is not RequestPhase.BODY:
            return False
        return self.parser.body_is_held_back() or received >= MIN_BODY_BYTES_PER_CHECK

    def on_deadline(self) -> None:
        """Respond 408 or close, unless the client has made progress since the last check."""
        if self._made_progress():
            self._server.limits.awaiting_client.add(self)
        elif self.is_closing() or self.write_blocked:
            self.abort()
        elif self.parser.streamed_request is not None:
            self._cancel_streamed_request()
            self.parser.fail(408)
            self._dispatch_pending()
        elif self.has_requests():
            self.parser.fail(408)  # written after the responses that are due
        elif self.parser.in_progress():
            self.parser.fail(408)
            self._dispatch_pending()
        else:
            self.close()

    def close(self) -> None:
        """Close the connection, unless unread bytes have arrived; those are served first."""
        if self.is_closing():
            return
        if self.reading_paused or self.write_blocked or not self.has_unread_bytes():
            self._close_write_side()

    def abort(self) -> None:
        """Close now, discarding unread and unsent bytes."""
        self._change_state(ConnectionEvent.CONNECTION_CLOSED)
        if self.transport is not None:
            self.transport.abort()
