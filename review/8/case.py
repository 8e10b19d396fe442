"""After a slow client's long answer, the node no longer reads what that server's connection gives."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from harness import (
    LOCALHOST,
    CouldNotRunError,
    Stage,
    encode,
    listen,
    port_of,
    read_head,
    run_case,
    settings,
    with_trouble,
)

SERVERS = 3
ROUNDS = 14
CLIENTS = 6  # in each round
LONG_BYTES = (600_000, 900_000)  # answers to slow clients
SLOW_BYTES_PER_S = 500_000  # the pages allow bodies at 64 kB a second
READ_BYTES = 10_000
ANSWER_BYTES = 100_000  # answers to the usual clients of the second half of a round
TIMEOUT_S = 3.0
HELD_BACK_S = 2.0
# A slow client's connection has the usual segments and buffers of a network.
SEGMENT_BYTES = 1448
RECEIVE_BUFFER_BYTES = 16 * 1024
READ_AHEAD_BYTES = 16 * 1024


class Servers:
    """Servers that write each answer at once, and note when they have written all of it."""

    def __init__(self, stage: Stage) -> None:
        self._record = stage.record
        self.given_at: dict[str, float] = {}  # by request id

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection with as many bytes as their targets name."""
        while (request := await read_head(reader)) is not None:
            request_id = request.headers["x-request-id"]
            await reader.readexactly(int(request.headers.get("content-length", "0")))
            size = int(request.first_line.split()[1].rpartition("/")[2])
            self._record.add(f"a server runs {request_id}")
            writer.write(encode("HTTP/1.1 200 OK", {}, b"z" * size))
            self.given_at[request_id] = self._record.now()
            await writer.drain()


class Client:
    """A client with one request on a connection of its own."""

    def __init__(self, request_id: str, stage: Stage, *, slow: bool) -> None:
        self.request_id = request_id
        self._record = stage.record
        self._slow = slow
        self.status = 0
        self.received = 0
        self.ended_at = 0.0

    async def ask(self, port: int, size: int) -> None:
        """Send the request, and read its answer at the client's speed."""
        reader, writer = await self._connect(port)
        method = "GET" if self._slow else "POST"
        headers = {
            "Host": "app.svc", "X-Request-ID": self.request_id, "X-Timeout": f"{int(TIMEOUT_S * 1000)}m",
            "X-Priority-Class": "car-nearby" if self._slow else "book-trip",
        }  # fmt: skip
        self._record.add(f"client sends {self.request_id}, for {size} bytes")
        writer.write(
            encode(f"{method} /api/{size} HTTP/1.1", headers, b"" if self._slow else b"trip")
        )
        answer = await read_head(reader)
        if answer is not None:
            self.status = answer.status
            await self._read_body(reader, int(answer.headers.get("content-length", "0")))
        self.ended_at = self._record.now()
        self._record.add(f"client gets {self.status}, {self.received} bytes to {self.request_id}")
        writer.close()

    async def _read_body(self, reader: asyncio.StreamReader, length: int) -> None:
        while self.received < length:
            part = await reader.read(min(READ_BYTES, length - self.received))
            if not part:
                return
            self.received += len(part)
            if self._slow and with_trouble():
                await asyncio.sleep(READ_BYTES / SLOW_BYTES_PER_S)

    async def _connect(self, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        sock = socket.socket()
        if self._slow and with_trouble():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (LOCALHOST, port))
        return await asyncio.open_connection(sock=sock, limit=READ_AHEAD_BYTES)


async def _play_round(stage: Stage, port: int, number: int, rng: random.Random) -> list[Client]:
    """Let slow clients read long answers, then usual ones book; return the latter."""
    async with asyncio.TaskGroup() as group:
        for i in range(CLIENTS):
            client = Client(f"a{number:07x}{i:08x}", stage, slow=True)
            group.create_task(client.ask(port, rng.randint(*LONG_BYTES)))
    await asyncio.sleep(0.1)
    booking = [Client(f"b{number:07x}{i:08x}", stage, slow=False) for i in range(CLIENTS)]
    async with asyncio.TaskGroup() as group:
        for client in booking:
            group.create_task(client.ask(port, ANSWER_BYTES))
    return booking


async def play(stage: Stage) -> list[str]:
    """Count the bookings whose answer a server has given, and whose client did not get it."""
    servers = Servers(stage)
    for number in range(SERVERS):
        await stage.discovery.put(f"s-{number}", port_of(await listen(servers.serve)))
    node = stage.new_node("a")
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    known = stage.discovery.whole_list()
    node.start({"limits": limits, "known": known, "settings": settings()})
    await node.wait_until_ready()
    rng = random.Random(10)
    booking: list[Client] = []
    for number in range(ROUNDS):
        booking += await _play_round(stage, node.listen_port, number, rng)
    if node.has_ended():
        return ["the node has ended"]
    if not any(client.received for client in booking):
        raise CouldNotRunError("nothing was served")
    breaks = []
    for client in booking:
        given_at = servers.given_at.get(client.request_id)
        whole = client.status == 200 and client.received == ANSWER_BYTES
        if given_at is None or whole or client.ended_at - given_at < HELD_BACK_S:
            continue
        held_s = client.ended_at - given_at
        breaks.append(
            f"{client.request_id} got {client.status} and {client.received} bytes; its server gave"
            f" {ANSWER_BYTES} bytes {held_s:.2f} s before"
        )
    stage.record.say(f"bookings: {len(booking)}, of these with the answer held back: {len(breaks)}")
    return breaks


run_case(__file__, play, limit_s=110.0)
