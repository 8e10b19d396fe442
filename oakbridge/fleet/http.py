"""HTTP/1.1 for both ends of the protocol: h11 parses and serializes, asyncio does the I/O."""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple

import h11

from oakbridge.fleet.codec import MAX_BODY_BYTES
from oakbridge.fleet.errors import FleetMessageError
from oakbridge.fleet.identity import Identity

READ_CHUNK_BYTES = 64 * 1024


class HttpMessage(NamedTuple):
    """A received request or response."""

    head: Any  # h11.Request or h11.Response
    body: bytes | None  # None if it exceeds MAX_BODY_BYTES, and was not read to its end


def peer_identity(writer: asyncio.StreamWriter) -> Identity:
    """Return the identity in the other end's certificate.

    Raises:
        FleetMessageError: if the certificate does not have exactly one URI of the right form.
    """
    certificate = writer.get_extra_info("peercert") or {}
    uris = [value for kind, value in certificate.get("subjectAltName", ()) if kind == "URI"]
    if len(uris) != 1:
        raise FleetMessageError("certificate", "exactly one URI")
    return Identity.from_uri(uris[0])


async def receive_message(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> HttpMessage | None:
    """Return the next message; None if the other end has closed the connection.

    Raises OSError or h11.RemoteProtocolError.
    """
    head: Any = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_CHUNK_BYTES))
        elif isinstance(event, h11.Request | h11.Response):
            head = event
            content_length = int(dict(event.headers).get(b"content-length", b"0"))
            if content_length > MAX_BODY_BYTES:
                return HttpMessage(head, None)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                return HttpMessage(head, None)
        elif isinstance(event, h11.EndOfMessage):
            return HttpMessage(head, bytes(body))
        elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
            return None


def send_message(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    head: h11.Request | h11.Response,
    body: bytes,
) -> None:
    """Write a message to the transport's buffer."""
    writer.write(connection.send(head) or b"")
    if body:
        writer.write(connection.send(h11.Data(data=body)) or b"")
    writer.write(connection.send(h11.EndOfMessage()) or b"")


def is_reusable(connection: h11.Connection) -> bool:
    """Return whether both ends have finished the exchange, so that another may begin."""
    return connection.our_state is h11.DONE and connection.their_state is h11.DONE
