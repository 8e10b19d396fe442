"""The callers' side: takes requests, gives each exactly one answer, and notices callers that leave."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import httptools

from topazwall.net.clock import Clock
from topazwall.net.config import Address
from topazwall.net.upstream import MAX_BODY, MAX_HEAD, Headers

log = logging.getLogger(__name__)

READY = b"/-/ready"
BACKLOG = 1024
TURNED_AWAY = 32  # connections past the limit that are still told so, before accepting stops
PIPELINED = 16  # requests that may wait on one connection before reading stops
LINGER_S = 1.0  # how long a caller that sent what can't be read may go on before it is cut off
CHANGEOVER = 500_000  # new connections go on coming for 0.2 to 0.4 s after SIGTERM
SWEEP = 100_000  # after the changeover, for callers that it let in last
# SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more after SIGTERM.
LONGEST = 3_000_000
LAST_ANSWER = 600_000

# Between two hops only; what is said about this hop's framing is said anew on the next.
HOP = frozenset({
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"content-length", b"expect", b"x-timeout", b"x-server-load",
})  # fmt: skip

_REASON = {
    200: b"OK", 400: b"Bad Request", 405: b"Method Not Allowed", 413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable",
}  # fmt: skip
_TIMEOUT = re.compile(rb"(\d{1,12})([mu])")


class Request:
    """One request that was taken: what it says, and whom it is owed to."""

    __slots__ = ("id", "method", "url", "headers", "body", "named", "taken", "time_left", "keep_alive",
                 "caller", "answered", "attempts", "attempt", "overdue")  # fmt: skip

    def __init__(self, caller: Caller, method: bytes, url: bytes, headers: Headers, body: bytes) -> None:
        self.caller, self.method, self.url, self.headers, self.body = caller, method, url, headers, body
        self.named = dict(headers)
        self.id = self.taken = 0
        self.time_left: int | None = None  # the caller may not tell
        self.keep_alive = True
        self.answered = False  # nothing more is owed
        self.attempts = 0  # how many were made
        self.attempt: Any = None
        self.overdue: asyncio.TimerHandle | None = None

    def text(self, name: bytes) -> str:
        """A header as text; empty if it is not there."""
        return self.named.get(name, b"").decode("latin-1")


class Taker(Protocol):
    """Who gets the requests: the node."""

    def serving(self) -> bool:
        """Whether requests can be served."""

    def knows(self, klass: str) -> bool:
        """Whether there is such a class of requests."""

    def take(self, request: Request) -> None:
        """Take a request over; it is owed one answer."""

    def left(self, request: Request) -> None:
        """Hear that the caller of a request has gone away."""


def parse_timeout(value: bytes) -> int | None:
    """``X-Timeout`` in microseconds; None if it can't be read."""
    match = _TIMEOUT.fullmatch(value.strip())
    return None if match is None else int(match[1]) * (1000 if match[2] == b"m" else 1)


def render(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """An answer's bytes."""
    lines = [b"HTTP/1.1 %d %s" % (status, _REASON.get(status, b"Answer"))]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"content-length: %d" % len(body))
    if close:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Caller(asyncio.Protocol):
    """One caller's connection: one request at a time, further ones wait their turn."""

    def __init__(self, server: Server, excess: bool) -> None:
        self.server, self.excess = server, excess
        self.transport: asyncio.Transport | None = None
        self.current: Request | None = None
        self.pending: deque[Request] = deque()
        self.fed = 0  # bytes of a request that is not whole yet
        self.broken = 0  # the status that ends this connection once all that was taken is answered
        self.blocked = self.paused = False
        self.parser: Any = httptools.HttpRequestParser(self)
        self._begin()

    def _begin(self) -> None:
        self.url = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size = 0

    # ---- asyncio's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.rests(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the caller is gone, if it was still owed an answer."""
        self.transport = None
        self.pending.clear()
        request, self.current = self.current, None
        self.server.lost(self)
        if request is not None and not request.answered:
            request.answered = True
            self.server.taker.left(request)

    def data_received(self, data: bytes) -> None:
        """Read requests; what can't be read ends the connection once earlier ones are answered."""
        if self.broken:
            return
        taken, self.fed = len(self.pending), self.fed + len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):  # upgrades are not served
            self.broken = self.broken or 400
        if len(self.pending) > taken:
            self.fed = 0
        elif self.fed > MAX_BODY + 2 * MAX_HEAD:
            self.broken = self.broken or 431
        self._proceed()
        if len(self.pending) >= PIPELINED and self.transport is not None and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """Start nothing more for a caller that does not read its answers."""
        self.blocked = True

    def resume_writing(self) -> None:
        """Go on."""
        self.blocked = False
        self._proceed()

    # ---- the parser's calls

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        """Take a part of the body, within the bound."""
        self.size += len(data)
        if self.size > MAX_BODY:
            self.broken = self.broken or 413
        else:
            self.body.append(data)

    def on_message_complete(self) -> None:
        """Take a whole request; its time counts from here."""
        request = Request(self, self.parser.get_method(), self.url, self.headers, b"".join(self.body))
        request.keep_alive = bool(self.parser.should_keep_alive())
        request.taken = self.server.clock.now()
        self._begin()
        if not self.broken:
            self.pending.append(request)

    # ---- answers

    def _proceed(self) -> None:
        """Start the next request, or end the connection, if nothing is out."""
        while self.current is None and not self.blocked and self.pending and self.transport is not None:
            self.current = self.pending.popleft()
            self.server.stirs(self)
            self.server.handle(self.current)
        if self.current is None and not self.pending and self.transport is not None and self.broken:
            self._write(self.broken, [], b"", close=True)
        if self.paused and not self.pending and self.transport is not None and not self.broken:
            self.paused = False
            self.transport.resume_reading()

    def answer(self, request: Request, status: int, headers: Headers, body: bytes) -> None:
        """Give a request its one answer."""
        if request.answered or request is not self.current:
            return
        request.answered = True
        self.current = None
        last = status in (400, 405) or self.excess or not request.keep_alive or self.server.leaving
        close = last and not (self.pending and request.keep_alive)
        self._write(status, headers, body, close)
        if self.transport is not None:
            self.server.rests(self)
            if not close and self.pending:
                self.server.soon(self._proceed)  # not from in here: a long pipeline would nest as deep
            elif self.broken:
                self._proceed()

    def _write(self, status: int, headers: Headers, body: bytes, close: bool) -> None:
        if self.transport is None:
            return
        self.transport.write(render(status, headers, body, close))
        if close:
            transport, self.transport = self.transport, None
            self.pending.clear()
            if self.broken:
                # Closing on bytes that were not read resets the connection, and takes the answer along:
                # what the caller still writes is read and dropped for a while.
                transport.write_eof()
                self.server.loop.call_later(LINGER_S, transport.close)
            else:
                self.broken = status
                transport.close()

    def resting(self) -> bool:
        """Whether nothing is owed and nothing has begun on this connection."""
        return self.current is None and not self.pending and not self.fed

    def close(self) -> None:
        """Close between requests."""
        if self.transport is not None:
            self.transport.close()


class Server:
    """Accepts callers within a bound, and hands their requests on."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, taker: Taker, address: Address, most: int
    ) -> None:
        self.loop, self.clock, self.taker, self.most = loop, clock, taker, most
        self.leaving = False
        self.soon: Callable[[Callable[[], None]], object] = loop.call_soon
        self._callers: set[Caller] = set()
        self._idle: dict[Caller, None] = {}  # longest idle first
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepting = False
        self._ended: asyncio.Future[None] | None = None
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._sock.bind(address)
            self._sock.listen(BACKLOG)
        except OSError:
            self._sock.close()
            raise
        self.address: Address = self._sock.getsockname()

    def start(self) -> None:
        """Accept."""
        if not self._accepting and self._sock.fileno() >= 0:
            self._accepting = True
            self.loop.add_reader(self._sock, self._accept)

    def _stop(self) -> None:
        if self._accepting:
            self._accepting = False
            self.loop.remove_reader(self._sock)

    def _accept(self) -> None:
        """Take what waits.  Past the bound idle callers go, a few are told, and the rest wait outside."""
        while True:
            if len(self._callers) >= self.most + TURNED_AWAY:
                log.warning("%d callers: accepting stops", len(self._callers))
                return self._stop()
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as e:  # no descriptor is left: accepting goes on when a caller has left
                log.error("accepting stops: %s", e)
                return self._stop() if self._callers else None
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if len(self._callers) >= self.most:
                self._close_one_idle()
            caller = Caller(self, len(self._callers) >= self.most)
            self._callers.add(caller)
            task = self.loop.create_task(self._attach(caller, sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _attach(self, caller: Caller, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: caller, sock)
        except Exception:  # contained: one caller's connection must not end the node
            log.exception("a caller's connection failed")
            sock.close()
            self.lost(caller)

    def _close_one_idle(self) -> None:
        for caller in self._idle:
            if caller.resting():
                self._callers.discard(caller)  # its place is free at once, its descriptor is from the reserve
                return caller.close()

    def rests(self, caller: Caller) -> None:
        """A caller is owed nothing."""
        if caller.current is None:
            self._idle[caller] = None

    def stirs(self, caller: Caller) -> None:
        """A caller has a request out."""
        self._idle.pop(caller, None)

    def lost(self, caller: Caller) -> None:
        """A connection has ended."""
        self._callers.discard(caller)
        self._idle.pop(caller, None)
        if len(self._callers) < self.most + TURNED_AWAY and not self._ended:
            self.start()
        self._check_end()

    def handle(self, request: Request) -> None:
        """Answer what is the node's own or can't be read; hand on the rest, with the time it has left."""
        caller = request.caller
        if request.url.split(b"?", 1)[0] == READY:
            ready = self.taker.serving() and not self.leaving
            return caller.answer(request, 200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
        timeout = request.named.get(b"x-timeout")
        left = None if timeout is None else parse_timeout(timeout)
        if request.method in (b"HEAD", b"CONNECT"):
            return caller.answer(request, 405, [], b"")
        if not request.named.get(b"x-request-id") or (left is None and timeout is not None):
            return caller.answer(request, 400, [], b"X-Request-ID or X-Timeout is missing or malformed\n")
        if not self.taker.knows(request.text(b"x-priority-class")):
            return caller.answer(request, 400, [], b"unknown X-Priority-Class\n")
        if caller.excess:
            return caller.answer(request, 503, [], b"")
        request.time_left = left
        try:
            self.taker.take(request)
        except Exception:  # contained: this request has failed, the others go on
            log.exception("a request failed")
            caller.answer(request, 500, [], b"")

    # ---- the end

    async def leave(self, longest: int) -> None:
        """Accept through the changeover, answer what was taken, close the rest; return when all is done."""
        self.leaving = True
        self._ended = self.loop.create_future()
        timers = [
            self.clock.call_at(self.clock.now() + CHANGEOVER, self._end_changeover),
            self.clock.call_at(self.clock.now() + min(longest, LONGEST) + LAST_ANSWER, self._give_up),
        ]
        await self._ended
        for timer in timers:
            timer.cancel()

    def _end_changeover(self) -> None:
        """Take the last that wait outside, then close the door, and soon after what is between requests."""
        self._accept()
        self._stop()
        self._sock.close()
        self.clock.call_at(self.clock.now() + SWEEP, self._sweep)

    def _sweep(self) -> None:
        for caller in list(self._idle):
            if caller.resting():
                caller.close()
        self._check_end()

    def _check_end(self) -> None:
        if self._ended is not None and self._sock.fileno() < 0 and not self._callers:
            self._give_up()

    def _give_up(self) -> None:
        if self._ended is not None and not self._ended.done():
            self._ended.set_result(None)

    def close(self) -> None:
        """Close all."""
        self._stop()
        self._sock.close()
        for caller in list(self._callers):
            caller.close()
