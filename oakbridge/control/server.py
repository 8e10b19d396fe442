"""A node's end of the control socket: a Unix socket that its owner alone may use."""

from __future__ import annotations

import asyncio
import inspect
import logging
import os
import socket
import stat
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

from oakbridge.control import protocol

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # connections at once
IDLE_TIMEOUT_S = 30.0  # how long a connection may say nothing, or leave an answer unread

Handler = Callable[[protocol.Request], Any]  # an awaitable is awaited


class SocketInUseError(OSError):
    """Somebody else listens on the socket."""


def claim_socket_path(path: Path) -> None:
    """Make the folder, owner-only, and take away what a node that died has left.  Raises OSError."""
    path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    try:
        found = path.lstat()
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(found.st_mode):
        raise SocketInUseError(f"{path}: expected a socket or nothing, and something else is there")
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(1)
        try:
            probe.connect(str(path))
        except ConnectionRefusedError:
            path.unlink(missing_ok=True)  # nobody listens: its node has died
            return
        except OSError as e:
            raise SocketInUseError(f"{path}: {e}") from None
    raise SocketInUseError(f"{path}: another node listens there")


class ControlServer:
    """Answers one request after another on each connection."""

    def __init__(self, path: Path, handle: Handler) -> None:
        self.path, self._handle = path, handle
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen.  Raises OSError, with the path in its text."""
        claim_socket_path(self.path)
        before = os.umask(0o177)
        try:
            self._server = await asyncio.start_unix_server(self._serve, str(self.path))
        finally:
            os.umask(before)
        self._inode = self.path.stat().st_ino

    def close(self) -> None:
        """Listen no more, and take the socket away if it is still this one's."""
        if self._server is not None:
            self._server.close()
            for writer in self._open:
                writer.transport.abort()
            try:
                if self.path.stat().st_ino == self._inode:
                    self.path.unlink()
            except OSError:
                pass

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._open) >= MAX_CONNECTIONS or not _is_same_user(writer):
            writer.transport.abort()
            return
        self._open.add(writer)
        lines = protocol.LineSplitter(protocol.MAX_REQUEST_BYTES)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    data = await reader.read(protocol.MAX_REQUEST_BYTES)
                if not data:
                    return
                for line in lines.feed(data):
                    writer.write(await self._answer(line))
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    await writer.drain()
        except protocol.ProtocolError as e:
            writer.write(protocol.encode_error(str(e)))
        except (OSError, TimeoutError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, line: bytes) -> bytes:
        """Guards the node: a fault in here is told to whoever asked, and ends nothing."""
        try:
            result = self._handle(protocol.decode_request(line))
            return protocol.encode_response(await result if inspect.isawaitable(result) else result)
        except (protocol.RequestRejectedError, protocol.ProtocolError, ValueError) as e:
            return protocol.encode_error(str(e))
        except Exception as e:
            log.exception("a request on the control socket failed")
            return protocol.encode_error(f"the node failed on this: {type(e).__name__}")


def _is_same_user(writer: asyncio.StreamWriter) -> bool:
    """Whether the other end is a process of the same user, or of root."""
    sock: socket.socket = writer.get_extra_info("socket")
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return struct.unpack("3i", raw)[1] in (os.getuid(), 0)
