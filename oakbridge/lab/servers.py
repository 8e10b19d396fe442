"""Many stand-in servers in one process: workers, a queue, a limit of connections, speeds, a cold start."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from oakbridge.lab import table
from oakbridge.lab.addresses import SERVER, SERVER_NET, Slot, host
from oakbridge.lab.bench import Bench
from oakbridge.lab.plan import ServersTable
from oakbridge.standin.server import Connection

TURNED_AWAY, CLOSED = 503, 0


class StandIn:
    """One server."""

    def __init__(self, helper: Helper, number: int, name: str) -> None:
        self.helper, self.number = helper, number
        sizes = helper.plan.sizes
        self.bench: Bench[Call] = Bench(helper.plan, sizes[number % len(sizes)], f"{helper.seed} {name}")
        self.connections: set[FromNode] = set()
        self._door: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._door = await asyncio.get_running_loop().create_server(
            lambda: FromNode(self), host(SERVER_NET, self.number), self.helper.slot.port(SERVER),
            backlog=1024, reuse_address=True,
        )  # fmt: skip

    def close(self) -> None:
        """As a process that dies: connections are reset, and new ones refused."""
        if self._door is not None:
            self._door.close()
            self._door = None
        for connection in list(self.connections):
            connection.abort()
        self.bench.waiting.clear()

    def come(self, call: Call) -> None:
        """A request has come whole."""
        takes = self.bench.come(call, time.monotonic())
        if takes is None:
            call.answer(TURNED_AWAY)
        elif takes:
            self._work(call, takes)

    def _work(self, call: Call, takes: float) -> None:
        call.began = True
        asyncio.get_running_loop().call_later(takes, self._done, call)

    def _done(self, call: Call) -> None:
        call.answer(200)
        following = self.bench.done(time.monotonic(), lambda waited: waited.over)
        if following is not None:
            self._work(*following)


class Call:
    """One request at one server."""

    __slots__ = ("at", "began", "connection", "over", "request")

    def __init__(self, connection: FromNode, request: str) -> None:
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
            self.connection.reply(status, b"ok")


class FromNode(Connection):
    """One connection from a node."""

    def __init__(self, standin: StandIn) -> None:
        super().__init__()
        self.standin = standin
        self._call: Call | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """One more than it may have is closed."""
        super().connection_made(transport)
        if len(self.standin.connections) >= self.standin.helper.plan.connections:
            return transport.close()
        self.standin.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The node has given up, or it is over."""
        super().connection_lost(exc)
        self.standin.connections.discard(self)
        if self._call is not None:
            self._call.answer(CLOSED)

    def come(self, request: bytes) -> None:
        """Work on it, or not."""
        self._call = Call(self, request.decode("latin-1"))
        self.standin.come(self._call)

    def reply(self, status: int, body: bytes) -> None:
        """Answer."""
        self._call = None
        super().reply(status, body)


class Helper:
    """The servers of one process."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.slot, self.plan = Slot(config["base"]), ServersTable.model_construct(**config["plan"])
        self.seed = config["seed"]
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
                server.bench.cold_since = time.monotonic()
                self._opening = asyncio.get_running_loop().create_task(server.open())
            elif command["do"] == "speed":
                server.bench.speed = command["speed"]

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
