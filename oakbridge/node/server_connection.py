"""A connection to a server: carries one attempt at a time, and reports its end.

This uses the socket directly, not an asyncio stream or transport, whose buffers hide two things
that the retry rules depend on: whether the last byte of a request was *written to the socket*, and
that a connection is closed before anything else happens.
"""

from __future__ import annotations

import errno
import logging
import os
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from oakbridge.node.attempt import Attempt, AttemptEnd, ResponseSink
from oakbridge.node.clock import Timer
from oakbridge.node.memory_account import CONNECTION_BYTES, MemoryShare
from oakbridge.node.response_parser import ResponseError, ResponseParser
from oakbridge.node.response_timers import MIN_TIME_FOR_RETRY_US, ResponseTimers
from oakbridge.node.socket_state import (
    reset_on_close,
    unacknowledged_kernel_bytes,
    unsent_kernel_bytes,
)
from oakbridge.node.system_errors import is_local_connect_error, is_resource_error
from oakbridge.node.unsent_request import UnsentRequest
from oakbridge.policy.events import AttemptResult

if TYPE_CHECKING:
    from oakbridge.node.connection_pool import ConnectionPool, PooledServer

log = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
ACKNOWLEDGEMENT_DELAY_US = 50_000  # Linux delays one by 40 ms
# The kernel goes on connecting, also after a connect() that a signal interrupted.
_CONNECTING = (errno.EINPROGRESS, errno.EINTR)


class ServerConnection:
    """One connection to a server, from its dial to its close.

    The pool owns the connection, which returns itself to the pool when it is idle, and removes
    itself when it is closed.
    """

    __slots__ = (
        "_awaits_writable",
        "_has_served",
        "_memory",
        "_pool",
        "_request_timer",
        "_response",
        "_response_timers",
        "_sock",
        "_unsent",
        "attempt",
        "closed",
        "connected",
        "idle_since",
        "may_be_reused",
        "paused",
        "server",
    )

    def __init__(self, pool: ConnectionPool, server: PooledServer) -> None:
        """Create the socket; raise OSError if no descriptor is left."""
        self._pool = pool
        self.server = server
        self.attempt: Attempt | None = None
        self.may_be_reused = True
        # Guards against a connection that a server accepted above its limit, and on which it
        # rejects every request.  If it were kept, it would be the most recently used one, would
        # be reused first, and would never serve.
        self._has_served = False
        self.connected = False
        self.closed = False
        self.idle_since = 0
        self._awaits_writable = False
        self._unsent = UnsentRequest()
        self.paused = False  # the buffers towards the client are full
        self._request_timer: Timer | None = None  # of the dial, then of the request's delivery
        self._response_timers = ResponseTimers(pool.clock, self)
        self._response = ResponseParser(self._open_sink, pool.memory)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._memory = MemoryShare(pool.memory)
        self._memory.set(CONNECTION_BYTES)

    # ---- dialling

    def connect(self, attempt: Attempt, timeout_us: int) -> None:
        """Connect, then write the attempt; ``timeout_us``: for the dial, 0 for none.

        Raises OSError if the dial failed on this machine, before the server saw anything.
        """
        self.attempt = attempt
        attempt.connection = self
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        error_number = self._sock.connect_ex(self.server.address)
        if error_number == 0:
            self._on_established()
        elif error_number in _CONNECTING:
            if timeout_us:
                due = self._pool.clock.now() + timeout_us
                self._request_timer = self._pool.clock.call_at(due, self._fail)
            self._await_writable(self._on_connect_done)
        elif is_local_connect_error(error_number):
            raise OSError(error_number, os.strerror(error_number))
        else:
            # In the loop's next iteration: the forwarder has not finished starting the attempt.
            self._pool.loop.call_soon(self._fail)

    def _on_connect_done(self) -> None:
        self._stop_awaiting_writable()
        self._stop_request_timer()
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail()
            if self._pool.observer is not None:
                self._pool.observer.on_connection_refused()
        else:
            self._on_established()

    def _on_established(self) -> None:
        self.connected = True
        self._start_reading()
        attempt = self.attempt
        if attempt is None:
            return
        if attempt.is_wanted():
            self._start_request(attempt)
        else:
            # The client has disconnected while the connection was being established.
            self._pool.loop.call_soon(self._pool.withdraw, attempt)

    # ---- writing the request

    def send(self, attempt: Attempt) -> None:
        """Write an attempt to this idle connection."""
        self.attempt = attempt
        attempt.connection = self
        self._start_request(attempt)

    def _start_request(self, attempt: Attempt) -> None:
        now = self._pool.clock.now()
        if attempt.start_by is not None and now > attempt.start_by:
            # Guards against a retry that runs twice: after such a long dial, servers may have
            # forgotten the first attempt.
            self._pool.loop.call_soon(self._pool.fail_unsent, attempt)
            return
        request = attempt.render(max(1, attempt.deadline - now))
        self._unsent.start(request, attempt.streamed_body)
        if attempt.streamed_body is not None:
            attempt.streamed_body.attach(self._on_body_available)
        if attempt.deliver_by is not None:
            self._request_timer = self._pool.clock.call_at(
                attempt.deliver_by, self._on_delivery_due
            )
        self._write()

    def _on_body_available(self) -> None:
        """Write more of the body, or its end."""
        if self.connected and not self.closed and not self._awaits_writable:
            self._run_guarded(self._write)

    def _on_delivery_due(self) -> None:
        """Break the request off if its last byte has not left this machine."""
        if self.attempt is None:
            return
        if not self.may_have_run():
            self._fail()
            return
        due = self._pool.clock.now() + ACKNOWLEDGEMENT_DELAY_US
        self._request_timer = self._pool.clock.call_at(due, self._on_acknowledgement_due)

    def _on_acknowledgement_due(self) -> None:
        """Break the request off if its last byte has not arrived: it may be sent again later."""
        if self.attempt is not None and not self.request_delivered():
            self._fail()

    def request_written(self) -> bool:
        """Return whether the socket took the request's last byte."""
        return self._unsent.is_written()

    def may_have_run(self) -> bool:
        """Return whether the request's last byte has left this machine.

        What the socket took and has not sent is discarded when the connection is closed.
        """
        return self._unsent.is_written() and not unsent_kernel_bytes(self._sock)

    def request_delivered(self) -> bool:
        """Return whether the server's machine has acknowledged the request's last byte."""
        return self._unsent.is_written() and not unacknowledged_kernel_bytes(self._sock)

    def _write(self) -> None:
        """Write as much of the request as there is and as the socket takes."""
        unsent = self._unsent
        was_streaming = unsent.is_streaming()
        try:
            while part := unsent.next_part():
                unsent.advance(self._sock.send(part))
        except BlockingIOError:
            self._await_writable(self._write)
            self._update_memory()
            return
        except OSError as error:
            if is_resource_error(error):
                self._await_writable(self._write)
                return
            # In the loop's next iteration, as in connect().  Bytes that arrived before are not the
            # response to an incomplete request.
            self._pool.loop.call_soon(self._fail)
            return
        self._stop_awaiting_writable()
        self._update_memory()
        body_sent = was_streaming and not unsent.is_streaming()
        if body_sent and self.attempt is not None and self.attempt.on_request_sent is not None:
            self.attempt.on_request_sent()

    def _await_writable(self, callback: Callable[[], None]) -> None:
        self._awaits_writable = True
        self._pool.loop.add_writer(self._sock, self._run_guarded, callback)

    def _stop_awaiting_writable(self) -> None:
        """Remove the writer from the loop if there is one: most requests are sent in one write."""
        if self._awaits_writable:
            self._awaits_writable = False
            self._pool.loop.remove_writer(self._sock)

    # ---- reading the response

    def _start_reading(self) -> None:
        self.paused = False
        self._pool.loop.add_reader(self._sock, self._run_guarded, self._on_readable)

    def _on_readable(self) -> None:
        try:
            data = self._sock.recv(self._pool.memory.scaled(READ_BYTES))
        except BlockingIOError:
            return
        except OSError as error:
            # After a transient error the loop reports the socket as readable again.
            if not is_resource_error(error):
                self._fail()
            return
        self._on_received(data)

    def _on_received(self, data: bytes) -> None:
        """Pass received bytes to the parser; b"" is the end of the connection."""
        if not data and self.attempt is not None and self._response.finish_at_close():
            self._on_response_complete()
            return
        if not data or self.attempt is None:
            self._fail()
            return
        try:
            self._response.feed(data)
        except ResponseError:
            self._fail()
            return
        if self.closed:
            return
        if self._response.complete:
            self._on_response_complete()
        else:
            self._update_memory()
            self._restart_response_timers()

    def _restart_response_timers(self) -> None:
        """Limit the pause until more of the response is received.

        There is no such limit before the response starts, or after an interim response (1xx).
        """
        attempt, response, timers = self.attempt, self._response, self._response_timers
        if attempt is None or self.paused or not response.started:
            timers.stop_pause()
        elif response.sink is not None:
            timers.on_streamed(attempt)
        else:
            timers.on_buffered(attempt, may_be_long=response.may_be_long())

    def response_may_be_long(self) -> bool:
        """Return whether a response has begun that may be longer than would be buffered."""
        return self._response.may_be_long()

    def on_deadline_changed(self) -> None:
        """Handle that the attempt's deadline has changed."""
        if self.attempt is not None and self._response.sink is None:
            self._response_timers.on_deadline_changed(self.attempt)

    def on_response_stalled(self) -> None:
        """Have the request retried elsewhere, if it may be.

        A response that can't be retried, or whose head announces that it may be long, is waited for:
        it would be lost if the server goes on.
        """
        attempt, response = self.attempt, self._response
        if attempt is None or (response.may_be_long() and not response.ends_at_close()):
            return
        time_left = attempt.deadline - self._pool.clock.now()
        if time_left >= MIN_TIME_FOR_RETRY_US and attempt.can_retry():
            self._fail()

    def on_stream_stalled(self) -> None:
        """Give up a streamed response whose server is silent."""
        self._fail()

    def on_stream_due(self) -> None:
        """Stream a response that may be long; if nobody wants it, the attempt's deadline ends it."""
        if self.attempt is None or not self._response.may_be_long():
            return
        self._response.start_streaming()
        if self._response.sink is not None:
            self._restart_response_timers()

    def on_short_response_due(self) -> None:
        """Abort a streamed response that is too late, unless it is long or its client is slow."""
        if not (self._response.is_long() or self.paused):
            self._fail()

    def pause(self) -> None:
        """Stop reading, as the buffers towards the client are full."""
        if not self.paused and not self.closed:
            self.paused = True
            self._response_timers.stop_pause()
            self._pool.loop.remove_reader(self._sock)

    def resume(self) -> None:
        """Continue to read."""
        if self.paused and not self.closed:
            self._start_reading()
            self._restart_response_timers()

    def _update_memory(self) -> None:
        """State the memory that this connection holds; a buffered body is held by its client."""
        held = CONNECTION_BYTES + self._response.held_bytes() + self._unsent.held_bytes()
        if held != self._memory.held_bytes:
            self._memory.set(held)

    def _open_sink(self) -> ResponseSink | None:
        """Start to stream a long response; its request can't be retried from here on."""
        attempt, response = self.attempt, self._response
        if attempt is None or attempt.on_response_start is None:
            return None
        result = response.result()
        if result != AttemptResult.OK or not self.request_written():
            return None
        end = AttemptEnd(result, response.headers, status=response.status)
        sink = attempt.on_response_start(end, response.content_length, self)
        if sink is None:
            return None
        if attempt.timer is not None:
            attempt.timer.cancel()  # the deadline does not apply once the response has started
        self._response_timers.on_stream_started(attempt, is_long=response.is_long())
        return sink

    def _on_response_complete(self) -> None:
        response = self._response
        result = response.result()
        if not self.request_written() and result != AttemptResult.REJECTED:
            self._fail()  # the request is incomplete, so this is not its response
            return
        self._response_timers.stop()
        self._stop_request_timer()
        attempt, self.attempt = self.attempt, None
        sink = response.detach_sink()
        if sink is not None:
            sink.finish_response()
        end = response.take(result)
        self._has_served = self._has_served or result != AttemptResult.REJECTED
        if self._can_be_kept():
            self._become_idle()
        else:
            self.close()
        if attempt is not None:
            attempt.finish(end)

    def _can_be_kept(self) -> bool:
        return (
            self._response.reusable
            and self.may_be_reused
            and self.request_delivered()
            and self._has_served
            and not self.closed
        )

    def _become_idle(self) -> None:
        """Return to the pool in the state of a connection that was just established.

        It reads, so that a close by the server is noticed, and no timer of its response runs.
        """
        self._response.reset()
        self._unsent.clear()
        self._update_memory()
        if self.paused:  # the end of the response filled the buffers towards the client
            self._start_reading()
        self._pool.put_idle(self)

    # ---- close

    def is_stale(self) -> bool:
        """Return whether the server has closed this idle connection, before the loop reports it.

        A request on such a connection would end as a reset, after which a request that must not run
        twice can't be retried.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True  # end of file, or bytes that belong to no request

    def _stop_request_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _run_guarded(self, callback: Callable[[], None]) -> None:
        """Run a callback of the loop; an exception closes only this connection."""
        try:
            callback()
        except Exception:
            log.exception("server connection failed: address=%s:%d", *self.server.address)
            self._fail()

    def _fail(self) -> None:
        """Close a broken connection; its request may have run if the last byte was sent."""
        if self.closed:
            return
        attempt, self.attempt = self.attempt, None
        may_have_run = self.may_have_run()
        sink = self._response.detach_sink()
        self.close()
        if sink is not None:
            sink.abort_response()
        if attempt is not None:
            attempt.finish(
                AttemptEnd(AttemptResult.RESET if may_have_run else AttemptResult.CONNECT_FAILED)
            )

    def abort(self) -> bool:
        """Close at once, without ending the attempt; return whether its request may have run."""
        may_have_run = self.may_have_run()
        self.attempt = None
        self._response.detach_sink()
        self.close()
        return may_have_run

    def close(self) -> None:
        """Close the socket now, not in the loop's next iteration.

        The connection is reset if its server does not have all that was written: a regular close
        would go on sending it, and the server would run a request that has been given up.
        """
        if self.closed:
            return
        self.closed = True
        if unacknowledged_kernel_bytes(self._sock):
            reset_on_close(self._sock)
        self._stop_request_timer()
        self._response_timers.release()
        self._pool.loop.remove_reader(self._sock)
        self._stop_awaiting_writable()
        self._sock.close()
        # An attempt that has ended may still refer to this connection.
        self._unsent.release()
        self._response.release()
        self._memory.set(0)
        self._pool.remove(self)
