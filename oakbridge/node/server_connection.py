"""A connection to a server: carries one attempt at a time, and ends it with its outcome.

The socket is driven by hand, not by a stream or transport: the rules depend on whether a request's
last byte was *written to the socket*, and on a connection being closed before anything else
happens, which buffers hide.
"""

from __future__ import annotations

import errno
import logging
import os
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from oakbridge.node.attempt import Attempt, AttemptEnd, ResponseSink
from oakbridge.node.chunked_encoding import encode_chunk
from oakbridge.node.clock import Timer
from oakbridge.node.request_body import StreamedBody
from oakbridge.node.response_parser import ResponseError, ResponseParser
from oakbridge.node.system_errors import is_local_connect_error, is_resource_error
from oakbridge.policy.events import AttemptResult

if TYPE_CHECKING:
    from oakbridge.node.connection_pool import ConnectionPool, PooledServer

log = logging.getLogger(__name__)

READ_BYTES = 64 * 1024
# A server that has started a short response and is silent for so long won't go on.
STALL_TIMEOUT_US = 1_000_000
# One whose response is passed on already has longer: nothing can be retried.
STREAM_STALL_TIMEOUT_US = 10_000_000
# The connection comes up by itself, also after a connect() that a signal interrupted.
_CONNECTING = (errno.EINPROGRESS, errno.EINTR)


class ServerConnection:
    """One connection to a server, from its dial to its close.

    The pool owns it: it returns itself to the pool when it is idle, and removes itself when it is
    closed.
    """

    __slots__ = (
        "_awaits_writable",
        "_body",
        "_has_served",
        "_pool",
        "_response",
        "_sock",
        "_timer",
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
        """Make the socket; raise OSError if no descriptor is left."""
        self._pool = pool
        self.server = server
        self.attempt: Attempt | None = None
        self.may_be_reused = True
        # Guards against a connection that a server takes above its limit and rejects for as long as
        # it lasts: kept and used last, it would be used first, and never serve.
        self._has_served = False
        self.connected = False
        self.closed = False
        self.idle_since = 0
        self._awaits_writable = False
        self._unsent: memoryview | None = (
            None  # what the socket has not taken yet; None: nothing was written
        )
        self._body: StreamedBody | None = None  # what follows it
        self.paused = False
        self._timer: Timer | None = None  # limits the dial, then each pause within a response
        self._response = ResponseParser(self._open_sink)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    # ---- dialling

    def connect(self, attempt: Attempt, timeout_us: int) -> None:
        """Connect, then write the attempt; ``timeout_us``: for the dial, 0 for none.

        Raises OSError if it failed on this machine: the server has seen nothing.
        """
        self.attempt = attempt
        attempt.connection = self
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = self._sock.connect_ex(self.server.address)
        if code == 0:
            self._on_established()
        elif code in _CONNECTING:
            if timeout_us:
                self._fail_after(timeout_us)
            self._await_writable(self._on_connect_done)
        elif is_local_connect_error(code):
            raise OSError(code, os.strerror(code))
        else:
            # In the loop's next round: the node still holds the attempt as being started.
            self._pool.loop.call_soon(self._fail)

    def _on_connect_done(self) -> None:
        self._stop_awaiting_writable()
        self._stop_timer()
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail()
            if self._pool.observer is not None:
                self._pool.observer.on_connection_refused()
        else:
            self._on_established()

    def _on_established(self) -> None:
        self.connected = True
        self._pool.loop.add_reader(self._sock, self._run_guarded, self._on_readable)
        attempt = self.attempt
        if attempt is None:
            return
        if attempt.is_wanted():
            self._start_request(attempt)
        else:
            # Guards against an attempt for a client that left while the connection came up.
            self._pool.loop.call_soon(self._pool.withdraw, attempt)

    # ---- writing the request

    def send(self, attempt: Attempt) -> None:
        """Write an attempt to this idle connection."""
        self._response.reset()
        self._unsent = None
        self.paused = False
        self.attempt = attempt
        attempt.connection = self
        self._start_request(attempt)

    def _start_request(self, attempt: Attempt) -> None:
        now = self._pool.clock.now()
        if attempt.start_by is not None and now > attempt.start_by:
            # Guards retries: the dial took so long that servers may have forgotten the first
            # attempt.
            self._pool.loop.call_soon(self._pool.fail_unsent, attempt)
            return
        self._unsent = memoryview(attempt.render(max(1, attempt.deadline - now)))
        self._body = attempt.upload
        if self._body is not None:
            self._body.attach(self._on_body_available)
        self._write()

    def _on_body_available(self) -> None:
        """Write more of the body, or its end."""
        if self.connected and not self.closed and not self._awaits_writable:
            self._run_guarded(self._write)

    def _next_body_part(self) -> bytes:
        """Return what to write next of a body that is still coming; empty if nothing is there, or all was."""
        body = self._body
        if body is None:
            return b""
        chunked = body.length is None
        if data := body.take():
            return encode_chunk(data) if chunked else data
        if body.complete:
            self._body = None
            return encode_chunk(b"") if chunked else b""
        return b""

    def request_written(self) -> bool:
        """Return whether the socket has taken the request's last byte: the request may run from then on."""
        return self._unsent is not None and not self._unsent and self._body is None

    def _write(self) -> None:
        """Write what the socket takes; ``_unsent`` is empty once it has taken the last byte."""
        had_body = self._body is not None
        try:
            while True:
                while self._unsent:
                    self._unsent = self._unsent[self._sock.send(self._unsent) :]
                if self._body is None:
                    break
                if not (part := self._next_body_part()):
                    break
                self._unsent = memoryview(part)
        except BlockingIOError:
            self._await_writable(self._write)
            return
        except OSError as error:
            if is_resource_error(error):
                self._await_writable(self._write)
                return
            # In the next round, as in connect(); what arrived before is no response to half a
            # request.
            self._pool.loop.call_soon(self._fail)
            return
        self._stop_awaiting_writable()
        body_sent = had_body and self._body is None
        if body_sent and self.attempt is not None and self.attempt.on_request_sent is not None:
            self.attempt.on_request_sent()

    def _await_writable(self, callback: Callable[[], None]) -> None:
        self._awaits_writable = True
        self._pool.loop.add_writer(self._sock, self._run_guarded, callback)

    def _stop_awaiting_writable(self) -> None:
        """Ask the loop only where it waits: nearly every request goes out in one write."""
        if self._awaits_writable:
            self._awaits_writable = False
            self._pool.loop.remove_writer(self._sock)

    # ---- reading the response

    def _on_readable(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            if not is_resource_error(error):  # else the loop finds it readable again
                self._fail()
            return
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
        elif not self.paused:
            self._restart_stall_timer()

    def _restart_stall_timer(self) -> None:
        """Guards against half a response: its server is silent, and the request would wait to its deadline.

        A response that has not started, or that follows a provisional one, may take its time.
        """
        self._stop_timer()
        if self._response.started:
            streaming = self._response.sink is not None
            self._fail_after(STREAM_STALL_TIMEOUT_US if streaming else STALL_TIMEOUT_US)

    def pause(self) -> None:
        """Stop reading: what the response is passed on to has enough."""
        if not self.paused and not self.closed:
            self.paused = True
            self._stop_timer()
            self._pool.loop.remove_reader(self._sock)

    def resume(self) -> None:
        """Read on."""
        if self.paused and not self.closed:
            self.paused = False
            self._fail_after(STREAM_STALL_TIMEOUT_US)
            self._pool.loop.add_reader(self._sock, self._run_guarded, self._on_readable)

    def _open_sink(self) -> ResponseSink | None:
        """Start to pass on a long response; there is no retry from here on."""
        attempt, response = self.attempt, self._response
        if attempt is None or attempt.on_response_start is None:
            return None
        result = response.result()
        if result != AttemptResult.OK or not self.request_written():
            return None
        if attempt.timer is not None:
            attempt.timer.cancel()  # a response that has started is in time
        outcome = AttemptEnd(result, response.headers, status=response.status)
        return attempt.on_response_start(outcome, response.content_length, self)

    def _on_response_complete(self) -> None:
        response = self._response
        result = response.result()
        if not self.request_written() and result != AttemptResult.REJECTED:
            self._fail()  # no response to this request: its last byte was never written
            return
        self._stop_timer()
        attempt, self.attempt = self.attempt, None
        sink = response.detach_sink()
        if sink is not None:
            sink.finish_response()
        outcome = response.take(result)
        self._has_served = self._has_served or result != AttemptResult.REJECTED
        if self._can_be_kept():
            self._pool.put_idle(self)
        else:
            self.close()
        if attempt is not None:
            attempt.finish(outcome)

    def _can_be_kept(self) -> bool:
        return (
            self._response.reusable
            and self.may_be_reused
            and self.request_written()
            and self._has_served
            and not self.closed
        )

    # ---- ends

    def is_stale(self) -> bool:
        """Return whether the server has closed this idle connection, though the loop has not come to read it.

        Guards against writing a request to a connection that is already closed: it would end as a
        reset, after which a request that must not run twice can't be retried.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True  # the end, or bytes that nobody requested

    def _fail_after(self, timeout_us: int) -> None:
        """Fail unless the timer is stopped before."""
        self._timer = self._pool.clock.call_at(self._pool.clock.now() + timeout_us, self._fail)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run_guarded(self, callback: Callable[[], None]) -> None:
        """Guards the loop and the node: a fault in one connection ends that connection alone."""
        try:
            callback()
        except Exception:
            log.exception("a connection to %s:%d failed", *self.server.address)
            self._fail()

    def _fail(self) -> None:
        """Close a broken connection; whether its request may have run depends on its last byte."""
        if self.closed:
            return
        attempt, self.attempt = self.attempt, None
        written = self.request_written()
        sink = self._response.detach_sink()
        self.close()
        if sink is not None:
            sink.abort_response()
        if attempt is not None:
            attempt.finish(
                AttemptEnd(AttemptResult.RESET if written else AttemptResult.CONNECT_FAILED)
            )

    def abort(self) -> bool:
        """Close at once and leave the attempt to the caller; return whether its last byte was written."""
        written = self.request_written()
        self.attempt = None
        self._response.detach_sink()
        self.close()
        return written

    def close(self) -> None:
        """Close the socket now, not in the loop's next round."""
        if self.closed:
            return
        self.closed = True
        self._stop_timer()
        self._pool.loop.remove_reader(self._sock)
        self._stop_awaiting_writable()
        self._sock.close()
        self._pool.remove(self)
