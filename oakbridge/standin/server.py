"""A stand-in HTTP/1.1 server on a loopback socket."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import Any

import httptools

from oakbridge.standin.behaviour import Behaviour, ServerLoad

MAX_BODY_BYTES = 64 * 1024


class StandInServer:
    """One server.  ``responses`` counts its responses by status."""

    def __init__(self, name: str, behaviour: Behaviour, seed: int = 0) -> None:
        self.name = name
        self.load = ServerLoad(behaviour, seed)
        self.responses: Counter[int] = Counter()
        self.address = ("127.0.0.1", 0)
        self._slots = asyncio.Semaphore(behaviour.slots)
        self._server: asyncio.Server | None = None
        self.connections: set[_ServerConnection] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), "127.0.0.1", port, backlog=1024
        )
        self.address = self._server.sockets[0].getsockname()

    def stop(self) -> None:
        """Close the listener, and reset all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def handle_request(self) -> int | None:
        """Process one request; return its response's status.  A request that hangs takes an hour."""
        work = self.load.accept_request()
        if work is None:
            self.responses[503] += 1
            return 503
        self.load.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.load.waiting -= 1
        self.load.active += 1
        try:
            await asyncio.sleep(work.duration_s if work.status else 3600)
        finally:
            self.load.active -= 1
            self._slots.release()
        self.responses[work.status] += 1
        return work.status


class Connection(asyncio.Protocol):
    """Reads requests one after another, and writes their responses."""

    def __init__(self) -> None:
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._request_id = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's interface
        """Drop the transport."""
        self._transport = None

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse the data; reset the connection if it is malformed or asks for an upgrade."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_message_begin(self) -> None:
        """Forget the previous request's identifier."""
        self._request_id = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the value of X-Request-ID."""
        if name.lower() == b"x-request-id":
            self._request_id = value

    def on_message_complete(self) -> None:
        """Handle the complete request."""
        self.on_request(self._request_id)

    def on_request(self, request_id: bytes) -> None:
        """Handle a complete request; ``request_id`` is empty if it has none."""

    def reply(self, status: int, body: bytes) -> None:
        """Write a response; 503 says that the request was not processed."""
        if self._transport is not None:
            not_processed = b"X-Not-Processed: 1\r\n" if status == 503 else b""
            head = b"HTTP/1.1 %d Answer\r\nContent-Length: %d\r\n%s\r\n" % (
                status,
                len(body),
                not_processed,
            )
            self._transport.write(head + body)


class _ServerConnection(Connection):
    """A connection of one server, which processes the requests in tasks."""

    def __init__(self, server: StandInServer) -> None:
        super().__init__()
        self._server = server
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def on_request(self, request_id: bytes) -> None:
        self._task = asyncio.get_running_loop().create_task(self._respond(request_id))

    async def _respond(self, request_id: bytes) -> None:
        status = await self._server.handle_request()
        if status is not None:
            content = {"server": self._server.name, "request": request_id.decode("latin-1")}
            self.reply(status, json.dumps(content).encode())
