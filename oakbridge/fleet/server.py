"""The agent's end of the protocol: an HTTP server over mutual TLS.

Connections, message sizes and times are limited.  The TLS handshake fails without a certificate of
this fleet, because the context trusts only the fleet's authority.  The identity in the certificate
is checked after the handshake.
"""

from __future__ import annotations

import asyncio
import json
import logging
import ssl
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import h11

from oakbridge.fleet.codec import MAX_BODY_BYTES, MAX_HEAD_BYTES
from oakbridge.fleet.errors import FleetMessageError
from oakbridge.fleet.http import (
    READ_CHUNK_BYTES,
    HttpMessage,
    is_reusable,
    peer_identity,
    receive_message,
    send_message,
)
from oakbridge.fleet.identity import Identity
from oakbridge.fleet.messages import Response

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 64
HANDSHAKE_TIMEOUT_S = 5.0
IO_TIMEOUT_S = 20.0  # for receiving a whole request, and for the peer to read a response

Handler = Callable[[Identity, str, str, bytes], Awaitable[Response]]


class AgentServer:
    """Listens for operators, and passes each connection's requests to a handler, one at a time."""

    def __init__(self, context: ssl.SSLContext, fleet: str, handler: Handler) -> None:
        """Take a handler; it gets the sender's identity, the method, the path and the body."""
        self._context = context
        self._fleet = fleet
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self.address = ("", 0)

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    async def start(self, address: tuple[str, int]) -> None:
        """Listen on a host and port; ``address`` then has the actual port.  Raises OSError."""
        self._server = await asyncio.start_server(
            self._serve_connection,
            *address,
            ssl=self._context,
            ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
            limit=READ_CHUNK_BYTES,
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (
            OSError,
            TimeoutError,
            EOFError,
            h11.RemoteProtocolError,
            FleetMessageError,
        ) as error:
            log.debug("operator's connection closed: error=%s", error)
        except Exception:
            log.exception("operator's connection failed")
        finally:
            self._connections.discard(writer)
            if writer.is_closing():
                writer.transport.abort()
            else:
                writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        identity = peer_identity(writer)
        if identity.fleet != self._fleet:
            raise FleetMessageError(
                "certificate", f"one of fleet {self._fleet}, got {identity.uri}"
            )
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        while await self._serve_request(connection, identity, reader, writer):
            connection.start_next_cycle()

    async def _serve_request(
        self,
        connection: h11.Connection,
        identity: Identity,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection can be reused."""
        async with asyncio.timeout(IO_TIMEOUT_S):
            message = await receive_message(connection, reader)
        if message is None:
            return False
        response = await self._respond(identity, message)
        body = json.dumps(response.body).encode()
        headers = [("content-type", "application/json"), ("content-length", str(len(body)))]
        if message.body is None:  # the rest of the request is not read
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        send_message(connection, writer, head, body)
        async with asyncio.timeout(IO_TIMEOUT_S):
            await writer.drain()
        return message.body is not None and is_reusable(connection)

    async def _respond(self, identity: Identity, message: HttpMessage) -> Response:
        request, body = message
        if body is None:
            return _error_response(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"body: expected at most {MAX_BODY_BYTES} bytes",
            )
        method, path = request.method.decode(), request.target.decode("latin-1")
        try:
            return await self._handler(identity, method, path, body)
        except FleetMessageError as error:
            return _error_response(HTTPStatus.BAD_REQUEST, str(error))
        except Exception as error:
            log.exception("request of an operator failed")
            return _error_response(
                HTTPStatus.INTERNAL_SERVER_ERROR,
                f"the agent failed on this: {type(error).__name__}",
            )


def _error_response(status: HTTPStatus, text: str) -> Response:
    return Response(status, {"error": text})
