"""HTTP/1.1 messages on asyncio streams, in the few forms that the cases need."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class Message:
    """A message: its first line, its headers in lower case, and its body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a message up to its empty line.  Raises IncompleteReadError, ConnectionError."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers, b"")


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the rest of a message, by its length or its chunks."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message.  Raises IncompleteReadError, ConnectionError."""
    message = await read_head(reader)
    await read_body(reader, message)
    return message


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(
    request_id: str,
    class_name: str,
    timeout_ms: int,
    *,
    key: str = "",
    body: bytes | None = None,
    keyed: bool = False,
    headers: Sequence[str] = (),
) -> bytes:
    """Return the bytes of a client's request: GET without a body, else POST."""
    lines = [
        f"{'GET' if body is None else 'POST'} /api HTTP/1.1",
        "Host: app.svc",
        f"X-Request-ID: {request_id}",
        f"X-Priority-Class: {class_name}",
        f"X-Timeout: {timeout_ms}m",
        *headers,
    ]
    if key:
        lines.append(f"X-Route-Key: {key}")
    if keyed:
        lines.append(f"Idempotency-Key: key-{request_id}")
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
