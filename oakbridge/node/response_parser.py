"""Parses responses of servers, with limits on their size and framing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import httptools

from oakbridge.node.attempt import AttemptEnd, ResponseSink
from oakbridge.node.http_framing import (
    MAX_BODY_BYTES,
    MAX_FRAMING_PER_BODY_BYTE,
    MAX_HEAD_BYTES,
    Headers,
    read_framing,
)
from oakbridge.node.memory_account import HEADER_BYTES, MemoryAccount
from oakbridge.policy.events import AttemptResult

# A response body up to this size is buffered, so that its request can be retried if it breaks off.
MAX_BUFFERED_BYTES = 64 * 1024
STATUS_OK = 200


class ResponseError(ValueError):
    """The bytes are not a usable response, and their connection can't be used any more."""


def _no_sink() -> ResponseSink | None:
    """Return that no response is wanted, as its connection is closed."""
    return None


class ResponseParser:
    """Parses the response to one request at a time; httptools calls the ``on_`` methods.

    A short body is buffered; a long one is streamed to the sink that ``open_sink`` returns.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_bytes_read",
        "_finishes_at_close",
        "_headers_complete",
        "_memory",
        "_open_sink",
        "_parser",
        "_unusable",
        "complete",
        "content_length",
        "headers",
        "reusable",
        "sink",
        "started",
        "status",
    )

    def __init__(self, open_sink: Callable[[], ResponseSink | None], memory: MemoryAccount) -> None:
        """``open_sink``: returns the sink of a long body; None if the response is not wanted."""
        self._open_sink = open_sink
        self._memory = memory
        self.reset()

    def reset(self) -> None:
        """Prepare for the response to the next request."""
        self._parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: Headers = []
        self.content_length: int | None = None
        self.started = False
        self.complete = False
        self.reusable = False  # whether the connection is, once the response is complete
        self.sink: ResponseSink | None = None
        self._body: list[bytes] = []  # of a response with the result OK; others are not forwarded
        self._body_bytes = 0
        self._bytes_read = 0
        self._headers_complete = False
        self._finishes_at_close = False
        self._unusable = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise ResponseError if they are not a usable response."""
        self._bytes_read += len(data)
        try:
            self._parser.feed_data(data)
        # An upgrade is handled like an invalid response, as the node requests none.
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise ResponseError(f"expected an HTTP/1.1 response: {error}") from None
            self.reusable = False
        max_framing = 2 * MAX_HEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        if self._unusable or self._bytes_read - self._body_bytes > max_framing:
            raise ResponseError("expected a response of bounded size with one clear end")

    def held_bytes(self) -> int:
        """Return the memory of the incomplete response, without the bytes passed to the sink."""
        held = HEADER_BYTES * (len(self.headers) + len(self._body))
        if self._body:
            held += self._body_bytes
        return held

    def may_be_long(self) -> bool:
        """Return whether the response is buffered, and may be longer than would be buffered."""
        is_buffered = self._headers_complete and not self.complete and self.sink is None
        if not is_buffered or self.status != STATUS_OK:
            return False
        return self.content_length is None or self.is_long()

    def is_long(self) -> bool:
        """Return whether the body is known to be longer than would be buffered."""
        return max(self._body_bytes, self.content_length or 0) > MAX_BUFFERED_BYTES

    def ends_at_close(self) -> bool:
        """Return whether the response extends to the close of its connection (RFC 9112, 6.3, 8)."""
        return self._finishes_at_close

    def finish_at_close(self) -> bool:
        """Complete a response that extends to the close of its connection; False if it does not."""
        if not self._finishes_at_close or not self.status:
            return False
        self.complete = True
        self.reusable = False
        return True

    def result(self) -> AttemptResult:
        """Return the result of the attempt by the response's status and headers."""
        if self.status == STATUS_OK:
            return AttemptResult.OK
        if self.status in (503, 504) and (b"x-not-processed", b"1") in self.headers:
            return AttemptResult.REJECTED
        return AttemptResult.ERROR

    def take(self, result: AttemptResult) -> AttemptEnd:
        """Return the complete response, and release it: the connection may be idle for long."""
        end = AttemptEnd(result, self.headers, b"".join(self._body), self.status)
        self.headers = []
        self._body = []
        return end

    def release(self) -> None:
        """Release the incomplete response, and the reference cycles, as the connection is closed."""
        self.headers = []
        self._body = []
        self._parser = None
        self._open_sink = _no_sink

    def detach_sink(self) -> ResponseSink | None:
        """Return the sink, if there is one, and write nothing more to it."""
        sink, self.sink = self.sink, None
        return sink

    # ---- httptools' callbacks

    def on_message_begin(self) -> None:
        """Handle the start of a response, or bytes after a complete one."""
        if self.complete:
            self.reusable = False
        self.started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; trailers, and bytes after the response, are ignored."""
        if not self.complete and not self._headers_complete:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Read the status and the framing; with an ambiguous end the response is unusable."""
        if self.complete:
            return
        self._headers_complete = True
        self.status = self._parser.get_status_code()
        error_status, self.content_length, chunked = read_framing(self.headers)
        self._unusable = error_status != 0
        has_body = self.status >= 200 and self.status not in (204, 304)
        self._finishes_at_close = has_body and self.content_length is None and not chunked

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, or stream it if the body is too long to be buffered."""
        if self.complete or self._unusable:
            return
        self._body_bytes += len(data)
        if self.sink is not None:
            if self._body_bytes > MAX_BODY_BYTES:
                self._unusable = True
            else:
                self.sink.write_body(data)
            return
        max_buffered = MAX_BUFFERED_BYTES
        if self.status == STATUS_OK:
            self._body.append(data)
            max_buffered = self._memory.scaled(MAX_BUFFERED_BYTES)
        if max(self._body_bytes, self.content_length or 0) > max_buffered:
            self.start_streaming()

    def start_streaming(self) -> None:
        """Write the buffered parts to the sink, which then receives all further parts."""
        self.sink = self._open_sink()
        if self.sink is None:
            self._unusable = True
            return
        parts, self._body = self._body, []
        for part in parts:
            self.sink.write_body(part)

    def on_message_complete(self) -> None:
        """Complete the response; an interim response (1xx) is followed by another one."""
        if self.complete:
            self.reusable = False  # these bytes belong to no request
        elif self.status < 200 and self.status != 101:
            self.headers = []
            self.started = False
            self._headers_complete = False
        else:
            self.complete = True
            self.reusable = bool(self._parser.should_keep_alive())
