"""A caller's connection."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from typing import TYPE_CHECKING, Any, cast

import httptools

from oakbridge.node.chunks import chunk
from oakbridge.node.client_request import ONCE, Request, Source, absolute
from oakbridge.node.http_framing import FRAMING, MAX_HEAD, MOST_BODY, Headers, framing
from oakbridge.node.request_body import Upload
from oakbridge.node.response_writer import render, render_head
from oakbridge.node.socket_state import outgoing, progressed

if TYPE_CHECKING:
    from oakbridge.node.http_server import Server

PIPELINED = 16  # requests that may wait on one connection before reading stops
PIPELINED_MOST = 64  # and those that are taken of what one read has brought
BODY_LEAST = 64 * 1024  # bytes of a body that have to come in that time: a slow caller writes 64 kB a second
LINGER = 2  # such times in which a caller that was told to go may still write
# A body up to this size is taken whole first: it can be tried again, and holds no server up meanwhile.
HOLD = 512 * 1024
HOLD_LEAST = 64 * 1024  # and up to this where many bodies are held
MOVE_AGAIN_S = 0.01  # a caller that is still being written to is looked at again before it moves on
ESTABLISHED = b"\x01"  # a connection's state in the kernel's TCP_INFO while neither side has ended


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
