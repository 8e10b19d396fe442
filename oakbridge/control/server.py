"""A node's end of the control socket: a Unix socket that only its owner may use."""

from __future__ import annotations

import asyncio
import inspect
import logging
import os
import socket
import stat
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from oakbridge.control.errors import ProtocolError, RequestRejectedError, SocketInUseError
from oakbridge.control.protocol import (
    MAX_REQUEST_BYTES,
    LineSplitter,
    Request,
    decode_request,
    encode_error,
    encode_response,
)

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16
IDLE_TIMEOUT_S = 30.0  # for a connection to send something, and to read its response
CONNECT_TIMEOUT_S = 1.0  # of the test whether another node listens on the socket
DIRECTORY_MODE = 0o700
SOCKET_UMASK = 0o177  # leaves the owner's read and write
ROOT_UID = 0
PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group, as SO_PEERCRED gives them

Handler = Callable[[Request], Awaitable[Any] | Any]


class ControlServer:
    """Serve each connection's requests one after another."""

    def __init__(self, path: Path, handler: Handler) -> None:
        """Serve at ``path`` once started.

        ``handler`` returns a request's result or an awaitable of it, or raises RequestRejectedError
        or ValueError with the reason.
        """
        self.path = path
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._connections: set[asyncio.StreamWriter] = set()

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen.  Raises OSError with the path in its text."""
        claim_socket_path(self.path)
        previous_umask = os.umask(SOCKET_UMASK)
        try:
            self._server = await asyncio.start_unix_server(self._serve, str(self.path))
        finally:
            os.umask(previous_umask)
        self._inode = self.path.stat().st_ino

    def close(self) -> None:
        """Stop listening, close all connections and remove the socket."""
        if self._server is None:
            return
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()
        with suppress(OSError):
            # Another node may have put a socket of its own at this path.
            if self.path.stat().st_ino == self._inode:
                self.path.unlink()

    async def __aenter__(self) -> ControlServer:
        """Listen.  Raises OSError with the path in its text."""
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close."""
        self.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends, falls silent or breaks the protocol."""
        if len(self._connections) >= MAX_CONNECTIONS or not _is_trusted(writer):
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except ProtocolError as e:
            writer.write(encode_error(str(e)))
        except (OSError, TimeoutError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Raise ProtocolError, OSError or TimeoutError where the connection can't go on."""
        lines = LineSplitter(MAX_REQUEST_BYTES)
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                data = await reader.read(MAX_REQUEST_BYTES)
            if not data:
                return
            for line in lines.feed(data):
                writer.write(await self._respond(line))
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                await writer.drain()

    async def _respond(self, line: bytes) -> bytes:
        """Return the response to one request.

        An unexpected exception in the handler is logged and reported; it ends neither the connection
        nor the node.
        """
        try:
            result = self._handler(decode_request(line))
            if inspect.isawaitable(result):
                result = await result
            return encode_response(result)
        except (RequestRejectedError, ValueError) as e:
            return encode_error(str(e))
        except Exception as e:
            log.exception("a request on the control socket failed")
            return encode_error(f"the node failed on this: {type(e).__name__}")


def claim_socket_path(path: Path) -> None:
    """Make the directory, and remove the socket of a node that has died.

    Raises SocketInUseError where another node or another kind of file is at the path, or another OSError.
    """
    path.parent.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
    try:
        found = path.lstat()
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(found.st_mode):
        raise SocketInUseError(path, "expected a socket or nothing, and something else is there")
    if _is_listening(path):
        raise SocketInUseError(path, "another node listens there")
    path.unlink(missing_ok=True)


def _is_listening(path: Path) -> bool:
    """Return whether a process listens on a socket.  Raises SocketInUseError where that can't be told."""
    with socket.socket(socket.AF_UNIX) as client:
        client.settimeout(CONNECT_TIMEOUT_S)
        try:
            client.connect(str(path))
        except ConnectionRefusedError:
            return False
        except OSError as e:
            raise SocketInUseError(path, str(e)) from None
    return True


def _is_trusted(writer: asyncio.StreamWriter) -> bool:
    """Return whether the other end is a process of the same user, or of root."""
    connection: socket.socket = writer.get_extra_info("socket")
    credentials = connection.getsockopt(
        socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size
    )
    _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
    return uid in (os.getuid(), ROOT_UID)
