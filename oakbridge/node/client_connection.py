"""A client's connection: requests are dispatched one at a time, and each gets exactly one response."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from typing import TYPE_CHECKING, Protocol, cast

from oakbridge.node.chunked_encoding import LAST_CHUNK, encode_chunk
from oakbridge.node.client_request import ClientRequest
from oakbridge.node.connection_state import ENDED_STATES, ConnectionEvent, ConnectionState, next_state
from oakbridge.node.read_deadlines import MIN_BODY_BYTES_PER_CHECK, ClientProgress
from oakbridge.node.request_parser import RequestParser, RequestPhase
from oakbridge.node.response_writer import (
    CHUNKED_HEADER,
    CONTINUE,
    content_length_header,
    encode_response,
    encode_response_head,
)
from oakbridge.node.socket_state import has_unread_bytes, peer_has_closed
from oakbridge.node.upstream import Headers

if TYPE_CHECKING:
    from oakbridge.node.http_server import HttpServer

PAUSE_READING_AT = 16  # requests that wait on one connection
MAX_PIPELINED = 64  # and those that are taken of what one read has brought
HAND_OVER_RETRY_S = (
    0.01  # a connection that is still being written to is looked at again before it is handed over
)
TOO_MANY_REQUESTS = 429


class ResponseSource(Protocol):
    """What a response is forwarded from while it is received: a server's connection."""

    def pause(self) -> None:
        """Send nothing more for now."""

    def resume(self) -> None:
        """Go on."""

    def cancel(self) -> None:
        """Give the rest up: the client is gone."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection.

    Its state says what is being done about responses, the parser's phase what is being received.  Beside both, reading
    or writing may be paused for back-pressure.  Wherever the client has to act next, a deadline runs
    (``limits.awaiting_client``), and so it does while the connection is idle (``limits.idle``).
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
        "response_chunked",
        "response_closes",
        "response_source",
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
        self.response_source: ResponseSource | None = None  # of the response that is streamed
        self.response_chunked = False  # how that is framed
        self.response_closes = False  # whether it is the last

    # ---- asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, unless it has been evicted already."""
        self.transport = cast(asyncio.Transport, transport)  # other loops have classes of their own
        if self.has_ended():
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Cancel what was in flight, and notify the handler if a response was owed."""
        self.transport = None
        self._change_state(ConnectionEvent.CONNECTION_CLOSED)
        self.pending.clear()
        request, self.in_flight = self.in_flight, None
        self.parser.release_body()
        self._cancel_streamed_request()
        source, self.response_source = self.response_source, None
        self._server.on_connection_lost(self)
        if source is not None:
            source.cancel()
        self._abandon(request)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - asyncio's signature
        """Return the one buffer of all connections: what was read is parsed before anything else is read."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse requests; what is malformed ends the connection once earlier requests are answered."""
        self.progress.bytes_received += nbytes
        if self.parser.error_status or self.has_ended():
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
        """Dispatch nothing more for a client that does not read its responses; it has a deadline to do so."""
        self.write_blocked = True
        self._server.limits.awaiting_client.add(self)
        if self.response_source is not None:
            self.response_source.pause()

    def resume_writing(self) -> None:
        """Go on: the client has read enough."""
        self.write_blocked = False
        self.progress.writing_resumed()
        if self.has_ended():
            return
        if not self.parser.in_progress():
            self._server.limits.awaiting_client.remove(self)
        if self.response_source is not None:
            self.response_source.resume()
        self._dispatch_pending()

    # ---- the parser's callbacks

    def now(self) -> int:
        """Return the time in microseconds."""
        return self._server.clock.now()

    def on_head(self) -> None:
        """Give the body a time of its own, and ask for it if the client waits for that."""
        if not self.write_blocked:  # a client that does not read keeps its deadline all the same
            self._server.limits.awaiting_client.remove(self)
        self.progress.body_started()
        if self.parser.expects_continue and self.in_flight is None and not self.pending:
            self._send_continue()

    def on_request(self, request: ClientRequest) -> None:
        """Queue a complete request."""
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
        if self.transport is None or self.has_ended():
            return
        if self.reading_paused or self.parser.body_is_held_back():
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- dispatch

    def _change_state(self, event: ConnectionEvent) -> None:
        self.state = next_state(self.state, event)

    def has_ended(self) -> bool:
        """Return whether nothing more is written on this connection."""
        return self.state in ENDED_STATES

    def _dispatch_pending(self) -> None:
        """Dispatch the next request, or end the connection after an error, if no request is in flight."""
        while self.state is ConnectionState.IDLE and not self.write_blocked and self.pending:
            request = self.in_flight = self.pending.popleft()
            self._change_state(ConnectionEvent.REQUEST_DISPATCHED)
            self._server.limits.idle.remove(self)
            self._server.dispatch(request)
        error = self.parser.error_status
        if self.state is ConnectionState.IDLE and not self.pending and error:
            self._write_response(error, [], b"", close=True)
        if self.parser.expects_continue and self.in_flight is None and not error:
            self._send_continue()
        if self.reading_paused and not self.pending and self.transport is not None:
            self.reading_paused = False
            self.update_reading()

    def _send_continue(self) -> None:
        """Ask for the body (RFC 9110, 10.1.1)."""
        self.parser.expects_continue = False
        if self.transport is not None and not self.has_ended():
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
        """Notify the handler that nobody waits for the response to a request any more, if one was owed."""
        if request is not None and not request.answered:
            request.answered = True
            self._server.handler.on_client_gone(request)

    # ---- responses

    def respond(self, request: ClientRequest, status: int, headers: Headers, body: bytes) -> None:
        """Write a request's one response, unless none is owed any more."""
        if request.answered or request is not self.in_flight:
            return
        request.answered = True
        self.in_flight = None
        self._change_state(ConnectionEvent.RESPONSE_COMPLETE)
        is_early = request is self.parser.streamed_request  # the rest of the body is read and discarded
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
        if request.answered or request is not self.in_flight or self.transport is None or self.has_ended():
            return False
        request.answered = True
        request.response_streamed = True
        self._change_state(ConnectionEvent.RESPONSE_STARTED)
        self.response_source = source
        self.response_chunked = length is None and not request.http10
        ends_with_connection = length is None and request.http10
        self.response_closes = self._closes_after(request) or ends_with_connection
        framing = CHUNKED_HEADER if self.response_chunked else b""
        if length is not None:
            framing = content_length_header(length)
        head = encode_response_head(
            status, headers, framing, close=self.response_closes, http10=request.http10
        )
        self.transport.write(head)
        return True

    def write_body(self, data: bytes) -> None:
        """Write a part of a streamed response."""
        if self.transport is not None and data:
            self.transport.write(encode_chunk(data) if self.response_chunked else data)

    def end_response(self) -> None:
        """End a streamed response that is complete."""
        self._forget_streamed_response()
        if self.transport is None or self.has_ended():
            return
        if self.response_chunked:
            self.transport.write(LAST_CHUNK)
        if self.response_closes and not self.pending:
            self._end_sending()
        self._after_response()

    def abort_response(self) -> None:
        """Break a streamed response off: the client sees that it is incomplete as the connection breaks."""
        self._forget_streamed_response()
        self.abort()

    def _forget_streamed_response(self) -> None:
        self.response_source = None
        self.in_flight = None
        self._change_state(ConnectionEvent.RESPONSE_COMPLETE)

    def _closes_after(self, request: ClientRequest, *, rejected: bool = False) -> bool:
        """Return whether the connection ends with the response to this request."""
        if self.pending and request.keep_alive:
            return False
        return (
            rejected
            or self.over_limit
            or not request.keep_alive
            or self._server.closes_connections()
            or self._server.limits.is_nearly_full()
        )

    def _write_response(
        self, status: int, headers: Headers, body: bytes, *, close: bool, http10: bool = False
    ) -> None:
        if self.transport is None or self.has_ended():
            return
        self.transport.write(encode_response(status, headers, body, close=close, http10=http10))
        if close:
            self._end_sending()

    def _after_response(self) -> None:
        """Go on with the next request, or become idle."""
        if self.has_ended():
            return
        if self.pending or self.parser.expects_continue:
            # Not from in here: a long pipeline would nest as deep.
            self._server.loop.call_soon(self._dispatch_pending)
        elif self.parser.error_status:
            self._dispatch_pending()
        elif not self.parser.in_progress():
            self._server.limits.idle.add(self)
            if self._server.is_handing_over():
                self._server.loop.call_soon(self.hand_over)

    def _end_sending(self) -> None:
        """Write nothing more; what the client still sends is read and discarded for a while.

        Guards the last response: to close on bytes that were not read resets the connection, and the client loses what
        it has not read yet.  One that neither reads nor ends has a deadline, and is then cut off all the same.
        """
        self._change_state(ConnectionEvent.SENDING_ENDED)
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
            self.transport.write_eof()
            self.transport.resume_reading()

    # ---- hand-over, deadlines and the end

    def hand_over(self) -> None:
        """Hand this connection over to the process that takes over, if it is idle and all that was written is out.

        What the client has sent meanwhile is unread, and goes along.
        """
        transport = self.transport
        if not self._server.is_handing_over() or transport is None or self.has_ended() or not self.is_idle():
            return
        if transport.get_write_buffer_size():
            self._server.loop.call_later(HAND_OVER_RETRY_S, self.hand_over)
            return
        transport.pause_reading()
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        if self._server.hand_over_connection(descriptor):
            self.abort()  # this process's own descriptor: the connection goes on
        else:
            os.close(descriptor)
            transport.resume_reading()

    def is_idle(self) -> bool:
        """Return whether nothing is owed and nothing has begun on this connection."""
        return not self.has_requests() and not self.parser.in_progress()

    def has_requests(self) -> bool:
        """Return whether a request was received that has no response yet."""
        return self.in_flight is not None or bool(self.pending)

    def has_unread_bytes(self) -> bool:
        """Return whether something has arrived that the loop has not read yet."""
        return has_unread_bytes(self._sock)

    def client_has_closed(self) -> bool:
        """Return whether the client has ended its side, also behind bytes that were not read."""
        closed = peer_has_closed(self._sock)
        return self.transport is None if closed is None else closed

    def _made_progress(self) -> bool:
        """Return whether the client has done its part since the last check: has read, or sent enough."""
        received = self.progress.take_received()
        if self.has_ended():
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
        elif self.has_ended() or self.write_blocked:
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
        """Close between requests, unless bytes have arrived that are not read yet: they are served first."""
        if self.has_ended():
            return
        if self.reading_paused or self.write_blocked or not self.has_unread_bytes():
            self._end_sending()

    def abort(self) -> None:
        """Close now, whatever is unread or unsent."""
        self._change_state(ConnectionEvent.CONNECTION_CLOSED)
        if self.transport is not None:
            self.transport.abort()
