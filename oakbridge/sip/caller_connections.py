"""TCP connections that callers open to the proxy."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from oakbridge.sip.errors import SipMessageError
from oakbridge.sip.framing import PONG, MessageStream
from oakbridge.sip.peer import Peer

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 1024
# A connection is aborted when more bytes than this wait to be sent, as its peer does not read.
MAX_WRITE_BUFFER_BYTES = 256 * 1024


class CallerConnection(asyncio.Protocol):
    """The protocol of one TCP connection."""

    def __init__(self, connections: CallerConnections) -> None:
        self._connections = connections
        self._stream = MessageStream()
        self.transport: asyncio.Transport | None = None
        self.peer: Peer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        host, port = self.transport.get_extra_info("peername")[:2]
        self.peer = self._connections.add(self, host, port)

    def data_received(self, data: bytes) -> None:
        """Pass on complete messages; abort the connection if its bytes can't be framed."""
        assert self.peer is not None
        assert self.transport is not None
        try:
            messages = self._stream.feed(data)
        except SipMessageError as error:
            log.warning(
                "sip connection aborted: peer=%s:%d error=%s", self.peer.host, self.peer.port, error
            )
            self.transport.abort()
            return
        for _ in range(self._stream.pending_pongs):
            self.transport.write(PONG)
        self._stream.pending_pongs = 0
        for message in messages:
            self._connections.on_message(self.peer, message)

    def connection_lost(self, _error: Exception | None) -> None:
        """Unregister the connection."""
        if self.peer is not None:
            self._connections.remove(self.peer)

    def send(self, data: bytes) -> None:
        """Send bytes; abort the connection of a peer that does not read."""
        if self.transport is None:
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            self.transport.abort()


class CallerConnections:
    """The open connections by number; one opened above ``MAX_CONNECTIONS`` is aborted."""

    def __init__(
        self,
        on_message: Callable[[Peer, bytes], None],
        on_lost: Callable[[Peer], None],
    ) -> None:
        self.on_message = on_message
        self._on_lost = on_lost
        self._connections: dict[int, CallerConnection] = {}
        self._last_number = 0

    def new_connection(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def add(self, connection: CallerConnection, host: str, port: int) -> Peer:
        """Register a connection, and return its peer with the connection's number."""
        self._last_number += 1
        self._connections[self._last_number] = connection
        if len(self._connections) > MAX_CONNECTIONS and connection.transport is not None:
            connection.transport.abort()
        return Peer("TCP", host, port, self._last_number)

    def remove(self, peer: Peer) -> None:
        """Remove a closed connection, and report its peer to ``on_lost``."""
        self._connections.pop(peer.connection, None)
        self._on_lost(peer)

    def send(self, data: bytes, peer: Peer) -> None:
        """Send bytes on a peer's connection, if it is still open."""
        connection = self._connections.get(peer.connection)
        if connection is not None:
            connection.send(data)

    def close(self) -> None:
        """Close each connection once its written bytes are sent."""
        for connection in list(self._connections.values()):
            if connection.transport is not None:
                connection.transport.close()
