"""Sends one discovery request over HTTP, on a new connection."""

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
MAX_RESPONSE_BYTES = MAX_LIST_BYTES + 1024 * 1024  # the list, the headers and the chunk sizes
READ_BYTES = 64 * 1024
STALL_TIMEOUT_S = 0.5  # maximum time between two reads of one response
CONNECT_RETRY_S = 0.02  # delay after a connection attempt that failed on this machine


@dataclass(frozen=True, slots=True)
class PollResponse:
    """Discovery's response; ``first_byte_at``: when its first byte arrived, in the loop's time."""

    list: EndpointList
    first_byte_at: float


class _Response:
    """Collects the status and body of a response; httptools calls the ``on_`` methods."""

    def __init__(self) -> None:
        self.first_byte_at = 0.0
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
    """Return discovery's response.  Raises EndpointListError and OSError (also TimeoutError).

    Each request uses a new connection: a reused one that discovery has just closed would look like
    a broken watch.
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
        raise EndpointListError(f"response: expected status 200, got {response.status}")
    try:
        new = parse_endpoint_list(json.loads(bytes(response.body)))
    except (ValueError, RecursionError) as error:
        raise EndpointListError(str(error) or "response: expected JSON") from None
    return PollResponse(new, response.first_byte_at)


async def _connect(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection; retry errors of this machine until the request's timeout.

    Discovery has not seen these connection attempts, so they don't call for a backoff.
    """
    has_logged = False
    while True:
        try:
            return await _open_connection(address)
        except OSError as error:
            if not is_local_connect_error(error.errno):
                raise
            if not has_logged:
                log.warning("connection to discovery failed on this machine: error=%s", error)
                has_logged = True
        await asyncio.sleep(CONNECT_RETRY_S)


async def _open_connection(
    address: Address,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that survives transient errors, so that it keeps its place in the queue."""
    sock = TransientErrorSocket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        return await asyncio.open_connection(sock=sock)
    except BaseException:
        sock.close()
        raise


async def _read_response(reader: asyncio.StreamReader) -> _Response:
    """Read a response; once it has started, it must not stall.

    If a node waited for the rest until its watch timed out, it would learn of a change too late.
    """
    response = _Response()
    received = 0
    while not response.complete:
        async with asyncio.timeout(STALL_TIMEOUT_S if response.first_byte_at else None):
            data = await reader.read(READ_BYTES)
        if not data:
            raise EndpointListError(
                "response: expected a complete response, got a closed connection"
            )
        received += len(data)
        if received > MAX_RESPONSE_BYTES:
            raise EndpointListError(f"response: expected at most {MAX_RESPONSE_BYTES} bytes")
        response.first_byte_at = response.first_byte_at or asyncio.get_running_loop().time()
        try:
            response.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not response.complete:
                raise EndpointListError(f"response: expected HTTP/1.1: {error}") from None
        if len(response.body) > MAX_LIST_BYTES:
            raise EndpointListError(f"response body: expected at most {MAX_LIST_BYTES} bytes")
    return response
