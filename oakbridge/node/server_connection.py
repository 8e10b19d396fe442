"""A connection to a server: it carries one request at a time, and tells what came back as an outcome.

Sockets are driven by hand, not by a stream or transport: the rules hang on whether a request's last byte was
*written to the socket*, and on a connection being closed before anything else happens, which buffers hide.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import httptools

from oakbridge.node.attempt import Attempt, Reply, Sink
from oakbridge.node.chunks import chunk
from oakbridge.node.clock import Timer
from oakbridge.node.http_framing import FRAMING, MAX_HEAD, MOST_BODY, Headers, framing
from oakbridge.node.request_body import Upload
from oakbridge.policy.vocabulary import Result

if TYPE_CHECKING:
    from oakbridge.node.connection_pool import Pool, Target

log = logging.getLogger(__name__)

# An answer up to this size is taken whole first, so that a spoilt one can still be tried again.
WHOLE = 64 * 1024
CHUNK = 64 * 1024
STALL = 1_000_000  # a server that has begun a short answer and says no more for so long won't
STALL_STREAM = 10_000_000  # and one whose answer is passed on already: nothing can be tried again


class Connection:
    """One connection; it carries at most one attempt at a time."""

    def __init__(self, pool: Pool, target: Target) -> None:
        self.pool, self.target = pool, target
        self.attempt: Attempt | None = None
        self.keep = True  # may be used again
        # Guards against a connection that a server takes above its limit and turns away for as long as it lasts: kept
        # and used last, it would be used first, and never serve.
        self.served = False
        self.connected = self.closed = self.waits = False  # waits: for the socket to take more
        self.idle_since = 0
        self.upload: Upload | None = None
        self.timer: Timer | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._new_reply()

    def _new_reply(self) -> None:
        self.unsent: memoryview | None = (
            None  # what the socket has not taken of the request; None: nothing has begun
        )
        self.parser: Any = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size = self.status = self.fed = 0
        self.complete = self.reusable = self.spoilt = self.begun = self.in_body = False
        self.until_close = False  # the answer ends with the connection
        self.length: int | None = None
        self.sink: Sink | None = None  # where it goes, once it is too long to be taken whole
        self.paused = False

    # ---- opening and writing

    def open(self, attempt: Attempt) -> None:
        """Connect, then write the attempt."""
        self.attempt, attempt.connection = attempt, self
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = self.sock.connect_ex(self.target.address)
        if code == 0:
            self._established()
        elif code == errno.EINPROGRESS:
            if self.pool.connect_timeout:
                self._limit(self.pool.connect_timeout)
            self._wait_to_write(self._connect_done)
        else:
            # Told in the loop's next round: the caller still holds the attempt as being started.
            self.pool.loop.call_soon(self._lost)

    def _wait_to_write(self, what: Callable[[], None]) -> None:
        self.waits = True
        self.pool.loop.add_writer(self.sock, self._guarded, what)

    def _stop_waiting(self) -> None:
        """Asked for only where it waits: nearly every request goes out in one write."""
        if self.waits:
            self.waits = False
            self.pool.loop.remove_writer(self.sock)

    def _connect_done(self) -> None:
        self._stop_waiting()
        self._stop_timer()
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._lost()
        else:
            self._established()

    def _limit(self, wait: int) -> None:
        """Take the connection for lost if what it does now takes longer."""
        self.timer = self.pool.clock.call_at(self.pool.clock.now() + wait, self._lost)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _established(self) -> None:
        self.connected = True
        self.pool.loop.add_reader(self.sock, self._guarded, self._readable)
        if self.attempt is not None:
            self._begin_writing(self.attempt)

    def _begin_writing(self, attempt: Attempt) -> None:
        now = self.pool.clock.now()
        if attempt.begin_by is not None and now > attempt.begin_by:
            # Guards repeats: the dial took so long that servers may have forgotten the first attempt.
            self.pool.loop.call_soon(self.pool.not_begun, attempt)
            return
        self.unsent, self.upload = memoryview(attempt.data(max(1, attempt.due - now))), attempt.upload
        if self.upload is not None:
            self.upload.attach(self._more)
        self._write()

    def _more(self) -> None:
        """More of the body has come, or its end."""
        if not self.closed and not self.waits and self.connected:
            self._guarded(self._write)

    def _next_part(self) -> bytes:
        """What is to be written next of a body that goes on as it comes; empty if nothing is, or all was."""
        upload = self.upload
        if upload is None:
            return b""
        data = upload.take()
        if data:
            return data if upload.length is not None else chunk(data)
        if upload.complete:
            self.upload = None
            return chunk(b"") if upload.length is None else b""
        return b""

    def written(self) -> bool:
        """Whether the request's last byte is in the socket's hands."""
        return self.unsent is not None and not self.unsent and self.upload is None

    def stale(self) -> bool:
        """Whether the server has closed this idle connection, though the loop has not come to read it.

        Guards against writing a request to a connection that is already closed: it would end as a reset,
        after which a request that must not run twice can't be sent again.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True  # the end, or bytes that nobody asked for

    def use(self, attempt: Attempt) -> None:
        """Write an attempt to this idle connection."""
        self._new_reply()
        self.attempt, attempt.connection = attempt, self
        self._begin_writing(attempt)

    def _write(self) -> None:
        """Write what the socket takes; ``unsent`` is empty once the last byte is in its hands."""
        streams = self.upload is not None
        try:
            while True:
                while self.unsent:
                    self.unsent = self.unsent[self.sock.send(self.unsent) :]
                if self.upload is None:
                    break
                if not (part := self._next_part()):
                    break
                self.unsent = memoryview(part)
        except BlockingIOError:
            return self._wait_to_write(self._write)
        except OSError:
            # In the next round, as in open(); what arrived before the break is no answer to half a request.
            self.pool.loop.call_soon(self._lost)
            return
        self._stop_waiting()
        if streams and self.upload is None and self.attempt is not None and self.attempt.on_sent is not None:
            self.attempt.on_sent()

    def _guarded(self, what: Callable[[], None]) -> None:
        """Guards the loop and the node: a fault in one connection ends that connection alone."""
        try:
            what()
        except Exception:
            log.exception("a connection to %s:%d failed", *self.target.address)
            self._lost()

    # ---- reading

    def _readable(self) -> None:
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            self._lost()
            return
        if not data or self.attempt is None:
            if not data and self.until_close and self.attempt is not None and self.status:
                return self._ended_by_close()
            self._lost()
            return
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):  # nobody asked for an upgrade
            if not self.complete:
                self._lost()
                return
            self.reusable = False
        if self.closed:
            return
        if self.spoilt or self.fed - self.size > 2 * MAX_HEAD + FRAMING * self.size:
            self._lost()
        elif self.complete:
            self._answered()
        elif self.begun and not self.paused and not self.closed:
            # Guards against half an answer: its server says no more, and the request would wait to its end.
            self._stop_timer()
            self._limit(STALL if self.sink is None else STALL_STREAM)

    def _ended_by_close(self) -> None:
        """The answer had no length of its own: it is whole (RFC 9112, 6.3, 8)."""
        self.complete, self.reusable = True, False
        self._answered()

    def pause(self) -> None:
        """Read nothing more for now: what it was passed on to has enough."""
        if not self.paused and not self.closed:
            self.paused = True
            self._stop_timer()
            self.pool.loop.remove_reader(self.sock)

    def resume(self) -> None:
        """Go on."""
        if self.paused and not self.closed:
            self.paused = False
            self._limit(STALL_STREAM)
            self.pool.loop.add_reader(self.sock, self._guarded, self._readable)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header of the answer; what follows it is none of it, and neither are trailers."""
        if not self.complete and not self.in_body:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Take the status; an answer that is too long, or whose end is open to question, is spoilt."""
        if self.complete:
            return
        self.in_body, self.status = True, self.parser.get_status_code()
        fault, self.length, chunked = framing(self.headers)
        self.spoilt = fault != 0
        bodied = self.status >= 200 and self.status not in (204, 304)
        self.until_close = bodied and self.length is None and not chunked

    def on_body(self, data: bytes) -> None:
        """Take a part of the body, or pass it on if there is too much of it to be kept."""
        if self.complete or self.spoilt:
            return
        self.size += len(data)
        if self.sink is not None:
            if self.size > MOST_BODY:
                self.spoilt = True
            else:
                self.sink.pass_on(data)
            return
        self.body.append(data)
        if self.size > WHOLE or (self.length or 0) > WHOLE:
            self._pass_on()

    def _pass_on(self) -> None:
        """Begin to pass on what has come; from here on there is no second attempt."""
        attempt, result = self.attempt, outcome(self.status, self.headers)
        if attempt is None or attempt.on_begin is None or result != Result.OK or not self.written():
            self.spoilt = True  # nobody wants the rest of it
            return
        if attempt.timer is not None:
            attempt.timer.cancel()  # an answer that has begun is in time
        self.sink = attempt.on_begin(Reply(result, self.headers, status=self.status), self.length, self)
        if self.sink is None:
            self.spoilt = True
            return
        parts, self.body = self.body, []
        for part in parts:
            self.sink.pass_on(part)

    def on_message_complete(self) -> None:
        """Take the end of the answer; a provisional one (1xx) is none."""
        if self.complete:
            self.reusable = False  # bytes that nobody asked for
        elif self.status < 200 and self.status != 101:
            self.headers, self.begun, self.in_body = [], False, False
            self._stop_timer()  # the answer itself may take its time
        else:
            self.complete = True
            self.reusable = bool(self.parser.should_keep_alive())

    def on_message_begin(self) -> None:
        """See that an answer begins, or bytes that follow a whole one."""
        if self.complete:
            self.reusable = False
        self.begun = True

    def _answered(self) -> None:
        result = outcome(self.status, self.headers)
        if not self.written() and result != Result.FULL:
            return self._lost()  # no answer to this request: its last byte was never written
        self._stop_timer()
        attempt, self.attempt = self.attempt, None
        sink, self.sink = self.sink, None
        if sink is not None:
            sink.finish()
        reply = Reply(result, self.headers, b"".join(self.body), self.status)
        self.served = self.served or result != Result.FULL
        if self.reusable and self.keep and self.written() and self.served and not self.closed:
            self.headers, self.body = [], []
            self.pool.rest(self)
        else:
            self.close()
        if attempt is not None:
            attempt.end(reply)

    # ---- ends

    def _lost(self) -> None:
        """The connection broke or ended: whether the request may have run hangs on its last byte."""
        if self.closed:
            return
        attempt, self.attempt = self.attempt, None
        written = self.written()
        sink, self.sink = self.sink, None
        self.close()
        if sink is not None:
            sink.cut()
        if attempt is not None:
            attempt.end(Reply(Result.RESET if written else Result.CONNECT_FAILED))

    def give_up(self) -> bool:
        """Close under an attempt, at once; returns whether the attempt's last byte had been written."""
        written = self.written()
        self.attempt = self.sink = None
        self.close()
        return written

    def close(self) -> None:
        """Close the socket now, not in the loop's next round."""
        if self.closed:
            return
        self.closed = True
        self._stop_timer()
        self.pool.loop.remove_reader(self.sock)
        self._stop_waiting()
        self.sock.close()
        self.pool.forget(self)


def outcome(status: int, headers: Headers) -> Result:
    """An answer's outcome, by the protocol's table."""
    if status == 200:
        return Result.OK
    if status in (503, 504) and (b"x-not-processed", b"1") in headers:
        return Result.FULL
    return Result.ERROR
