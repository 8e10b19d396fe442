"""The helper process that runs stand-in servers with workers, queues, speeds and cold starts."""

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
STATUS_DISCONNECTED = 0  # instead of a status: the connection was closed before the response
CLOSE_DELAY_S = 0.05  # until closed connections have added their rows
COLUMNS = ("server", "request", "came", "ended", "status", "begun")

Row = tuple[int, str, int, int, int, bool]


class StandInServer:
    """One stand-in server."""

    def __init__(self, helper: Helper, number: int, name: str) -> None:
        """Create a server; its number gives its address and its size."""
        self.helper = helper
        self.number = number
        self.connections: set[NodeConnection] = set()
        sizes = helper.plan.sizes
        self.queue: ServerQueue[Execution] = ServerQueue(
            helper.plan, sizes[number % len(sizes)], f"{helper.seed} {name}"
        )
        self._listener: asyncio.Server | None = None

    async def open(self) -> None:
        """Open the listener."""
        self._listener = await asyncio.get_running_loop().create_server(
            lambda: NodeConnection(self),
            host_address(SERVER_NET, self.number),
            self.helper.slot.port(SERVER_PORT),
            backlog=1024,
            reuse_address=True,
        )

    def close(self) -> None:
        """Reset all connections and refuse new ones, as if the process had been killed."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.abort()
        self.queue.clear_waiting()

    def execute(self, execution: Execution) -> None:
        """Process a request, queue it, or reject it."""
        work_s = self.queue.add(execution, time.monotonic())
        if work_s is None:
            execution.finish(STATUS_REJECTED)
        elif work_s:
            self._start_work(execution, work_s)

    def _start_work(self, execution: Execution, work_s: float) -> None:
        execution.is_started = True
        asyncio.get_running_loop().call_later(work_s, self._complete, execution)

    def _complete(self, execution: Execution) -> None:
        execution.finish(STATUS_OK)
        next_job = self.queue.complete(time.monotonic(), lambda waiting: waiting.is_finished)
        if next_job is not None:
            self._start_work(*next_job)


class Execution:
    """One request at one server."""

    __slots__ = ("_arrived_us", "_connection", "_request_id", "is_finished", "is_started")

    def __init__(self, connection: NodeConnection, request_id: str) -> None:
        """``request_id`` is empty if the request has none."""
        self.is_started = False
        self.is_finished = False
        self._connection = connection
        self._request_id = request_id
        self._arrived_us = time.time_ns() // 1000

    def finish(self, status: int) -> None:
        """Add the row and send the response, unless the execution is finished already."""
        if self.is_finished:
            return
        self.is_finished = True
        server = self._connection.server
        finished_us = time.time_ns() // 1000
        server.helper.add_row(
            (
                server.number,
                self._request_id,
                self._arrived_us,
                finished_us,
                status,
                self.is_started,
            )
        )
        if status != STATUS_DISCONNECTED:
            self._connection.reply(status, b"ok")


class NodeConnection(Connection):
    """One connection from a node."""

    def __init__(self, server: StandInServer) -> None:
        """``server``: the server that accepted the connection."""
        super().__init__()
        self.server = server
        self._execution: Execution | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close a connection beyond the server's limit."""
        super().connection_made(transport)
        if len(self.server.connections) >= self.server.helper.plan.connections:
            transport.close()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the request in flight without a response."""
        super().connection_lost(exc)
        self.server.connections.discard(self)
        if self._execution is not None:
            self._execution.finish(STATUS_DISCONNECTED)

    def on_request(self, request_id: bytes) -> None:
        """Execute a complete request."""
        self._execution = Execution(self, request_id.decode("latin-1"))
        self.server.execute(self._execution)

    def reply(self, status: int, body: bytes) -> None:
        """Send the response of the request in flight."""
        self._execution = None
        super().reply(status, body)


class Helper:
    """The servers of one process."""

    def __init__(self, config: dict[str, Any]) -> None:
        """``config``: as built by ``helper_configs.server_configs``."""
        self.slot = Slot(config["base"])
        self.plan = ServersTable.model_construct(**config["plan"])
        self.seed = config["seed"]
        self._out = Path(config["out"])
        self._servers = {
            name: StandInServer(self, number, name) for number, name in config["servers"]
        }
        self._rows: list[Row] = []
        self._openings: set[asyncio.Task[None]] = set()

    def add_row(self, row: Row) -> None:
        """Add the row of one execution, with values in the order of COLUMNS."""
        self._rows.append(row)

    async def start(self) -> None:
        """Open the listeners of all servers."""
        for server in self._servers.values():
            await server.open()

    def do(self, command: dict[str, Any]) -> None:
        """Carry out ``down``, ``up`` (with a cold start) or ``speed`` for the named servers."""
        for name in command.get("names", ()):
            server = self._servers.get(name)
            if server is not None:
                self._change(server, command)

    def _change(self, server: StandInServer, command: dict[str, Any]) -> None:
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
        """Do nothing: the process started nothing that outlives it."""
