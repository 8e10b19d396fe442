"""A node's end of the control socket: a Unix socket that only the node's user and root may use."""

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
IDLE_TIMEOUT_S = 30.0  # until a client sends data, and until it reads its responses
CONNECT_TIMEOUT_S = 1.0  # limits the check whether another node listens on the socket
DIRECTORY_MODE = 0o700
SOCKET_UMASK = 0o177  # lets only the owner read and write
ROOT_UID = 0
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid and gid: the value of SO_PEERCRED

Handler = Callable[[Request], Awaitable[Any] | Any]


class ControlServer:
    """Serves the requests of each connection one after another."""

    def __init__(self, path: Path, handler: Handler) -> None:
        """Serve at ``path`` once started.

        ``handler`` returns the result of a request, or an awaitable of it.  It raises
        RequestRejectedError or ValueError with the reason if it does not execute the request.
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
        """Close the server."""
        self.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it closes, times out or sends a line that is too long."""
        if len(self._connections) >= MAX_CONNECTIONS or not _is_trusted(writer):
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except ProtocolError as error:
            writer.write(encode_error(str(error)))
        except (OSError, TimeoutError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve requests until the client closes the connection.

        Raises ProtocolError for a line that is too long, and OSError or TimeoutError if reading or
        writing fails.
        """
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

        An unexpected exception in the handler is logged and reported to the client; the connection
        and the node continue.
        """
        try:
            result = self._handler(decode_request(line))
            if inspect.isawaitable(result):
                result = await result
            return encode_response(result)
        except (RequestRejectedError, ValueError) as error:
            return encode_error(str(error))
        except Exception as error:
            log.exception("request on the control socket failed")
            return encode_error(f"the node failed on this: {type(error).__name__}")


def claim_socket_path(path: Path) -> None:
    """Create the socket's directory, and remove the socket of a node that no longer runs.

    Raises SocketInUseError if another node listens at the path or another kind of file is there,
    and OSError if the directory can't be created or the socket can't be removed.
    """
    path.parent.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
    try:
        file_status = path.lstat()
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(file_status.st_mode):
        raise SocketInUseError(path, "expected a socket or no file, got another kind of file")
    if _is_listening(path):
        raise SocketInUseError(path, "another node listens on this socket")
    path.unlink(missing_ok=True)


def _is_listening(path: Path) -> bool:
    """Return whether a process listens on a socket.

    Raises SocketInUseError if a connection is neither accepted nor refused.
    """
    with socket.socket(socket.AF_UNIX) as client:
        client.settimeout(CONNECT_TIMEOUT_S)
        try:
            client.connect(str(path))
        except ConnectionRefusedError:
            return False
        except OSError as error:
            raise SocketInUseError(path, str(error)) from None
    return True


def _is_trusted(writer: asyncio.StreamWriter) -> bool:
    """Return whether the client is a process of the node's user or of root."""
    connection: socket.socket = writer.get_extra_info("socket")
    credentials = connection.getsockopt(
        socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size
    )
    _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
    return uid in (os.getuid(), ROOT_UID)
