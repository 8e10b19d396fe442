"""Test doubles of a node's peers on loopback: scripted servers, scripted discovery and HTTP clients."""

import asyncio
import contextlib
import itertools
import json
import os
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

from oakbridge.node.config import Config
from oakbridge.node.node import Node

REQUEST_IDS = itertools.count(0x9B1F03AA)  # each request gets a new id
TIMEOUT_S = 30.0  # for each wait of a test; no wait is expected to take a tenth of it

SETTINGS = {
    "allowed": {
        "cancelling": True, "conn-idle": 30_000_000, "connect-timeout": 2_000_000, "max-attempts": 4,
        "max-open": 1000, "max-retry-after": 2_000_000, "retry-after": True, "streams-per-conn": 1,
    },
    "classes": [
        {"name": "look", "aim": 10_000_000, "deadline": 20_000_000, "idempotency": "pure"},
        {"name": "book", "aim": 10_000_000, "deadline": 20_000_000, "idempotency": "side_effect"},
        {"name": "brief", "aim": 200_000, "deadline": 400_000, "idempotency": "side_effect"},
    ],
    "discovery": "on_request",
    "instances": 1,
    "invariants": {
        "answer-slack": 20_000, "ask-within": 4, "cold-from": 0.2, "fall": 3_000_000, "fall-multiple": 2.5,
        "stop-sending-within": 250_000, "warm-up": 10_000_000,
    },
    "layers": ["only"],
    "resolution": 1000,
}  # fmt: skip


_WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", f"gw{os.getpid()}").removeprefix("gw"))
_PORTS = itertools.count(random.randrange(500))


def free_ports(count: int) -> list[int]:
    """Return free ports below the kernel's ephemeral range; each xdist worker has its own range."""
    found: list[int] = []
    while len(found) < count:
        port = 12_000 + 1_000 * (_WORKER % 20) + next(_PORTS) % 1_000
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            found.append(port)
    return found


def run(coroutine, limit: float = 2 * TIMEOUT_S):
    """Run a test's coroutine; fail if it takes longer than ``limit`` seconds."""

    async def limited():
        return await asyncio.wait_for(coroutine, limit)

    return asyncio.run(limited())


async def until(condition):
    """Wait until the condition holds; fail after :data:`TIMEOUT_S`."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def with_timeout(awaitable):
    """Return the result of an awaitable; fail after :data:`TIMEOUT_S`."""
    return await asyncio.wait_for(awaitable, TIMEOUT_S)


@dataclass
class ReceivedRequest:
    """A request as a scripted server received it."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    connection: int  # number of the connection, from 1


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read an HTTP message; return its first line, headers and body."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")[:-2]
    headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def reply(status: int = 200, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of an HTTP response."""
    lines = [f"HTTP/1.1 {status} Whatever", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class ScriptedServer:
    """A server that responds as ``script`` decides for each request.

    The script returns the bytes of a response, None for no response, "close" to close the
    connection, a tuple of these, or a coroutine that returns one of them.
    """

    def __init__(self, script: Callable[[ReceivedRequest], bytes | str | None]) -> None:
        self.script = script
        self.requests: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        # Numbers of the connections that the client closed.
        self.closed_connections: asyncio.Queue[int] = asyncio.Queue()
        self.release = asyncio.Event()  # for scripts that wait; set by the test
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> "ScriptedServer":
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        self.writers.append(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, url, _ = first.split(" ")
                request = ReceivedRequest(method, url, headers, body, number)
                self.requests.put_nowait(request)
                response = self.script(request)
                if asyncio.iscoroutine(response):
                    response = await response
                for part in response if isinstance(response, tuple) else (response,):
                    if part == "close":
                        return writer.close()
                    if part is not None:
                        writer.write(part)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections.put_nowait(number)
            writer.close()


def endpoint(name: str, port: int, status: str = "ready", since_ms: int = 0) -> dict:
    """Return an entry of discovery's endpoint list."""
    return {
        "name": name, "address": f"127.0.0.1:{port}", "zone": "", "type": "t", "group": 0, "status": status,
        "weight": 1.0, "since_ms": since_ms,
    }  # fmt: skip


def listing(index: int, *endpoints: dict, is_complete: bool = True) -> dict:
    """Return an endpoint list as discovery sends it; incomplete: only the changes of a list."""
    return {"index": index, "snapshot": is_complete, "endpoints": list(endpoints)}


class ScriptedDiscovery(ScriptedServer):
    """A discovery server that responds to each request with the next entry of a queue."""

    def __init__(self) -> None:
        super().__init__(self.next)
        self.answers: asyncio.Queue = asyncio.Queue()

    def put(self, answer: object) -> None:
        """Queue a response: an endpoint list, or bytes that are sent unchanged."""
        self.answers.put_nowait(
            reply(200, json.dumps(answer).encode()) if isinstance(answer, dict) else answer
        )

    async def next(self, _: ReceivedRequest) -> bytes:
        return await self.answers.get()


def config(
    discovery: int, *endpoints: dict, settings: dict | None = None, sockets: int = 256
) -> Config:
    """Return a node's configuration with a saved endpoint list."""
    from oakbridge.node.settings import read_settings

    return Config(
        name="n0", listen=("127.0.0.1", 0), discovery=("127.0.0.1", discovery), seed=7, sockets=sockets,
        saved_list=listing(1, *endpoints), settings=read_settings(settings or SETTINGS),
    )  # fmt: skip


class Client:
    """An HTTP client with one connection to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> "Client":
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(
        self,
        priority_class: str = "look",
        method: str = "GET",
        url: str = "/api",
        body: bytes = b"",
        **extra,
    ) -> None:
        headers = {
            "Host": "app.svc",
            "X-Request-ID": f"r-{next(REQUEST_IDS)}",
            "X-Priority-Class": priority_class,
        } | {k.replace("_", "-"): v for k, v in extra.items()}
        if body:
            headers["Content-Length"] = str(len(body))
        lines = [f"{method} {url} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def read_response(self) -> tuple[int, dict[str, str], bytes]:
        first, headers, body = await with_timeout(read_message(self.reader))
        return int(first.split(" ")[1]), headers, body

    async def read_until_close(self) -> bytes:
        """Return all bytes that the node sends until it closes the connection."""
        return await with_timeout(self.reader.read())

    def close(self) -> None:
        self.writer.transport.abort()


class RunningNode:
    """A node in this process, with scripted servers and scripted discovery."""

    def __init__(self, *peers: ScriptedServer, **options) -> None:
        self.peers, self.options = peers, options

    async def __aenter__(self) -> "RunningNode":
        self.discovery = await ScriptedDiscovery().__aenter__()
        listed = [endpoint(f"s-{i}", p.port) for i, p in enumerate(self.peers)]
        self.node = Node(
            config(self.discovery.port, *listed, **self.options), asyncio.get_running_loop()
        )
        self.node.start()
        self.port = self.node.server.address[1]
        self.clients: list[Client] = []
        return self

    async def client(self) -> Client:
        self.clients.append(await Client.connect(self.port))
        return self.clients[-1]

    async def __aexit__(self, *_) -> None:
        self.node.close()
        for client in self.clients:
            client.close()
        await self.discovery.__aexit__()


def silent_listener() -> tuple[socket.socket, list[socket.socket]]:
    """Return a listening socket whose accept queue is full, and the sockets that fill the queue.

    A connection to its port is never established.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    return listener, fillers
