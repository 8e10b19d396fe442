"""A sound stand-in server: runs each request once its last byte has come."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable

from common.http import answer, read_body, read_head

READ_LIMIT_BYTES = 1 << 20


def digest(body: bytes) -> bytes:
    """Return a short value that tells two bodies apart."""
    return hashlib.blake2b(body, digest_size=16).digest()


class Server:
    """Serves each request after some work.

    ``log`` writes a line to the record and returns its time; ``write`` writes the answer.
    """

    def __init__(
        self,
        name: str,
        log: Callable[[str], float],
        draw: random.Random,
        work_s: tuple[float, float],
        write: Callable[[asyncio.StreamWriter, str, bytes], None] | None = None,
    ) -> None:
        self.name = name
        self.port = 0
        self.runs: list[tuple[str, float]] = []  # request ids, and when each request came
        self.digests: list[tuple[str, bytes]] = []  # request ids, and a digest of each body
        self._log = log
        self._draw = draw
        self._work_s = work_s
        self._write = write

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_LIMIT_BYTES, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_head(reader)
                request_id = request.headers["x-request-id"]
                await read_body(reader, request)
                came_at = self._log(
                    f"{self.name}: runs {request_id}, body of {len(request.body)} bytes"
                )
                self.runs.append((request_id, came_at))
                self.digests.append((request_id, digest(request.body)))
                await asyncio.sleep(self._draw.uniform(*self._work_s))
                text = answer(200, f"{self.name} ran {request_id}".encode())
                if self._write is None:
                    writer.write(text)
                else:
                    self._write(writer, request_id, text)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
