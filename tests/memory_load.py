"""Loads that hold much memory in a node's process, and the process's resident memory under them.

By hand, with other figures:

    PYTHONPATH=.:tests python tests/memory_load.py LOAD [--memory-mb 192] [--clients 200]
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from peers import SETTINGS, ScriptedDiscovery, endpoint, free_ports, listing, until

ROOT = Path(__file__).parents[1]
SEED = 66
SERVER_COUNT = 8
WORK_S = (0.7, 1.0)
PART = b"x" * 16_384
LONG_RESPONSE_BYTES = 1_000_000
MEDIUM_RESPONSE_BYTES = 60_000
SLOW_READ_BYTES_PER_S = 64_000
RESPONSE_TIMEOUT_S = 21.0  # the deadline of the class in SETTINGS is 20 s
REJECTED_PAUSE_S = 0.3
MEMORY_CHECK_INTERVAL_S = 0.02
SETTLE_S = 4.0  # after the load; the node returns its memory within 3 s
REQUEST_IDS = itertools.count()


@dataclass
class Outcome:
    """What a load's clients saw, and the node's resident memory."""

    statuses: Counter[str] = field(default_factory=Counter)
    idle_mb: float = 0.0
    peak_mb: float = 0.0
    final_mb: float = 0.0  # after the load, once the node has returned its memory


def head(method: str, url: str, *lines: str) -> bytes:
    """Return the head of a request with an id of its own."""
    name = "look" if method == "GET" else "book"
    known = f"Host: a\r\nX-Request-ID: m-{next(REQUEST_IDS)}\r\nX-Priority-Class: {name}"
    return "\r\n".join([f"{method} {url} HTTP/1.1", known, *lines, "", ""]).encode()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, draw) -> None:
    """Serve one connection: read whole bodies, work, and respond as the path asks for."""
    sizes = {b"/long": LONG_RESPONSE_BYTES, b"/medium": MEDIUM_RESPONSE_BYTES}
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            request_head = (await reader.readuntil(b"\r\n\r\n")).lower()
            if b"transfer-encoding: chunked" in request_head:
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    await reader.readexactly(size + 2)
                await reader.readexactly(2)
            elif b"content-length: " in request_head:
                left = int(request_head.split(b"content-length: ")[1].split(b"\r\n")[0])
                while left:
                    data = await reader.read(min(left, 65536))
                    if not data:
                        raise asyncio.IncompleteReadError(b"", left)
                    left -= len(data)
            await asyncio.sleep(draw.uniform(*WORK_S))
            size = sizes.get(request_head.split(b" ")[1], 2)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"y" * size)
            await writer.drain()


class Client:
    """One client; it opens a new connection after the node has closed its connection."""

    def __init__(self, port: int, statuses: Counter[str], draw: random.Random) -> None:
        self.port, self.statuses, self.draw = port, statuses, draw
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter | None = None

    async def send(self, *parts: bytes) -> None:
        """Write all parts, on a new connection if there is none."""
        if self.writer is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        for part in parts:
            self.writer.write(part)
            await self.writer.drain()

    async def receive(self, bytes_per_s: int = 0) -> None:
        """Read one response, and count its status; ``bytes_per_s``: 0 for full speed."""
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status = await self._read_response(bytes_per_s)
        except TimeoutError:
            status = "none in time"
        except (ConnectionError, asyncio.IncompleteReadError):
            status = "closed"
        self.statuses[status] += 1
        if status != "200":
            if status != "503":
                self.close()
            await asyncio.sleep(REJECTED_PAUSE_S)

    async def _read_response(self, bytes_per_s: int) -> str:
        response_head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        left = int(response_head.split(b"content-length: ")[1].split(b"\r\n")[0])
        while left:
            data = await self.reader.read(min(left, bytes_per_s // 10 or 65536))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            if bytes_per_s:
                await asyncio.sleep(0.1)
        if b"connection: close" in response_head:
            self.close()
        return response_head.split(b" ")[1].decode()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None


# ---- loads: what one client does, again and again


async def bodies(client: Client) -> None:
    size = 520_000
    await client.send(head("POST", "/", f"Content-Length: {size}"), bytes(size))
    await client.receive()


async def short_bodies(client: Client) -> None:
    await client.send(head("POST", "/", "Content-Length: 2000"), bytes(2000))
    await client.receive()


async def chunked_bodies(client: Client) -> None:
    chunk = b"%x\r\n%b\r\n" % (len(PART), PART)
    count = client.draw.randrange(1, 60)
    await client.send(head("POST", "/", "Transfer-Encoding: chunked"), chunk * count, b"0\r\n\r\n")
    await client.receive()


async def tiny_chunks(client: Client) -> None:
    chunks = b"2\r\nab\r\n" * 60_000
    await client.send(head("POST", "/", "Transfer-Encoding: chunked"), chunks, b"0\r\n\r\n")
    await client.receive()


async def pipelined_bodies(client: Client) -> None:
    requests = [head("POST", "/", "Content-Length: 60000") + bytes(60_000) for _ in range(16)]
    await client.send(*requests)
    for _ in requests:
        await client.receive()
        if client.writer is None:
            return


async def pipelined_heads(client: Client) -> None:
    await client.send(b"".join(head("GET", "/", "X-Text: " + "t" * 700) for _ in range(60)))
    for _ in range(60):
        await client.receive()
        if client.writer is None:
            return


async def slow_readers(client: Client) -> None:
    await client.send(head("GET", "/long"))
    await client.receive(SLOW_READ_BYTES_PER_S)


async def responses_unread(client: Client) -> None:
    await client.send(*(head("GET", "/medium") for _ in range(16)))
    await asyncio.sleep(2.0)
    client.statuses["not read"] += 1
    client.close()


async def many_headers(client: Client) -> None:
    """Send heads of many short headers that stay incomplete."""
    await client.send(head("GET", "/")[:-2] + b"a:\r\n" * 3_500)
    await asyncio.sleep(2.0)
    client.statuses["incomplete"] += 1
    client.close()


async def long_streams(client: Client) -> None:
    size = 4_000_000
    await client.send(head("POST", "/", f"Content-Length: {size}"), *[bytes(100_000)] * 40)
    await client.receive()


async def idle(client: Client) -> None:
    await client.send(head("GET", "/"))
    await client.receive()
    await asyncio.sleep(3.0)


LOADS: dict[str, Callable[[Client], Awaitable[None]]] = {
    load.__name__: load
    for load in (
        bodies, short_bodies, chunked_bodies, tiny_chunks, pipelined_bodies, pipelined_heads, slow_readers,
        responses_unread, many_headers, long_streams, idle,
    )
}  # fmt: skip


# ---- the node's process


class NodeProcess:
    """A node, started as the platform starts it."""

    def __init__(self, folder: Path, config: dict) -> None:
        """``folder``: for the configuration, the log and $TMPDIR."""
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        self._log = folder / "node.log"
        environment = {k: v for k, v in os.environ.items() if not k.startswith("NODE_")}
        with self._log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "oakbridge"],
                cwd=ROOT,
                env=environment | {"NODE_CONFIG": str(path), "TMPDIR": str(folder)},
                stdout=log,
                stderr=log,
            )

    def log(self) -> str:
        """Return what the node has logged."""
        return self._log.read_text()

    def memory_mb(self) -> float:
        """Return the resident memory."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(sizes[0]) / 1024 if sizes else 0.0

    def kill(self) -> None:
        """End the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def node_config(discovery: int, servers: list, memory_mb: int, sockets: int) -> dict:
    """Return the content of a configuration file; the node listens on a free port."""
    [port] = free_ports(1)
    listed = [
        endpoint(f"s-{i}", server.sockets[0].getsockname()[1]) for i, server in enumerate(servers)
    ]
    return {
        "name": "n1", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": listing(1, *listed),
        "settings": SETTINGS | {"allowed": SETTINGS["allowed"] | {"max-open": 20_000}},
    }  # fmt: skip


@contextlib.asynccontextmanager
async def running_node(
    memory_mb: int, sockets: int, draw: random.Random
) -> AsyncIterator[tuple[NodeProcess, int]]:
    """Start servers, discovery and a node; end them afterwards.  Gives the node and its port."""
    servers = [
        await asyncio.start_server(lambda r, w: serve(r, w, draw), "127.0.0.1", 0, backlog=1024)
        for _ in range(SERVER_COUNT)
    ]
    try:
        async with running_node_before(servers, memory_mb, sockets) as node:
            yield node
    finally:
        for server in servers:
            server.close()


@contextlib.asynccontextmanager
async def running_node_before(
    servers: list[asyncio.Server], memory_mb: int, sockets: int
) -> AsyncIterator[tuple[NodeProcess, int]]:
    """Start discovery and a node before servers that listen; end them afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        async with ScriptedDiscovery() as discovery:
            config = node_config(discovery.port, servers, memory_mb, sockets)
            node = NodeProcess(Path(folder), config)
            try:
                await until(lambda: "node listening" in node.log())
                yield node, int(config["listen"].split(":")[1])
            finally:
                node.kill()


async def measure(
    load: str, clients: int, seconds: float, *, memory_mb: int = 192, sockets: int = 1024
) -> Outcome:
    """Run a load; return its outcome.  The node's memory is watched, and not limited."""
    outcome, draw = Outcome(), random.Random(SEED)
    loop = asyncio.get_running_loop()
    async with running_node(memory_mb, sockets, draw) as (node, port):
        outcome.idle_mb = node.memory_mb()
        end = loop.time() + seconds

        async def run_client() -> None:
            client = Client(port, outcome.statuses, draw)
            await asyncio.sleep(draw.uniform(0, seconds / 4))
            while loop.time() < end:
                try:
                    await LOADS[load](client)
                except ConnectionError:
                    client.statuses["reset while sending"] += 1
                    client.close()
                    await asyncio.sleep(REJECTED_PAUSE_S)
            client.close()

        async def watch() -> None:
            while True:
                outcome.peak_mb = max(outcome.peak_mb, node.memory_mb())
                await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)

        watching = loop.create_task(watch())
        await asyncio.gather(*(run_client() for _ in range(clients)))
        watching.cancel()
        await asyncio.sleep(SETTLE_S)
        assert node.process.poll() is None
        outcome.final_mb = node.memory_mb()
    return outcome


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("load", choices=LOADS)
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--clients", type=int, default=200)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = vars(parser.parse_args())
    print(options, asyncio.run(measure(options.pop("load"), **options)))


if __name__ == "__main__":
    main()
