"""A stand-in for discovery: the whole list, and watches that wait for a change."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from common.http import answer, read_message
from common.record import Record


def endpoint(name: str, port: int, status: str = "ready", since_ms: int = 0) -> dict[str, Any]:
    """Return one entry of a list."""
    return {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": "z1",
        "type": "std",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


class Discovery:
    """Answers each call at once, or a watch when its wait is over."""

    def __init__(self, record: Record, endpoints: list[dict[str, Any]]) -> None:
        self._record = record
        self.index = 41
        self.endpoints = endpoints
        self.port = 0
        self._changed = asyncio.Condition()

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server = server
        self.port = server.sockets[0].getsockname()[1]

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": self.endpoints}

    async def change(self, endpoints: list[dict[str, Any]]) -> None:
        """Set a new list, and tell those who watch."""
        async with self._changed:
            self.index += 1
            self.endpoints = endpoints
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                call = await read_message(reader)
                query = parse_qs(urlsplit(call.target).query)
                since = int(query.get("since", ["-1"])[0])
                wait_s = int(query.get("timeout_ms", ["0"])[0]) / 1000
                if since == self.index:
                    await self._wait_for_change(since, wait_s)
                known = since == self.index
                content = self.listing()
                if known:
                    content = {"index": self.index, "snapshot": False, "endpoints": []}
                writer.write(answer(200, json.dumps(content).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _wait_for_change(self, since: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self.index != since)
        except TimeoutError:
            pass
