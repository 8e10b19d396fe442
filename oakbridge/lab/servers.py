"""The helper process of stand-in servers: workers, queues, connections, speeds, cold starts."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from oakbridge.lab import table
from oakbridge.lab.addresses import SERVER_NET, SERVER_PORT, Slot, host_address
from oakbridge.lab.plan import ServersTable
from oakbridge.lab.server_queue import ServerQueue
from oakbridge.standin.server import Connection

STATUS_OK = 200
STATUS_REJECTED = 503
STATUS_DISCONNECTED = 0  # in place of a status: the node closed the connection, or it was reset
CLOSE_DELAY_S = 0.05  # until lost connections have written their rows
COLUMNS = ("server", "request", "came", "ended", "status", "begun")

Row = tuple[int, str, int, int, int, bool]


class StandIn:
    """One server."""

    def __init__(self, helper: Helper, number: int, name: str) -> None:
        """Make the server of this number, which gives its address and size."""
        self.helper = helper
        self.number = number
        self.connections: set[NodeConnection] = set()
        sizes = helper.plan.sizes
        self.queue: ServerQueue[Execution] = ServerQueue(
            helper.plan, sizes[number % len(sizes)], f"{helper.seed} {name}"
        )
        self._listener: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: NodeConnection(self),
            host_address(SERVER_NET, self.number),
            self.helper.slot.port(SERVER_PORT),
            backlog=1024,
            reuse_address=True,
        )

    def close(self) -> None:
        """Reset connections and refuse new ones, as a process that dies."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()
        self.queue.clear_waiting()

    def execute(self, execution: Execution) -> None:
        """Work on a request, queue it, or reject it."""
        work_s = self.queue.add(execution, time.monotonic())
        if work_s is None:
            execution.finish(STATUS_REJECTED)
        elif work_s:
            self._begin(execution, work_s)

    def _begin(self, execution: Execution, work_s: float) -> None:
        execution.is_begun = True
        asyncio.get_running_loop().call_later(work_s, self._complete, execution)

    def _complete(self, execution: Execution) -> None:
        execution.finish(STATUS_OK)
        following = self.queue.complete(time.monotonic(), lambda waiting: waiting.is_finished)
        if following is not None:
            self._begin(*following)


class Execution:
    """One request at one server."""

    __slots__ = ("_arrived_us", "_connection", "_request", "is_begun", "is_finished")

    def __init__(self, connection: NodeConnection, request: str) -> None:
        """``request``: its identifier."""
        self.is_begun = False
        self.is_finished = False
        self._connection = connection
        self._request = request
        self._arrived_us = time.time_ns() // 1000

    def finish(self, status: int) -> None:
        """End it, the first time that this is called: write its row, and answer."""
        if self.is_finished:
            return
        self.is_finished = True
        standin = self._connection.standin
        ended_us = time.time_ns() // 1000
        standin.helper.add_row(
            (standin.number, self._request, self._arrived_us, ended_us, status, self.is_begun)
        )
        if status != STATUS_DISCONNECTED:
            self._connection.reply(status, b"ok")


class NodeConnection(Connection):
    """One connection from a node."""

    def __init__(self, standin: StandIn) -> None:
        """``standin``: the server that it came to."""
        super().__init__()
        self.standin = standin
        self._execution: Execution | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close a connection beyond the server's limit."""
        super().connection_made(transport)
        if len(self.standin.connections) >= self.standin.helper.plan.connections:
            transport.close()
            return
        self.standin.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the request under way without an answer."""
        super().connection_lost(exc)
        self.standin.connections.discard(self)
        if self._execution is not None:
            self._execution.finish(STATUS_DISCONNECTED)

    def come(self, request: bytes) -> None:
        """Take in a complete request."""
        self._execution = Execution(self, request.decode("latin-1"))
        self.standin.execute(self._execution)

    def reply(self, status: int, body: bytes) -> None:
        """Answer the request under way."""
        self._execution = None
        super().reply(status, body)


class Helper:
    """The servers of one process."""

    def __init__(self, config: dict[str, Any]) -> None:
        """``config``: as ``helper_configs.server_configs`` makes it."""
        self.slot = Slot(config["base"])
        self.plan = ServersTable.model_construct(**config["plan"])
        self.seed = config["seed"]
        self._out = Path(config["out"])
        self._servers = {name: StandIn(self, number, name) for number, name in config["servers"]}
        self._rows: list[Row] = []
        self._openings: set[asyncio.Task[None]] = set()

    def add_row(self, row: Row) -> None:
        """Keep one execution, in the order of the table's columns."""
        self._rows.append(row)

    async def start(self) -> None:
        """Listen."""
        for server in self._servers.values():
            await server.open()

    def do(self, command: dict[str, Any]) -> None:
        """Servers ``down``, ``up`` (cold) and their ``speed``."""
        for name in command.get("names", ()):
            server = self._servers.get(name)
            if server is not None:
                self._change(server, command)

    def _change(self, server: StandIn, command: dict[str, Any]) -> None:
        match command["do"]:
            case "down":
                server.close()
            case "up":
                server.queue.cold_since_s = time.monotonic()
                task = asyncio.get_running_loop().create_task(server.open())
                self._openings.add(task)
                task.add_done_callback(self._openings.discard)
            case "speed":
                server.queue.speed = command["speed"]

    async def end(self) -> dict[str, Any]:
        """Close all servers, and write the table."""
        for server in self._servers.values():
            server.close()
        await asyncio.sleep(CLOSE_DELAY_S)
        await asyncio.to_thread(table.write, self._out, COLUMNS, self._rows)
        return {"executions": len(self._rows)}

    def abandon(self) -> None:
        """Do nothing: nothing outlives the process."""
