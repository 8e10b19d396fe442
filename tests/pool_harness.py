"""A connection pool with one server on loopback, and listeners that tests control directly."""

import asyncio
import contextlib
import socket

from peers import silent_listener, with_timeout

from oakbridge.node.attempt import Attempt, AttemptEnd
from oakbridge.node.clock import Clock
from oakbridge.node.connection_pool import ConnectionPool
from oakbridge.node.endpoint_list import EndpointList, ListedEndpoint
from oakbridge.node.memory_account import MemoryAccount
from oakbridge.node.request_writer import EncodedRequest
from oakbridge.policy.events import AttemptResult, Endpoint

LONG_US = 60_000_000
GET = b"GET /api HTTP/1.1\r\nx-request-id: 1\r\n\r\n"


class PoolHarness:
    """A pool with one server, and attempts whose results can be awaited."""

    def __init__(
        self,
        port: int,
        connect_timeout: int = LONG_US,
        idle: int = LONG_US,
        max_connections: int = 8,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.pool = ConnectionPool(
            self.loop, self.clock, connect_timeout, idle, max_connections, MemoryAccount()
        )
        self.port = port
        self.list_servers("s")

    def list_servers(self, *names: str, started: int = 0) -> None:
        """Apply an endpoint list; all its servers have the harness's port."""
        address = "127.0.0.1", self.port
        entries = [ListedEndpoint(Endpoint(name, started_at=started), address) for name in names]
        self.pool.update_endpoints(EndpointList(1, True, entries))

    def send(
        self, data: bytes = GET, timeout: int = LONG_US, *, can_retry: bool = False
    ) -> tuple[Attempt, "asyncio.Future[AttemptEnd]"]:
        end: asyncio.Future[AttemptEnd] = self.loop.create_future()
        attempt = Attempt(
            "s",
            lambda _: EncodedRequest(data),
            self.clock.now() + timeout,
            end.set_result,
            can_retry=lambda: can_retry,
        )
        self.pool.send(attempt)
        return attempt, end

    async def result(self, *args, **named) -> AttemptResult:
        return (await with_timeout(self.send(*args, **named)[1])).result


@contextlib.contextmanager
def listening_socket():
    """Yield a listening socket that is used without the event loop."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(16)
        listener.settimeout(20)
        yield listener


async def accept(listener: socket.socket) -> socket.socket:
    sock, _ = await asyncio.get_running_loop().run_in_executor(None, listener.accept)
    sock.settimeout(20)
    return sock


@contextlib.asynccontextmanager
async def late_listener():
    """Yield a port whose accept queue is full, and a function that starts accepting.

    Connections are established only after that function was called.
    """
    listener, fillers = silent_listener()
    listener.setblocking(False)
    sockets, tasks = [listener, *fillers], []

    async def accept_all():
        while True:
            sockets.append((await asyncio.get_running_loop().sock_accept(listener))[0])

    try:
        yield listener.getsockname()[1], lambda: tasks.append(asyncio.create_task(accept_all()))
    finally:
        for task in tasks:
            task.cancel()
        for sock in sockets:
            sock.close()
