"""A server whose handler reads and writes raw bytes, and the heads of raw requests."""

import asyncio
import contextlib


def head(
    method: str = "POST",
    url: str = "/api",
    *lines: str,
    priority_class: str = "book",
    request_id: str = "big-1",
) -> bytes:
    lines = [
        f"{method} {url} HTTP/1.1",
        "Host: a",
        f"X-Request-ID: {request_id}",
        f"X-Priority-Class: {priority_class}",
        *lines,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class RawServer:
    """A server whose handler, called for each connection, reads and writes raw bytes."""

    def __init__(self, handle) -> None:
        self.handle, self.connections, self.writers = handle, 0, []

    async def __aenter__(self) -> "RawServer":
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.handle(reader, writer)

    async def __aexit__(self, *_) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
