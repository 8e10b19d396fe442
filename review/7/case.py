"""A keyed request that may have run is still being written when servers have forgotten its key."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from harness import (
    LOCALHOST,
    CouldNotRunError,
    Message,
    Stage,
    encode,
    listen,
    port_of,
    read_head,
    read_message,
    run_case,
    settings,
    with_trouble,
)

WINDOW_S = 2.0  # for which servers remember a key; the deadline stays at 6 s
BODY_BYTES = 480_000
SLOW_BYTES_PER_S = 90_000  # the pages give 64 kB a second as the slowest rate of a body
READ_INTERVAL_S = 0.05
KEYED_REQUESTS = 60
KEYED_INTERVAL_S = 0.5
PLAIN_INTERVAL_S = 0.05
# A connection with the usual segments and buffers of a network, not those of the loopback device.
SEGMENT_BYTES = 1448
RECEIVE_BUFFER_BYTES = 8 * 1024
READ_AHEAD_BYTES = 8 * 1024


class Memory:
    """The keys that all servers remember together, and how often each key's request has run.

    A key is remembered from each run on: a little longer than from the send of its attempt.
    """

    def __init__(self) -> None:
        self.runs: dict[str, list[str]] = {}
        # By key, the repeats that began after the first run: sent again, and not dropped.
        self.repeats: dict[str, list[str]] = {}
        self._first_run_at: dict[str, float] = {}
        self._last_run_at: dict[str, float] = {}

    def is_remembered(self, key: str, now: float) -> bool:
        """Return whether a repeat is dropped."""
        return key in self._last_run_at and now - self._last_run_at[key] < WINDOW_S

    def run(self, key: str, began_at: float, now: float, what: str) -> None:
        """Run a request, and remember its key."""
        if began_at > self._first_run_at.setdefault(key, now):
            self.repeats.setdefault(key, []).append(what)
        self.runs.setdefault(key, []).append(what)
        self._last_run_at[key] = now


class Server:
    """A server.  A failing one runs keyed requests and answers 500; a slow one reads slowly."""

    def __init__(self, name: str, stage: Stage, memory: Memory, *, slow: bool) -> None:
        self.name = name
        self._record = stage.record
        self._memory = memory
        self._slow = slow

    def open_socket(self) -> socket.socket:
        """Return a listening socket."""
        sock = socket.socket()
        if self._slow:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.bind((LOCALHOST, 0))
        sock.listen(128)
        sock.setblocking(False)
        return sock

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection; a request begins when its last byte has come."""
        while (request := await read_head(reader)) is not None:
            began_at = self._record.now()
            body = await self._read_body(reader, int(request.headers.get("content-length", "0")))
            if body is None:
                self._record.add(f"{self.name} never gets the last byte of {_id(request)}")
                return
            key = request.headers.get("idempotency-key")
            status = 200 if key is None else self._run(request, key, began_at)
            if key is None:
                self._record.add(f"{self.name} runs {_id(request)}, safe to repeat")
                await asyncio.sleep(0.02)
            writer.write(encode(f"HTTP/1.1 {status} X", {}, _id(request).encode()))

    async def _read_body(self, reader: asyncio.StreamReader, length: int) -> bytes | None:
        body = bytearray()
        try:
            while len(body) < length:
                if not (self._slow and with_trouble()):
                    body += await reader.readexactly(length - len(body))
                    continue
                part = min(int(SLOW_BYTES_PER_S * READ_INTERVAL_S), length - len(body))
                body += await reader.readexactly(part)
                await asyncio.sleep(READ_INTERVAL_S)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return bytes(body)

    def _run(self, request: Message, key: str, began_at: float) -> int:
        now = self._record.now()
        what = f"{_id(request)} at {self.name}, first byte at {began_at:.3f} s, last at {now:.3f} s"
        if self._memory.is_remembered(key, now):
            self._record.add(f"dropped as a repeat: {what}")
            return 200
        self._memory.run(key, began_at, now, what)
        self._record.add(f"runs: {what}")
        return 200 if self._slow else 500


def _id(request: Message) -> str:
    return request.headers["x-request-id"]


async def _send(stage: Stage, port: int, request_id: str, head: str, body: bytes) -> None:
    """Send one request on a connection of its own, and record its answer."""
    reader, writer = await asyncio.open_connection(LOCALHOST, port)
    try:
        keyed = {"Idempotency-Key": request_id * 2} if body else {}
        headers = {
            "Host": "app.svc", "X-Request-ID": request_id, "X-Timeout": "6000m",
            "X-Priority-Class": "close-trip" if body else "car-nearby",
        }  # fmt: skip
        stage.record.add(f"client sends {request_id}, {len(body)} bytes of body")
        writer.write(encode(head, headers | keyed, body))
        answer = await read_message(reader)
        status = "no answer" if answer is None else str(answer.status)
        stage.record.add(f"client gets {status} to {request_id}")
    finally:
        writer.close()


async def _send_plain(stage: Stage, port: int) -> None:
    count = 0
    while True:
        count += 1
        request_id = f"{count:016x}"
        await _send(stage, port, request_id, "GET /api HTTP/1.1", b"")
        await asyncio.sleep(PLAIN_INTERVAL_S)


async def play(stage: Stage) -> list[str]:
    """Send keyed requests with long bodies, and count how often each has run."""
    memory = Memory()
    for number in range(4):
        server = Server(f"s-{number}", stage, memory, slow=number >= 1)
        port = port_of(await listen(server.serve, server.open_socket(), READ_AHEAD_BYTES))
        await stage.discovery.put(server.name, port)
    changed = settings()
    for request_class in changed["classes"]:
        request_class["repeat-window"] = int(WINDOW_S * 1_000_000)
    node = stage.new_node("a")
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    known = stage.discovery.whole_list()
    node.start({"limits": limits, "known": known, "settings": changed})
    await node.wait_until_ready()
    plain = asyncio.create_task(_send_plain(stage, node.listen_port))
    async with asyncio.TaskGroup() as group:
        for number in range(KEYED_REQUESTS):
            request_id = f"c{number:015x}"
            group.create_task(
                _send(stage, node.listen_port, request_id, "POST /api HTTP/1.1", b"x" * BODY_BYTES)
            )
            await asyncio.sleep(KEYED_INTERVAL_S)
    plain.cancel()
    if node.has_ended():
        return ["the node has ended"]
    if not memory.runs:
        raise CouldNotRunError("no keyed request has run")
    ran, repeated = len(memory.runs), len(memory.repeats)
    stage.record.say(f"keyed requests that ran: {ran}, sent again and run again: {repeated}")
    return [
        f"ran {len(memory.runs[key])} times: {'; '.join(memory.runs[key])}"
        for key in memory.repeats
    ]


run_case(__file__, play, limit_s=90.0)
