"""One poll of discovery over HTTP, on a connection of its own."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from dataclasses import dataclass
from typing import Any

import httptools

from oakbridge.node.address import Address
from oakbridge.node.endpoint_list import EndpointList
from oakbridge.node.endpoint_list_json import parse_endpoint_list
from oakbridge.node.errors import EndpointListError
from oakbridge.node.system_errors import is_local_connect_error
from oakbridge.node.transient_error_socket import TransientErrorSocket

log = logging.getLogger(__name__)

MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_RESPONSE_BYTES = MAX_LIST_BYTES + 1024 * 1024  # with its head, and the lengths of its chunks
READ_BYTES = 64 * 1024
STALL_TIMEOUT_S = 0.5  # between two parts of a response
CONNECT_RETRY_S = 0.02  # after a connection that failed on this machine


@dataclass(frozen=True, slots=True)
class PollResponse:
    """What discovery responded with; ``begun_at``: when its first byte came, in the loop's time."""

    list: EndpointList
    begun_at: float


class _Response:
    """Collects a response; httptools calls the ``on_`` methods."""

    def __init__(self) -> None:
        self.begun_at = 0.0
        self.parser: Any = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.status = 0
        self.complete = False

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.status = self.parser.get_status_code()
        self.complete = self.status >= 200


async def poll(address: Address, path: str, timeout_s: float) -> PollResponse:
    """Return what discovery responds with; raise EndpointListError, OSError (also TimeoutError).

    Guards against a kept connection that discovery has just closed, which looks like a broken
    watch.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await _connect(address)
        try:
            host, port = address
            request = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n"
            writer.write(request.encode())
            response = await _read_response(reader)
        finally:
            writer.transport.abort()
    if response.status != 200:
        raise EndpointListError(f"discovery answered {response.status}")
    try:
        new = parse_endpoint_list(json.loads(bytes(response.body)))
    except (ValueError, RecursionError) as e:
        raise EndpointListError(str(e) or "not JSON") from None
    return PollResponse(new, response.begun_at)


async def _connect(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection; one that fails on this machine is tried again, as long as the poll lasts.

    Discovery has seen nothing of it, so it is no reason to stay away for a while.
    """
    logged = False
    while True:
        try:
            return await _open_connection(address)
        except OSError as error:
            if not is_local_connect_error(error.errno):
                raise
            if not logged:
                log.warning("no connection to discovery for a moment: %s", error)
                logged = True
        await asyncio.sleep(CONNECT_RETRY_S)


async def _open_connection(
    address: Address,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that outlasts a shortage of buffers: its place in the queue is not lost."""
    sock = TransientErrorSocket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        return await asyncio.open_connection(sock=sock)
    except BaseException:
        sock.close()
        raise


async def _read_response(reader: asyncio.StreamReader) -> _Response:
    """Read a response; once it has begun, it may not stop for long.

    A node that waited for the rest until the end of its watch would learn of a change too late.
    """
    response = _Response()
    received = 0
    while not response.complete:
        async with asyncio.timeout(STALL_TIMEOUT_S if response.begun_at else None):
            data = await reader.read(READ_BYTES)
        if not data:
            raise EndpointListError("the connection ended before the answer did")
        received += len(data)
        if received > MAX_RESPONSE_BYTES:
            raise EndpointListError(f"an answer of more than {MAX_RESPONSE_BYTES} bytes")
        response.begun_at = response.begun_at or asyncio.get_running_loop().time()
        try:
            response.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            if not response.complete:
                raise EndpointListError(f"no HTTP: {e}") from None
        if len(response.body) > MAX_LIST_BYTES:
            raise EndpointListError(f"a list of more than {MAX_LIST_BYTES} bytes")
    return response
