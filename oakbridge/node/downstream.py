"""The callers' side: takes requests, gives each exactly one answer, and notices callers that leave."""

from __future__ import annotations

import asyncio
import logging
import os
import re
import socket
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol, cast

import httptools

from oakbridge.node.clock import Clock, Timer
from oakbridge.node.http_framing import FRAMING, MAX_HEAD, MOST_BODY, Headers, framing
from oakbridge.node.lifecycle import Lifecycle, Phase
from oakbridge.node.listing import Address
from oakbridge.node.streams import Upload, absolute, chunk, outgoing, progressed

log = logging.getLogger(__name__)

READY = b"/-/ready"
BACKLOG = 1024
TURNED_AWAY = 32  # connections past the limit that are still told so, before accepting stops
CROWDED = 0.75  # of the places: from there on connections are not kept
ACCEPTED = 16  # connections taken in one turn of the loop
PIPELINED = 16  # requests that may wait on one connection before reading stops
PIPELINED_MOST = 64  # and those that are taken of what one read has brought
READ = 64 * 1024
# How long a caller is awaited: with its first request, with a head that has begun, with the next part of a body, with
# reading its answers, or with ending what it still writes after the last of them.  A head may take 2 s.
PATIENCE = 2_500_000
BODY_LEAST = 64 * 1024  # bytes of a body that have to come in that time: a slow caller writes 64 kB a second
LINGER = 2  # such times in which a caller that was told to go may still write
# A body up to this size is taken whole first: it can be tried again, and holds no server up meanwhile.
HOLD = 512 * 1024
HOLD_LEAST = 64 * 1024  # and up to this where many bodies are held
HELD_PART = 8  # of the node's memory, that bodies may take while they are held
IDLE_MOST = 15_000_000  # how long a connection may rest between requests while there is room
IDLE_LEAST = 2_100_000  # and where there is none; it may not be closed before 2 s
MOVE_AGAIN_S = 0.01  # a caller that is still being written to is looked at again before it moves on
ESTABLISHED = b"\x01"  # a connection's state in the kernel's TCP_INFO while neither side has ended
GRACE = 20_000  # how long a caller that was accepted may say nothing before it makes room for another

# Between two hops only; what is said about this hop's framing is said anew on the next.
HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect", b"x-timeout", b"x-server-load",
})  # fmt: skip

# What requests are told apart and decided by: said twice, two readers could each take another one for it.
ONCE = frozenset({
    b"host", b"content-length", b"transfer-encoding", b"x-request-id", b"x-priority-class", b"x-tenant-id",
    b"x-route-key", b"x-timeout", b"x-retried", b"x-cost", b"idempotency-key", b"expect",
})  # fmt: skip

_REASON = {
    200: b"OK", 400: b"Bad Request", 405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable",
}  # fmt: skip
_TIMEOUT = re.compile(rb"(\d{1,12})([mu])")


class Request:
    """One request that was taken: what it says, and whom it is owed to."""

    __slots__ = ("id", "method", "url", "headers", "body", "named", "taken", "time_left", "keep_alive",
                 "caller", "answered", "attempts", "attempt", "overdue", "due_by", "upload", "old",
                 "streams", "sent")  # fmt: skip

    def __init__(self, caller: Caller, method: bytes, url: bytes, headers: Headers, body: bytes) -> None:
        self.caller, self.method, self.url, self.headers, self.body = caller, method, url, headers, body
        self.named = dict(headers)
        self.id = self.taken = 0
        self.time_left: int | None = None  # the caller may not tell
        self.due_by: int | None = None  # when the node itself needs it answered
        self.keep_alive = True
        self.answered = False  # nothing more is owed
        self.attempts = 0  # how many were made
        self.attempt: Any = None
        self.overdue: Timer | None = None
        self.upload: Upload | None = None  # the rest of its body, if that goes on as it comes
        self.old = False  # HTTP/1.0: knows no chunks
        self.sent = 0  # when the last of a body that went on as it came was written
        self.streams = False  # its answer is passed on as it comes

    def text(self, name: bytes) -> str:
        """A header as text; empty if it is not there."""
        return self.named.get(name, b"").decode("latin-1")


class Source(Protocol):
    """What passes an answer on as it comes: a server's connection."""

    def pause(self) -> None:
        """Have enough for now."""

    def resume(self) -> None:
        """Take more."""

    def stop(self) -> None:
        """The caller is gone: nobody wants the rest."""


class Taker(Protocol):
    """Who gets the requests: the node."""

    def serving(self) -> bool:
        """Whether requests can be served."""

    def knows(self, klass: str) -> bool:
        """Whether there is such a class of requests."""

    def has_open(self, name: bytes) -> bool:
        """Whether a request with this id is open."""

    def take(self, request: Request) -> None:
        """Take a request over; it is owed one answer."""

    def left(self, request: Request) -> None:
        """Hear that the caller of a request has gone away."""


def parse_timeout(value: bytes) -> int | None:
    """``X-Timeout`` in microseconds; None if it can't be read."""
    match = _TIMEOUT.fullmatch(value.strip())
    return None if match is None else int(match[1]) * (1000 if match[2] == b"m" else 1)


def render(status: int, headers: Headers, body: bytes, close: bool, old: bool = False) -> bytes:
    """An answer's bytes; ``old``: for HTTP/1.0, where connections are kept only if both sides say so."""
    return render_head(status, headers, b"content-length: %d" % len(body), close, old) + body


def render_head(status: int, headers: Headers, framing: bytes, close: bool, old: bool = False) -> bytes:
    """An answer's head; ``framing``: the header that says where its body ends, if there is one."""
    lines = [b"HTTP/1.1 %d %s" % (status, _REASON.get(status, b"Answer"))]
    lines += [name + b": " + value for name, value in headers]
    if framing:
        lines.append(framing)
    if close:
        lines.append(b"connection: close")
    elif old:
        lines.append(b"connection: keep-alive")
    return b"\r\n".join(lines) + b"\r\n\r\n"


class Caller(asyncio.BufferedProtocol):
    """One caller's connection: one request at a time, further ones wait their turn.

    It is always in one of four states: awaited (with a first byte, the rest of a request, or the reading of
    answers), busy with a request, idle, or ending, when nothing more is said; all but the second have limits.
    """

    __slots__ = ("server", "sock", "excess", "transport", "current", "pending", "fed", "begun", "in_head", "broken",
                 "ending", "blocked", "paused", "parser", "url", "headers", "body", "size",
                 "head_size", "once", "twice", "whole", "came", "seen", "unread", "looks", "upload", "source",
                 "length", "chunked", "last", "expects")  # fmt: skip

    def __init__(self, server: Server, sock: socket.socket, excess: bool) -> None:
        self.server, self.sock, self.excess = server, sock, excess
        self.transport: asyncio.Transport | None = None
        self.current: Request | None = None
        self.pending: deque[Request] = deque()
        self.fed = 0  # bytes of a request that is not whole yet
        self.begun = False
        self.in_head = True
        self.broken = 0  # the status that ends this connection once all that was taken is answered
        self.ending = self.blocked = self.paused = False
        self.whole = self.came = 0  # requests that came whole, and bytes
        self.seen, self.unread, self.looks = 0, -1, 0  # see _goes_on
        self.upload: Request | None = None  # whose body goes on as it comes, while it does
        self.source: Source | None = None  # what passes an answer on, while one is
        self.chunked = self.last = False  # how that is framed, and whether it is the last
        self.expects = False  # the caller waits for a word before it writes the body
        self.parser: Any = httptools.HttpRequestParser(self)
        self._begin()

    def _begin(self) -> None:
        self.url = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.length: int | None = None
        self.size = self.head_size = 0  # bytes of the body, and of the headers' names and values
        self.once: list[bytes] = []  # what may be said once only, and was
        self.twice = False

    # ---- asyncio's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, unless it has had to make room already."""
        self.transport = cast(asyncio.Transport, transport)  # other loops have classes of their own
        if self.ending:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the caller is gone, if it was still owed an answer."""
        self.transport = None
        self.ending = True
        self.pending.clear()
        request, self.current = self.current, None
        self._let_go()
        source, self.source = self.source, None
        self.server.lost(self)
        if source is not None:
            source.stop()
        if request is not None and not request.answered:
            request.answered = True
            self.server.taker.left(request)

    def get_buffer(self, sizehint: int) -> memoryview:
        """One buffer for all: what was read is looked at before anything else is, and megabytes cost none."""
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Read requests; what can't be read ends the connection once earlier ones are answered."""
        self.came += nbytes
        if self.broken or self.ending:
            return  # read and dropped: see _write
        if not self.fed and not self.blocked:
            # A request begins: it has its own time, whenever the caller came.
            self.server.awaited.remove(self)
        whole, self.fed = self.whole, self.fed + nbytes
        try:
            self.parser.feed_data(self.server.buffer[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):  # upgrades are not served
            self._break(400)
        if self.whole > whole:
            self.fed = 0
            if not self.blocked:
                self.server.awaited.remove(self)
        elif self.fed > MAX_HEAD and (
            self.in_head or self.fed - self.size > 2 * MAX_HEAD + FRAMING * self.size
        ):
            self._break(431)
        if self.broken and self.upload is not None:
            self._call_off()
        if self.unfinished() and not self.broken:
            self.server.idle.remove(self)
            self.server.awaited.add(self)
        self._proceed()
        if len(self.pending) >= PIPELINED and not self.paused:
            self.paused = True
            self.read_on()

    def read_on(self) -> None:
        """Read, unless enough waits here already."""
        if self.transport is not None and not self.ending:
            held = self.upload is not None and self.upload.upload is not None and self.upload.upload.full
            (self.transport.pause_reading if self.paused or held else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        """Start nothing more for a caller that does not read its answers; it is awaited."""
        self.blocked = True
        self.server.awaited.add(self)
        if self.source is not None:
            self.source.pause()

    def resume_writing(self) -> None:
        """Go on."""
        self.blocked, self.unread = False, -1
        if not self.ending:
            if not self.unfinished():
                self.server.awaited.remove(self)
            if self.source is not None:
                self.source.resume()
            self._proceed()

    # ---- the parser's calls

    def on_message_begin(self) -> None:
        """See that a request has begun."""
        self.begun = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header; a trailer behind the body is none, or it could change what has been looked at."""
        if self.in_head:
            name = name.lower()
            if name in ONCE:
                self.twice = self.twice or name in self.once
                self.once.append(name)
            self.head_size += len(name) + len(value)
            self.headers.append((name, value.strip(b" \t")))  # the space is none of it (RFC 9112, 5.1)

    def on_headers_complete(self) -> None:
        """Refuse at the head what is too much or can be understood in two ways."""
        self.in_head = False
        if len(self.url) + self.head_size > MAX_HEAD:
            return self._break(431)
        fault, self.length, _ = framing(self.headers)
        if self.twice or fault:
            return self._break(400 if self.twice else fault)
        if b"expect" in self.once:
            new = self.parser.get_http_version() != "1.0"
            self.expects = new and dict(self.headers)[b"expect"].lower() == b"100-continue"
            if not self.expects:
                return self._break(417)  # RFC 9110, 10.1.1
        if not self.blocked:  # the body has a time of its own; one that reads nothing is awaited all the same
            self.server.awaited.remove(self)
        self.seen = self.came
        if self.expects and self.current is None and not self.pending:
            self._go_ahead()

    def _go_ahead(self) -> None:
        """Say that the body may come (RFC 9110, 10.1.1)."""
        self.expects = False
        if self.transport is not None and not self.ending:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Take a part of the body: keep it, or have it go on if there is too much of it to be kept."""
        if self.broken:
            return
        self.size += len(data)
        if self.size > MOST_BODY:
            return self._break(413)
        if self.upload is not None and self.upload.upload is not None:
            self.upload.upload.feed(data)
            return
        self.body.append(data)
        if self.size > HOLD_LEAST:
            self.server.held += len(data) if self.size - len(data) > HOLD_LEAST else self.size
            if self.size > HOLD or self.server.held > self.server.held_most:
                self._stream()

    def _stream(self) -> None:
        """Take the request before its body is whole: the rest goes on as it comes."""
        request = self._request(b"")
        request.upload = Upload(self.length, self.read_on)
        for part in self.body:
            request.upload.feed(part)
        self._unhold()
        self.body, self.upload = [], request
        self.pending.append(request)
        self.read_on()

    def _unhold(self) -> None:
        """The body that was kept is kept no more, or by the request."""
        if self.body and self.size > HOLD_LEAST:
            self.server.held -= self.size

    def _request(self, body: bytes) -> Request:
        request = Request(self, self.parser.get_method(), absolute(self.url), self.headers, body)
        request.keep_alive = bool(self.parser.should_keep_alive())
        request.old = self.parser.get_http_version() == "1.0"
        request.taken = self.server.clock.now()
        return request

    def on_message_complete(self) -> None:
        """Take a whole request; its time counts from here."""
        self.whole += 1
        self._unhold()
        if self.upload is not None and self.upload.upload is not None:
            request, self.upload = self.upload, None
            request.taken = self.server.clock.now()
            assert request.upload is not None
            request.upload.end()
        else:
            if len(self.pending) >= PIPELINED_MOST:
                self._break(503)
            if not self.broken:
                self.pending.append(self._request(b"".join(self.body)))
        self._begin()
        self.begun, self.in_head, self.expects = False, True, False

    def _call_off(self) -> None:
        """The request whose body was to go on never becomes whole: nothing is owed for it."""
        request, self.upload = self.upload, None
        if request is None:
            return
        if request.upload is not None:
            request.upload.drop()
        if request is self.current:
            self.current = None
        elif request in self.pending:
            self.pending.remove(request)
        if not request.answered:
            request.answered = True
            self.server.taker.left(request)
        self.read_on()

    def _let_go(self) -> None:
        """The connection is over: what was kept of a body is kept no more."""
        self._unhold()
        self.body = []
        self._call_off()

    # ---- answers

    def _break(self, status: int) -> None:
        """Read nothing more; the first reason is the one that is told."""
        self.broken = self.broken or status

    def _proceed(self) -> None:
        """Start the next request, or end the connection, if nothing is out."""
        while self.current is None and not self.blocked and self.pending and not self.ending:
            self.current = self.pending.popleft()
            self.server.idle.remove(self)
            self.server.handle(self.current)
        if self.current is None and not self.pending and not self.ending and self.broken:
            self._write(self.broken, [], b"", close=True)
        if self.expects and self.current is None and not self.broken:
            self._go_ahead()
        if self.paused and not self.pending and self.transport is not None:
            self.paused = False
            self.read_on()

    def answer(self, request: Request, status: int, headers: Headers, body: bytes) -> None:
        """Give a request its one answer."""
        if request.answered or request is not self.current:
            return
        request.answered = True
        self.current = None
        early = request is self.upload  # the body is still coming: it is read and dropped
        if early and request.upload is not None:
            request.upload.drop()
        close = early or self._is_last(request, 400 <= status < 500 and status != 429)
        self._write(status, headers, body, close, request.old)
        if early:
            self.upload = None
            self.read_on()
        self._next()

    def _is_last(self, request: Request, refused: bool = False) -> bool:
        """Whether the connection ends with the answer to this request."""
        last = (
            refused
            or self.excess
            or not request.keep_alive
            or self.server.clearing()
            or self.server.crowded()
        )
        return last and not (self.pending and request.keep_alive)

    def _next(self) -> None:
        """Go on behind an answer."""
        if self.ending:
            return
        if self.pending or self.expects:
            self.server.soon(self._proceed)  # not from in here: a long pipeline would nest as deep
        elif self.broken:
            self._proceed()
        elif not self.unfinished():
            self.server.idle.add(self)
            if self.server.send_on is not None:
                self.server.soon(self.move)

    # ---- answers that are passed on as they come

    def begin(
        self, request: Request, status: int, headers: Headers, length: int | None, source: Source
    ) -> bool:
        """Begin a request's one answer; what follows comes by :meth:`pass_on`.  False if it is owed none any more."""
        if request.answered or request is not self.current or self.transport is None or self.ending:
            return False
        request.answered = request.streams = True
        self.source, self.chunked = source, length is None and not request.old
        self.last = self._is_last(request) or (length is None and request.old)
        framing = b"transfer-encoding: chunked" if self.chunked else b""
        if length is not None:
            framing = b"content-length: %d" % length
        self.transport.write(render_head(status, headers, framing, self.last, request.old))
        return True

    def pass_on(self, data: bytes) -> None:
        """Pass a part on."""
        if self.transport is not None and data:
            self.transport.write(chunk(data) if self.chunked else data)

    def finish(self) -> None:
        """The answer that was passed on is whole."""
        self.source = self.current = None
        if self.transport is None or self.ending:
            return
        if self.chunked:
            self.transport.write(chunk(b""))
        if self.last and not self.pending:
            self._end()
        self._next()

    def cut(self) -> None:
        """The answer that was passed on ends short: the caller sees a connection that breaks."""
        self.source = self.current = None
        self.abort()

    def _write(self, status: int, headers: Headers, body: bytes, close: bool, old: bool = False) -> None:
        if self.transport is None or self.ending:
            return
        self.transport.write(render(status, headers, body, close, old))
        if close:
            self._end()

    def _end(self) -> None:
        """Say nothing more; what the caller still writes is read and dropped for a while.

        Guards the last answer: to close on bytes that were not read resets the connection, and takes along what the
        caller has not got yet.  One that neither reads nor ends is awaited, and then closed all the same.
        """
        self.ending = True
        self.pending.clear()
        self.server.idle.remove(self)
        self.server.awaited.remove(self)
        self.server.awaited.add(self)
        if self.transport is None:
            return
        if self.server.crowded() and not self.unread_bytes():
            self.transport.close()  # its place is needed at once
        else:
            self.transport.write_eof()
            self.transport.resume_reading()

    def move(self) -> None:
        """Send this connection on to the process that took over, if it rests and all that was written is out.

        What the caller has sent meanwhile is unread, and goes along.
        """
        transport, send_on = self.transport, self.server.send_on
        if send_on is None or transport is None or self.ending or not self.resting():
            return
        if transport.get_write_buffer_size():
            self.server.loop.call_later(MOVE_AGAIN_S, self.move)
            return
        transport.pause_reading()
        fd = os.dup(transport.get_extra_info("socket").fileno())
        if send_on(fd):
            self.abort()  # this process's own descriptor: the connection goes on
        else:
            os.close(fd)
            transport.resume_reading()

    def unfinished(self) -> bool:
        """Whether a request has begun and is not whole."""
        return self.begun or self.fed > 0

    def resting(self) -> bool:
        """Whether nothing is owed and nothing has begun on this connection."""
        return self.current is None and not self.pending and not self.unfinished()

    def owed(self) -> bool:
        """Whether a request was taken that has no answer yet."""
        return self.current is not None or bool(self.pending)

    def _goes_on(self) -> bool:
        """Whether a caller that was awaited has done its part since the last look: read, or written enough."""
        came, self.seen = self.came - self.seen, self.came
        if self.blocked or self.ending:
            before, self.unread = self.unread, outgoing(self.transport)
            self.looks += self.ending
            reads = progressed(before, self.unread)
            return reads if not self.ending else self.looks < LINGER and (reads or came > 0)
        if self.in_head or not self.unfinished():
            return False
        held = self.upload is not None and self.upload.upload is not None and self.upload.upload.full
        return held or came >= BODY_LEAST

    def expire(self) -> None:
        """Give up on a caller that was awaited for long enough."""
        if self._goes_on():
            self.server.awaited.add(self)
        elif self.ending or self.blocked:
            self.abort()
        elif self.upload is not None:
            self._call_off()
            self._break(408)
            self._proceed()
        elif self.owed():
            self._break(408)  # told behind the answers that are owed
        elif self.unfinished():
            self._break(408)
            self._proceed()
        else:
            self.close()

    def close(self) -> None:
        """Close between requests, unless one has come that is not read yet: it is served first."""
        if not self.ending and (self.paused or self.blocked or not self.unread_bytes()):
            self._end()

    def unread_bytes(self) -> bool:
        """Whether something has come that the loop has not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:  # nothing has, or the connection broke
            return False

    def gone(self) -> bool:
        """Whether the caller has closed its side, also if that lies behind bytes that were not read."""
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1) != ESTABLISHED
        except OSError:  # no socket any more, or none that can tell
            return self.transport is None

    def abort(self) -> None:
        """Close now, whatever is still unread or unsent."""
        self.ending = True
        if self.transport is not None:
            self.transport.abort()


class Ages:
    """Callers by how long they have been in one state, oldest first, with one timer for all of them.

    All in here have the same limit, so that the order in which they came is the order in which they are due.
    """

    def __init__(self, clock: Clock, limit: int, expire: Callable[[Caller], None]) -> None:
        self.clock, self.limit, self.expire = clock, limit, expire
        self.since: dict[Caller, int] = {}
        self.timer: Timer | None = None

    def add(self, caller: Caller) -> None:
        """Count from now; one that is in here already goes on counting from then."""
        self.since.setdefault(caller, self.clock.now())
        if self.timer is None:
            self._arm()

    def remove(self, caller: Caller) -> None:
        """Forget one, if it is in here."""
        self.since.pop(caller, None)

    def oldest(self, age: int) -> Caller | None:
        """The one that is owed nothing and has been in here longest, if that is as long."""
        now = self.clock.now()
        for caller, since in self.since.items():
            if since + age > now:
                return None
            if not caller.owed() and not caller.unread_bytes():  # a request that is not read yet is owed, too
                return caller
        return None

    def _arm(self) -> None:
        first = next(iter(self.since.values()), None)
        if first is not None:
            self.timer = self.clock.call_at(first + self.limit, self._due)

    def _due(self) -> None:
        self.timer = None
        now = self.clock.now()
        while (caller := next(iter(self.since), None)) is not None and self.since[caller] + self.limit <= now:
            del self.since[caller]
            self.expire(caller)
        if self.timer is None:
            self._arm()

    def stop(self) -> None:
        """Let nothing come due any more."""
        self.since.clear()
        if self.timer is not None:
            self.timer.cancel()


def listen_on(address: Address, shared: bool = False) -> socket.socket:
    """A door that is open; ``shared``: others may listen there too.  Raises OSError with the address in its text."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError as e:
        sock.close()
        raise OSError(e.errno, f"{address[0]}:{address[1]}: {e.strerror}") from None
    return sock


class Server:
    """Accepts callers within a bound, and hands their requests on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        taker: Taker,
        addresses: Sequence[Address],
        most: int,
        doors: Sequence[socket.socket] = (),
        shared: bool = False,
    ) -> None:
        """``addresses``: where to listen; none if connections are handed in (:meth:`admit`).

        ``doors``: sockets that listen there already, from another process; ``shared``: a further one may listen.
        """
        # Set while another process takes over: sends a caller's connection on; False if that process is gone.
        self.send_on: Callable[[int], bool] | None = None
        self.loop, self.clock, self.taker, self.most = loop, clock, taker, most
        self.life = Lifecycle()
        self.held, self.held_most = (
            0,
            16 * 1024 * 1024,
        )  # bytes of bodies kept until they are whole; see Caller.on_body
        self.soon: Callable[[Callable[[], None]], object] = loop.call_soon
        self._callers: set[Caller] = set()
        self.awaited = Ages(clock, PATIENCE, Caller.expire)
        self.idle = Ages(clock, IDLE_MOST, Caller.close)
        self.buffer = memoryview(bytearray(READ))
        self._again: Timer | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepting = False
        self._step: Timer | None = None  # the next of the life's steps
        self._ended: asyncio.Future[None] | None = None
        self._socks: list[socket.socket] = []
        try:
            self._socks = [*doors]
            for address in () if doors else addresses:
                self._socks.append(listen_on(address, shared))
        except OSError:
            self._close_door()
            raise
        self.addresses: list[Address] = [sock.getsockname() for sock in self._socks]
        self.changed: Callable[[], None] | None = None  # called when a connection comes or goes

    def _close_door(self) -> None:
        for sock in self._socks:
            sock.close()
        self._socks = []

    @property
    def address(self) -> Address:
        """Where it listens first."""
        return self.addresses[0]

    def callers(self) -> int:
        """How many connections callers have."""
        return len(self._callers)

    def start(self) -> None:
        """Accept."""
        if not self._accepting and self._socks and self.life.open(self.clock.now()):
            self._accepting = True
            for sock in self._socks:
                self.loop.add_reader(sock, self._accept, sock)

    def _stop(self) -> None:
        if self._accepting:
            self._accepting = False
            for sock in self._socks:
                self.loop.remove_reader(sock)

    def _accept(self, door: socket.socket) -> bool:
        """Take what waits, a few in a turn so that what they say is read in between; whether more may wait.

        Past the bound others make room; where none can yet, a few more are taken all the same, and told to
        go elsewhere if all others are owed an answer.  The rest wait outside.
        """
        for _ in range(ACCEPTED):
            if len(self._callers) >= self.most + TURNED_AWAY and not self._make_room():
                if not self._wait_for_room():
                    log.warning("%d callers: accepting stops", len(self._callers))
                    self._stop()
                return False
            try:
                sock, _ = door.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as e:  # no descriptor is left: accepting goes on when a caller has left
                log.error("accepting stops: %s", e)
                if self._callers:
                    self._stop()
                return False
            self.admit(sock)
        return True

    def admit(self, sock: socket.socket) -> None:
        """Serve on a connection, accepted here or by whoever holds the door."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        full = len(self._callers) >= self.most and not self._make_room()
        caller = Caller(self, sock, full and not self.idle.since and not self.awaited.since)
        self._callers.add(caller)
        self.awaited.add(caller)
        task = self.loop.create_task(self._attach(caller, sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.changed is not None:
            self.changed()

    async def _attach(self, caller: Caller, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: caller, sock)
        except Exception:  # contained: one caller's connection must not end the node
            log.exception("a caller's connection failed")
            sock.close()
            self.lost(caller)

    def _make_room(self) -> bool:
        """Part with a caller that is owed nothing: one that is awaited in vain before one that only rests."""
        caller = self.awaited.oldest(GRACE) or self.idle.oldest(IDLE_LEAST)
        if caller is None:
            return False
        self._remove(caller)  # its place is free at once, its descriptor is from the reserve
        caller.abort()
        return True

    def crowded(self) -> bool:
        """Whether places run short: then an answer is the last on its connection, which is free at once.

        Guards against hundreds that ask once and stay: none may be put out before it has rested for 2 s.
        """
        return len(self._callers) > self.most * CROWDED

    def _wait_for_room(self) -> bool:
        """Accept nothing for a moment, after which one that is awaited or rests may make room."""
        if self._ended is not None or not (self.awaited.since or self.idle.since):
            return False
        self._stop()
        if self._again is None:
            self._again = self.clock.call_at(self.clock.now() + GRACE, self._accept_again)
        return True

    def _accept_again(self) -> None:
        self._again = None
        if self._ended is None:
            self.start()

    def _remove(self, caller: Caller) -> None:
        self._callers.discard(caller)
        self.awaited.remove(caller)
        self.idle.remove(caller)
        if self.changed is not None:
            self.changed()

    def lost(self, caller: Caller) -> None:
        """A connection has ended."""
        self._remove(caller)
        if len(self._callers) < self.most + TURNED_AWAY and not self._ended and self._again is None:
            self.start()  # where it has to accept
        self._check_end()

    def handle(self, request: Request) -> None:
        """Answer what is the node's own or can't be read; hand on the rest, with the time it has left."""
        caller = request.caller
        if request.url.split(b"?", 1)[0] == READY:
            ready = self.taker.serving() and self.life.ready
            return caller.answer(request, 200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
        timeout = request.named.get(b"x-timeout")
        left = None if timeout is None else parse_timeout(timeout)
        if request.method in (b"HEAD", b"CONNECT"):
            return caller.answer(request, 405, [], b"")
        name = request.named.get(b"x-request-id")
        if not name or (left is None and timeout is not None):
            return caller.answer(request, 400, [], b"X-Request-ID or X-Timeout is missing or malformed\n")
        if not self.taker.knows(request.text(b"x-priority-class")):
            return caller.answer(request, 400, [], b"unknown X-Priority-Class\n")
        if self.taker.has_open(name):
            # Guards against a second copy: it would be out beside the first one, for whoever sent it.
            return caller.answer(request, 409, [], b"a request with this X-Request-ID is open\n")
        if caller.excess:
            return caller.answer(request, 503, [], b"")
        request.time_left = left
        request.due_by = self.life.last_answer
        try:
            self.taker.take(request)
        except Exception:  # contained: this request has failed, the others go on
            log.exception("a request failed")
            caller.answer(request, 500, [], b"")

    # ---- drains and the end

    @property
    def leaving(self) -> bool:
        """Whether the process ends."""
        return self.life.phase == Phase.ENDING

    def clearing(self) -> bool:
        """Whether an answer is the last on its connection."""
        return self.life.clears_at is not None and self.life.clearing(self.clock.now())

    def drain(self) -> bool:
        """Empty the node as a lame duck; False if that changes nothing."""
        changed = self.life.drain(self.clock.now())
        self._follow()
        return changed

    def join(self) -> bool:
        """Take a drain back; False if that changes nothing."""
        changed = self.life.join(self.clock.now())
        self._follow()
        return changed

    def doors(self) -> list[int]:
        """Copies of the listening sockets' descriptors, for the process that takes over."""
        return [os.dup(sock.fileno()) for sock in self._socks]

    def hand_over(self, send_on: Callable[[int], bool]) -> None:
        """Accept nothing more: another process does, at the same sockets."""
        self.life.hand_over()
        self._stop()
        self.send_on = send_on

    def move_all(self) -> None:
        """Send on the callers that rest; the others follow once they do."""
        for caller in list(self._callers):
            caller.move()

    def take_back(self) -> None:
        """The process that took over is gone: accept again."""
        self.send_on = None
        self.life.take_back()
        self.start()

    async def leave(self, longest: int) -> None:
        """Accept through the changeover, serve who is there for a while, and return when all is answered."""
        self._ended = self.loop.create_future()
        self.life.end(self.clock.now(), longest)
        self._follow()
        await self._ended

    def _follow(self) -> None:
        """Do what the life's phase asks for now, and look again when its next step is due."""
        if self._step is not None:
            self._step.cancel()
            self._step = None
        now = self.clock.now()
        if self.life.phase == Phase.ENDING and self._socks and not self.life.open(now):
            for sock in self._socks:
                while self._accept(sock):  # all that wait outside: what is left there would be reset
                    pass
            self._stop()
            self._close_door()
        if self.life.clearing(now):
            for caller in [*self.idle.since, *self.awaited.since]:
                if caller.resting():
                    caller.close()
        if self.life.last_answer is not None and now >= self.life.last_answer:
            self._give_up()
        self._check_end()
        step = self.life.next_step(now)
        if step is not None and (self._ended is None or not self._ended.done()):
            self._step = self.clock.call_at(step, self._follow)

    def _check_end(self) -> None:
        if self._ended is not None and not self._socks and not self._callers:
            self._give_up()

    def _give_up(self) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(None)

    def close(self) -> None:
        """Close all."""
        self._stop()
        self._close_door()
        self.awaited.stop()
        self.idle.stop()
        for caller in list(self._callers):
            caller.close()
