"""Many stand-in servers in one process: workers, a queue, a limit of connections, speeds, a cold start."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from pathlib import Path
from typing import Any

import httptools

from oakbridge.lab import table
from oakbridge.lab.addresses import SERVER, SERVER_NET, Slot, host

TURNED_AWAY, CLOSED = 503, 0


class StandIn:
    """One server."""

    def __init__(self, helper: Helper, number: int, name: str) -> None:
        self.helper, self.number, self.name = helper, number, name
        plan = helper.plan
        self.rng = random.Random(f"{helper.seed} {name}")
        self.size = plan["sizes"][number % len(plan["sizes"])]
        self.speed = 1.0
        self.cold_since: float | None = None
        self.busy = 0
        self.waiting: deque[Call] = deque()
        self.connections: set[Connection] = set()
        self._door: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._door = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), host(SERVER_NET, self.number), self.helper.slot.port(SERVER),
            backlog=1024, reuse_address=True,
        )  # fmt: skip

    def close(self) -> None:
        """As a process that dies: connections are reset, and new ones refused."""
        if self._door is not None:
            self._door.close()
            self._door = None
        for connection in list(self.connections):
            connection.abort()
        self.waiting.clear()

    def warmth(self) -> float:
        """Its speed now, against what it will be."""
        cold, lasts = self.helper.plan["cold"], self.helper.plan["cold_for"] / 1e6
        if self.cold_since is None or not lasts:
            return 1.0
        part = min(1.0, (time.monotonic() - self.cold_since) / lasts)
        return float(cold + (1 - cold) * part)

    def come(self, call: Call) -> None:
        """A request has come whole."""
        if self.busy < self.helper.plan["workers"]:
            self._work(call)
        elif len(self.waiting) < self.helper.plan["queue"]:
            self.waiting.append(call)
        else:
            call.answer(TURNED_AWAY)

    def _work(self, call: Call) -> None:
        self.busy += 1
        call.began = True
        mean = self.helper.plan["time"] / 1e6 / (self.size * self.speed * self.warmth())
        asyncio.get_running_loop().call_later(self.rng.expovariate(1 / mean), self._done, call)

    def _done(self, call: Call) -> None:
        self.busy -= 1
        call.answer(200)
        while self.waiting:
            following = self.waiting.popleft()
            if not following.over:
                return self._work(following)


class Call:
    """One request at one server."""

    __slots__ = ("at", "began", "connection", "over", "request")

    def __init__(self, connection: Connection, request: str) -> None:
        self.connection, self.request = connection, request
        self.at = time.time_ns() // 1000
        self.began = self.over = False

    def answer(self, status: int) -> None:
        """Its end, once: 200, turned away, or the connection went."""
        if self.over:
            return
        self.over = True
        standin = self.connection.standin
        standin.helper.row(standin.number, self.request, self.at, time.time_ns() // 1000, status, self.began)
        if status != CLOSED:
            self.connection.reply(status)


class Connection(asyncio.Protocol):
    """One connection from a node."""

    def __init__(self, standin: StandIn) -> None:
        self.standin = standin
        self._parser: Any = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._request = ""
        self._call: Call | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """One more than it may have is closed."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self.standin.connections) >= self.standin.helper.plan["connections"]:
            return transport.close()
        self.standin.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The node has given up, or it is over."""
        self._transport = None
        self.standin.connections.discard(self)
        if self._call is not None:
            self._call.answer(CLOSED)

    def eof_received(self) -> None:
        """The node gives up by ending its sending, too."""

    def abort(self) -> None:
        """Reset."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Bytes of a request."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header."""
        if name.lower() == b"x-request-id":
            self._request = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """The last byte has come."""
        self._call = Call(self, self._request)
        self.standin.come(self._call)

    def reply(self, status: int) -> None:
        """Answer."""
        self._call = None
        if self._transport is not None:
            unseen = b"X-Not-Processed: 1\r\n" if status == TURNED_AWAY else b""
            self._transport.write(b"HTTP/1.1 %d X\r\nContent-Length: 2\r\n%s\r\nok" % (status, unseen))


class Helper:
    """The servers of one process."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.slot, self.plan, self.seed = Slot(config["base"]), config["plan"], config["seed"]
        self._out = Path(config["out"])
        self.servers = {name: StandIn(self, number, name) for number, name in config["servers"]}
        self._rows: list[tuple[int, str, int, int, int, bool]] = []

    def row(self, *row: Any) -> None:
        """One request at one server: server, request, came, ended, status, whether it was begun."""
        self._rows.append(row)

    async def start(self) -> None:
        """Listen."""
        for server in self.servers.values():
            await server.open()

    def do(self, command: dict[str, Any]) -> None:
        """Servers ``down``, ``up`` (cold) and their ``speed``."""
        for name in command.get("names", ()):
            server = self.servers.get(name)
            if server is None:
                continue
            if command["do"] == "down":
                server.close()
            elif command["do"] == "up":
                server.cold_since = time.monotonic()
                self._opening = asyncio.get_running_loop().create_task(server.open())
            elif command["do"] == "speed":
                server.speed = command["speed"]

    async def end(self) -> dict[str, Any]:
        """Keep the table."""
        for server in self.servers.values():
            server.close()
        await asyncio.sleep(0.05)
        columns = ("server", "request", "came", "ended", "status", "begun")
        await asyncio.to_thread(table.write, self._out, columns, self._rows)
        return {"executions": len(self._rows)}

    def abandon(self) -> None:
        """Nothing outlives the process."""
