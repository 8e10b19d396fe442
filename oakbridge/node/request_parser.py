"""Parses requests with httptools; enforces size limits and strict framing."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any, cast

import httptools

from oakbridge.node.client_request import ClientRequest, buffer_memory
from oakbridge.node.http_framing import (
    MAX_BODY_BYTES,
    MAX_FRAMING_PER_BODY_BYTE,
    MAX_HEAD_BYTES,
    Headers,
    read_framing,
)
from oakbridge.node.memory_account import HEADER_BYTES, MemoryAccount
from oakbridge.node.request_body import StreamedBody

if TYPE_CHECKING:
    from oakbridge.node.client_connection import ClientConnection

# A body up to this size is buffered: a retry can send it again, and no server is occupied while the
# client sends it.
MAX_BUFFERED_BODY_BYTES = 512 * 1024
# A body up to this size is buffered also when memory is short.
MIN_STREAMED_BODY_BYTES = 64 * 1024
# Parts of a buffered body that are passed on to a stream.
STREAM_PART_BYTES = 64 * 1024
MAX_HEADERS = 512  # each takes memory beyond its bytes

# Headers that identify, frame or classify a request.  A request that repeats one is rejected: the
# node and the server might each use a different value.
SINGLE_VALUE_HEADERS = frozenset({
    b"host", b"content-length", b"transfer-encoding", b"x-request-id", b"x-priority-class", b"x-tenant-id",
    b"x-route-key", b"x-timeout", b"x-retried", b"x-cost", b"idempotency-key", b"expect",
})  # fmt: skip


_HEAD_ENDS = (b"\n\r\n", b"\n\n")


class HeadTooLongError(Exception):
    """Raised within httptools' callbacks, so that the rest of a head is not parsed."""


class RequestPhase(Enum):
    """The part of a request that is being received."""

    IDLE = "idle"  # no request has begun
    HEAD = "head"
    BODY = "body"


# The parser uses these for each header; before Python 3.12 the lookup of an Enum's member is slow.
_IDLE = RequestPhase.IDLE
_HEAD = RequestPhase.HEAD
_BODY = RequestPhase.BODY


class RequestParser:
    """Parses the requests of one connection, and passes each to the connection.

    After the first error, :attr:`error_status` is the status to respond with, and no more bytes may
    be fed.
    """

    __slots__ = (
        "_body",
        "_body_size",
        "_connection",
        "_content_length",
        "_has_duplicate",
        "_head_size",
        "_headers",
        "_is_rejected",
        "_memory",
        "_offers_upgrade",
        "_parser",
        "_partial_head",
        "_single_values",
        "_target",
        "completed_count",
        "error_status",
        "expects_continue",
        "phase",
        "request_bytes",
        "streamed_request",
    )

    def __init__(self, connection: ClientConnection, memory: MemoryAccount) -> None:
        self._connection = connection
        self._memory = memory
        self._parser: Any = httptools.HttpRequestParser(self)
        self.phase = _IDLE
        self.error_status = 0
        self.expects_continue = False  # the client waits for 100 Continue before it sends the body
        # The request whose body is forwarded while it is received.
        self.streamed_request: ClientRequest | None = None
        self.request_bytes = 0  # bytes received since the last read that completed a request
        self.completed_count = 0  # requests
        # Bytes of a head that is not parsed yet, as it is incomplete: its fields as objects would
        # take several times the memory, in blocks that other objects may keep from being returned.
        self._partial_head = bytearray()
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._head_size = 0  # bytes of the headers' names and values
        self._single_values: list[bytes] = []  # names of received headers that may not be repeated
        self._has_duplicate = False
        self._content_length: int | None = None
        self._body: bytes | bytearray = b""
        self._body_size = 0  # bytes received, also those that are not buffered
        self._is_rejected = False  # the memory limit is reached, and the body is discarded
        self._offers_upgrade = False  # the head offers another protocol, and is parsed again

    def feed(self, data: memoryview) -> bool:
        """Parse received bytes; return whether they completed a request.

        ``data`` begins where its buffer begins.
        """
        completed = self.completed_count
        self.request_bytes += len(data)
        if not self._awaits_rest_of_head(data):
            self._parse_guarded(memoryview(self._partial_head) if self._partial_head else data)
            self._partial_head = bytearray()
        streamed = self.streamed_request
        if streamed is not None and streamed.streamed_body is not None:
            streamed.streamed_body.notify_reader()
        if self.completed_count > completed:
            self.request_bytes = 0
            return True
        if self.phase is not _BODY and self._memory.is_exhausted():
            self._reject()
            self.fail(503)
        if self.request_bytes > MAX_HEAD_BYTES and self._is_mostly_framing():
            self.fail(431)
        return False

    def _awaits_rest_of_head(self, data: memoryview) -> bool:
        """Return whether received bytes are kept, as they begin a head without its end."""
        if self.phase is not _IDLE:
            return False
        kept = len(self._partial_head)
        if kept:
            self._partial_head += data
        received = self._partial_head or cast(bytearray, data.obj)
        end = kept + len(data)
        start = max(0, kept - len(_HEAD_ENDS[0]))
        if end > MAX_HEAD_BYTES or any(received.find(s, start, end) >= 0 for s in _HEAD_ENDS):
            return False
        if not kept:
            self._partial_head += data
        return True

    def _parse_guarded(self, data: memoryview) -> None:
        """Parse bytes; malformed ones set the status to respond with."""
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self.fail(400)

    def _parse(self, data: memoryview) -> None:
        """Pass bytes to httptools, which ends a request that offers another protocol at its head.

        No offer is accepted, so that the request goes on in HTTP/1.1 (RFC 9110, 7.8): a new parser
        gets the head without the offer, and then the body.
        """
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                head_end: int = upgrade.args[0]
            if not self._offers_upgrade:  # CONNECT: what follows it is not HTTP
                self.fail(400)
                return
            head = self._head_without_offer()
            self._reset_message()
            self._parser = httptools.HttpRequestParser(self)
            self._parser.feed_data(head)
            data = data[head_end:]

    def _head_without_offer(self) -> bytes:
        """Return the head of the current request without its Upgrade headers."""
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self._parser.get_method(), self._target, version)]
        lines += [name + b": " + value for name, value in self._headers if name != b"upgrade"]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _is_mostly_framing(self) -> bool:
        """Return whether the bytes outside the body exceed the limit."""
        if self.phase is not _BODY:
            return True
        return (
            self.request_bytes - self._body_size
            > 2 * MAX_HEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_size
        )

    def fail(self, status: int) -> None:
        """Set the status to respond with, unless an earlier error has set it."""
        self.error_status = self.error_status or status

    def in_progress(self) -> bool:
        """Return whether a request has begun and is not complete."""
        return self.phase is not _IDLE or self.request_bytes > 0

    def missing_body_bytes(self) -> int:
        """Return how much of the body was not received yet; 0 if its length is unknown."""
        if self.phase is not _BODY or self._content_length is None:
            return 0
        return self._content_length - self._body_size

    def body_is_held_back(self) -> bool:
        """Return whether reading must pause because a streamed body has filled its window."""
        request = self.streamed_request
        body = None if request is None else request.streamed_body
        return body is not None and body.full

    def release(self) -> None:
        """Release the incomplete request, and the reference cycles, as the connection is closed."""
        self._reset_message()
        self._partial_head = bytearray()
        self._parser = None
        del self._connection

    def held_bytes(self) -> int:
        """Return the memory of the incomplete request, without a streamed body."""
        if self.phase is _IDLE:
            return buffer_memory(self._partial_head)
        head = len(self._target) + self._head_size + HEADER_BYTES * len(self._headers)
        return head + buffer_memory(self._body)

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        """Note that the head of a request begins."""
        self.phase = _HEAD

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header.  Trailers are ignored: they must not override a value of the head."""
        if self.phase is _BODY:
            return
        name = name.lower()
        if name in SINGLE_VALUE_HEADERS:
            self._has_duplicate = self._has_duplicate or name in self._single_values
            self._single_values.append(name)
        self._head_size += len(name) + len(value)
        if len(self._headers) >= MAX_HEADERS or self._head_size > MAX_HEAD_BYTES:
            self.fail(431)
            raise HeadTooLongError
        self._headers.append((name, value.strip(b" \t")))  # RFC 9112, 5.1

    def on_headers_complete(self) -> None:
        """Reject a request whose head is too long or ambiguous; otherwise expect its body."""
        if self._parser.should_upgrade() and self._parser.get_method() != b"CONNECT":
            self._offers_upgrade = True
            return None
        self.phase = _BODY
        if len(self._target) + self._head_size > MAX_HEAD_BYTES:
            return self.fail(431)
        fault, self._content_length, _ = read_framing(self._headers)
        if self._has_duplicate or fault:
            return self.fail(400 if self._has_duplicate else fault)
        if b"expect" in self._single_values:
            expected = dict(self._headers)[b"expect"].lower()
            self.expects_continue = not self._is_http10() and expected == b"100-continue"
            if not self.expects_continue:
                return self.fail(417)  # RFC 9110, 10.1.1
        if self._memory.rejects_requests():
            self._reject()
            if self.error_status:
                return None
        return self._connection.on_head()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, or forward it if the body is streamed."""
        if self.error_status:
            return
        self._body_size += len(data)
        if self._body_size > MAX_BODY_BYTES:
            self.fail(413)
        elif self._is_rejected:
            pass
        elif self.streamed_request is not None and self.streamed_request.streamed_body is not None:
            self.streamed_request.streamed_body.feed(data)
        else:
            self._buffer(data)

    def on_message_complete(self) -> None:
        """Pass a complete request to the connection."""
        if self._offers_upgrade:
            return  # only its head was parsed
        self.completed_count += 1
        request = self.streamed_request
        if request is not None and request.streamed_body is not None:
            self.streamed_request = None
            request.received_at = self._connection.read_delay.last_sent_at()
            request.streamed_body.finish()
            self._connection.on_body_received(request)
        elif not self.error_status:
            self._connection.on_request(self._build_request(self._body))
        self._reset_message()
        self.phase = _IDLE
        self.expects_continue = False

    # ---- requests and their bodies

    def _is_http10(self) -> bool:
        return bool(self._parser.get_http_version() == "1.0")

    def _build_request(self, body: bytes | bytearray) -> ClientRequest:
        request = ClientRequest(
            self._connection,
            self._parser.get_method(),
            origin_form(self._target),
            self._headers,
            body,
        )
        if self._is_rejected:
            request.mark_rejected_for_memory()
        # After CONNECT the client may send bytes that are not HTTP.
        is_connect = self._parser.should_upgrade()
        request.keep_alive = bool(self._parser.should_keep_alive()) and not is_connect
        request.http10 = self._is_http10()
        request.received_at = self._connection.read_delay.last_sent_at()
        return request

    def _buffer(self, data: bytes) -> None:
        if self._memory.is_exhausted():
            self._reject()
            return
        if not self._body:
            self._body = data
        else:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += data
        if self._body_size > self._max_buffered_bytes():
            self._start_streaming()

    def _max_buffered_bytes(self) -> int:
        """Return up to which size a body is buffered."""
        if self._memory.rejects_requests():
            return 0
        return MIN_STREAMED_BODY_BYTES if self._memory.is_short() else MAX_BUFFERED_BODY_BYTES

    def reject_incomplete(self) -> None:
        """Reject the request that is being received, and release what it holds."""
        self._reject()
        self.fail(503)

    def _reject(self) -> None:
        """Reject the request, as the memory limit is reached; its body is received and discarded."""
        self._is_rejected = True
        self._body = b""
        self._partial_head = bytearray()
        self._headers = []
        self._head_size = 0
        if self.expects_continue:
            self.fail(503)  # the client sends no body before it gets a response

    def _start_streaming(self) -> None:
        """Pass the request to the connection before its body is complete."""
        request = self._build_request(b"")
        body = StreamedBody(self._content_length, self._memory, self._connection.update_reading)
        request.streamed_body = body
        received, self._body = memoryview(self._body), b""
        for start in range(0, len(received), STREAM_PART_BYTES):
            body.feed(bytes(received[start : start + STREAM_PART_BYTES]))
        self.streamed_request = request
        self._connection.on_streamed_request(request)


def origin_form(target: bytes) -> bytes:
    """Return the path and query of a request target in absolute form (RFC 9112, 3.2.2).

    A target in another form is returned unchanged.
    """
    if target[:1] == b"/" or b"://" not in target:
        return target
    rest = target.split(b"://", 1)[1]
    for i, char in enumerate(rest):
        if char in b"/?":
            return rest[i:] if char == ord("/") else b"/" + rest[i:]
    return b"/"
