"""A second answer that comes 3 ms late is served to another client."""

from __future__ import annotations

import asyncio
import random
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
    read_message,
    run_case,
    settings,
    with_trouble,
)

SERVERS = 12
CLIENTS = 84  # a third of the node's descriptors at most
DESCRIPTORS = 256  # days have 256 to 1,024
WORK_S = (0.33, 0.59)  # of car-nearby
SPOILT_SHARE = 0.05  # of the answers: a second copy follows
LATE_S = 0.003  # the second copy comes some milliseconds late
LOAD_S = 25.0


class Server:
    """A server that answers each request with the request's own id, after the usual work."""

    def __init__(self, name: str, stage: Stage, rng: random.Random) -> None:
        self.name = name
        self._record = stage.record
        self._rng = rng
        self.second_copies = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection, one at a time."""
        while (request := await read_message(reader)) is not None:
            request_id = request.headers["x-request-id"]
            self._record.add(f"{self.name} runs {request_id}")
            await asyncio.sleep(self._rng.uniform(*WORK_S))
            answer = encode("HTTP/1.1 200 OK", {}, f"made for {request_id}".encode())
            writer.write(answer)
            if with_trouble() and self._rng.random() < SPOILT_SHARE:
                # Nothing else waits on the connection when the second copy is decided on.
                self.second_copies += 1
                self._record.add(f"{self.name} sends a second copy of the answer to {request_id}")
                await asyncio.sleep(LATE_S)
                writer.write(answer)


class Client:
    """A usual client: one request at a time on a kept connection, and no repeats."""

    def __init__(self, number: int, stage: Stage, port: int) -> None:
        self._number = number
        self._record = stage.record
        self._port = port
        self.breaks: list[str] = []
        self.served = 0
        self.other = 0

    async def load(self, until: float) -> None:
        """Send requests until a time of the event loop."""
        loop = asyncio.get_running_loop()
        connection = None
        count = 0
        while loop.time() < until:
            count += 1
            if connection is None:
                connection = await asyncio.open_connection(LOCALHOST, self._port)
            reader, writer = connection
            request_id = f"{self._number:04x}{count:012x}"
            headers = {
                "Host": "app.svc", "X-Request-ID": request_id, "X-Priority-Class": "car-nearby",
                "X-Timeout": "3000m",
            }  # fmt: skip
            self._record.add(f"client {self._number} sends {request_id}")
            writer.write(encode("GET /api HTTP/1.1", headers))
            answer = await read_message(reader)
            if answer is None:
                connection = None
                self._record.add(f"client {self._number} gets no whole answer to {request_id}")
                continue
            self._check(request_id, answer.status, answer.body.decode("latin-1"))
            if answer.headers.get("connection", "").lower() == "close":
                writer.close()
                connection = None

    def _check(self, request_id: str, status: int, body: str) -> None:
        self._record.add(f"client {self._number} gets {status} '{body}' to {request_id}")
        if status != 200:
            self.other += 1
            return
        self.served += 1
        if body != f"made for {request_id}":
            self.breaks.append(f"request {request_id} was served with the answer '{body}'")


async def play(stage: Stage) -> list[str]:
    """Load a node from as many connections as it allows, and compare each answer's id."""
    rng = random.Random(6)
    servers = [Server(f"s-{number:02d}", stage, rng) for number in range(SERVERS)]
    for server in servers:
        await stage.discovery.put(server.name, port_of(await listen(server.serve)))
    node = stage.new_node("a")
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS}
    known = stage.discovery.whole_list()
    node.start({"limits": limits, "known": known, "settings": settings()})
    await node.wait_until_ready()
    clients = [Client(number, stage, node.listen_port) for number in range(CLIENTS)]
    until = asyncio.get_running_loop().time() + LOAD_S
    await asyncio.gather(*(client.load(until) for client in clients))
    if node.has_ended():
        return ["the node has ended"]
    served = sum(client.served for client in clients)
    copies = sum(server.second_copies for server in servers)
    other = sum(client.other for client in clients)
    stage.record.say(f"served {served}, refused or failed {other}, second copies {copies}")
    if not served:
        raise CouldNotRunError("nothing was served")
    return [line for client in clients for line in client.breaks]


run_case(__file__, play, limit_s=60.0)
