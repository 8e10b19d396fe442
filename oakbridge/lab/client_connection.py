"""A client's HTTP/1.1 connection to a node, for one request at a time."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

import httptools


@dataclass(frozen=True, slots=True)
class Response:
    """The status of a complete response, and its Retry-After in seconds (0: none)."""

    status: int
    retry_after_s: float = 0.0


class ClientConnection(asyncio.Protocol):
    """One connection; it counts data that comes without a request."""

    def __init__(self) -> None:
        """Create a connection that is not open yet."""
        self.transport: asyncio.Transport | None = None  # None: not open, or closed
        self.unsolicited_responses = 0
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future[Response] | None = None
        self._retry_after_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's interface
        """Fail the request in flight."""
        self.transport = None
        self._fail()

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self._response is None or self._response.done():
            self.unsolicited_responses += 1
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail()

    def _fail(self) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(ConnectionResetError())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep Retry-After; httptools calls this for each header."""
        if name.lower() == b"retry-after":
            with suppress(ValueError):
                self._retry_after_s = float(value)

    def on_message_complete(self) -> None:
        """Finish the request; httptools calls this at the end of the response."""
        if self._response is not None and not self._response.done():
            status = int(self._parser.get_status_code())
            self._response.set_result(Response(status, self._retry_after_s))

    async def send_request(self, request: bytes) -> Response:
        """Send a request and return its response.  Raises OSError if the connection closes."""
        if self.transport is None:
            raise ConnectionResetError
        self._parser = httptools.HttpResponseParser(self)
        self._retry_after_s = 0.0
        self._response = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return await self._response
