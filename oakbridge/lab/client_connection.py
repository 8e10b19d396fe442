"""A client's HTTP/1.1 connection to a node, for one request at a time."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass

import httptools


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response."""

    status: int
    retry_after_s: float = 0.0


class ClientConnection(asyncio.Protocol):
    """One connection; it counts answers that nobody asked for."""

    def __init__(self) -> None:
        """Wait for the transport."""
        self.transport: asyncio.Transport | None = None  # None: not open, or lost
        self.unsolicited_answers = 0
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[Answer] | None = None
        self._retry_after_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's form
        """Fail the request under way."""
        self.transport = None
        self._fail()

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer."""
        if self._answer is None or self._answer.done():
            self.unsolicited_answers += 1
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail()

    def _fail(self) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionResetError())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep Retry-After; httptools calls this for each header."""
        if name.lower() == b"retry-after":
            with suppress(ValueError):
                self._retry_after_s = float(value)

    def on_message_complete(self) -> None:
        """Hand out the answer; httptools calls this at its end."""
        if self._answer is not None and not self._answer.done():
            status = int(self._parser.get_status_code())
            self._answer.set_result(Answer(status, self._retry_after_s))

    async def send_request(self, request: bytes) -> Answer:
        """Send a request and wait for its answer.  Raise OSError where the connection is lost."""
        if self.transport is None:
            raise ConnectionResetError
        self._parser = httptools.HttpResponseParser(self)
        self._retry_after_s = 0.0
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return await self._answer
