"""The bytes of a request that a server's socket has not taken yet."""

from __future__ import annotations

from oakbridge.node.chunked_encoding import encode_chunk
from oakbridge.node.request_body import StreamedBody
from oakbridge.node.request_writer import EncodedRequest

# A body up to this size is copied behind its head, so that both are written with one call.
MAX_COPIED_BODY_BYTES = 16 * 1024


class UnsentRequest:
    """A request's head, its buffered body and the rest of its streamed body, in this order.

    It keeps no bytes once they are written: the connection may be idle for long.
    """

    __slots__ = ("_body", "_part", "_stream")

    def __init__(self) -> None:
        self._part: memoryview | None = None  # None: nothing was written
        self._body: bytes | bytearray = b""  # after ``_part``; the client's request has it, too
        self._stream: StreamedBody | None = None  # after ``_body``

    def start(self, request: EncodedRequest, stream: StreamedBody | None) -> None:
        """Begin with a request."""
        head, body = request
        if len(body) <= MAX_COPIED_BODY_BYTES:
            head, body = head + body, b""
        self._part, self._body, self._stream = memoryview(head), body, stream

    def clear(self) -> None:
        """Drop all bytes; the request counts as not written."""
        self._part, self._body, self._stream = None, b"", None

    def release(self) -> None:
        """Drop all bytes, as the connection is closed; whether they were written stays known."""
        if not self.is_written():
            self.clear()

    def is_streaming(self) -> bool:
        """Return whether a streamed body is not complete yet."""
        return self._stream is not None

    def is_written(self) -> bool:
        """Return whether the socket took the request's last byte, so that the server may run it."""
        if self._part is None or self._part or self._body:
            return False
        return self._stream is None

    def next_part(self) -> memoryview:
        """Return the bytes to write next; empty if there are none, or none yet."""
        if not self._part:
            self._part = memoryview(self._take())
        return self._part

    def advance(self, count: int) -> None:
        """Drop the first bytes of the current part, as the socket took them."""
        assert self._part is not None
        self._part = self._part[count:]

    def _take(self) -> bytes | bytearray:
        if self._body:
            part, self._body = self._body, b""
            return part
        stream = self._stream
        if stream is None:
            return b""
        chunked = stream.length is None
        if data := stream.take():
            return encode_chunk(data) if chunked else data
        if stream.complete:
            self._stream = None
            return encode_chunk(b"") if chunked else b""
        return b""

    def held_bytes(self) -> int:
        """Return the memory of what is not written; a buffered body belongs to its request."""
        if self._part and isinstance(self._part.obj, bytes):
            return len(self._part)
        return 0
