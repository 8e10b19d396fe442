"""Clients of the fault soak: what they sent, when they left, and what they got."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum

from node_process import CLASSES, NodeProcess
from soak_server import arrived_at

# A request's final answer may come so long after its time; later it is lost.
ANSWER_SLACK_S = 0.5
OWN_DELAY_S = (
    0.05  # an answer that has arrived is read so soon; its lateness is judged all the same
)
# New connections go on coming to a node for so long after SIGTERM.
FRONT_NOTICE_S = 0.3
IDS = itertools.count(1)


class Outcome(Enum):
    """What a client got for one request."""

    ANSWERED = "answered"
    CLOSED = "closed without a byte of an answer"
    CUT_SHORT = "an answer cut short"
    SILENT = "no answer in time"
    LEFT = "the client left"
    NEVER_WHOLE = "the client left in the midst of its request"
    NOT_CONNECTED = "no connection"


@dataclass(slots=True)
class SentRequest:
    """One request, as its client knows it; times in seconds of CLOCK_MONOTONIC."""

    request_id: str
    node: int
    class_name: str
    timeout_s: float
    on_new_connection: bool
    in_crowd: bool  # many idle connections were held at its node
    sent_at: float = 0.0  # of the last byte
    ended_at: float = 0.0  # answered, closed, or left
    outcome: Outcome = Outcome.NOT_CONNECTED
    status: int = 0
    body: bytes = b""
    body_length: int = 0  # as its answer's head told


@dataclass(slots=True)
class SoakNode:
    """A node under test, as clients and the schedule see it."""

    number: int
    process: NodeProcess
    ending_since: float | None = None  # SIGTERM
    is_up: bool = True
    has_crowd: bool = False
    accepts_until: float = 0.0  # until then no further failure of accept begins
    is_starting: bool = False  # a second process, which can't take signals yet

    def takes_signals(self) -> bool:
        """Return whether no process is at its very start, where a signal would end it."""
        return self.is_up and not self.is_starting

    def takes_new_connections(self) -> bool:
        """Return whether the front would still send a new client here."""
        if not self.is_up:
            return False
        return self.ending_since is None or time.monotonic() < self.ending_since + FRONT_NOTICE_S


@dataclass(slots=True)
class Connection:
    """A client's connection, and the node that it leads to."""

    node: SoakNode
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_new: bool = True


class Client:
    """One client: sends one request at a time, and keeps its connection while that is open."""

    def __init__(
        self, nodes: list[SoakNode], seed: int, log: list[SentRequest], ends: Callable[[], bool]
    ) -> None:
        self._nodes = nodes
        self._random = random.Random(seed)
        self._log = log
        self._ends = ends
        self._connection: Connection | None = None

    async def run(self) -> None:
        """Send requests until the soak ends, then wait for the last answer."""
        while not self._ends():
            request = await self._send_one()
            if request.outcome is Outcome.CLOSED and not request.on_new_connection:
                await self._send_one()  # it crossed the close: once more, on a new connection
            await asyncio.sleep(self._pause_s())
        self._drop()

    def _pause_s(self) -> float:
        if self._random.random() < 0.1:
            return self._random.uniform(0.3, 1.5)  # the connection rests
        return self._random.uniform(0.0, 0.05)

    async def _send_one(self) -> SentRequest:
        if self._connection is not None and self._connection.reader.at_eof():
            self._drop()
        if self._connection is None:
            self._connection = await self._connect()
        request = self._new_request()
        self._log.append(request)
        if self._connection is None:
            await asyncio.sleep(0.02)
            return request
        connection = self._connection
        try:
            await self._exchange(connection, request)
        finally:
            request.ended_at = request.ended_at or time.monotonic()
            request.in_crowd = request.in_crowd or connection.node.has_crowd
        if request.outcome is not Outcome.ANSWERED:
            self._drop()
        return request

    async def _connect(self) -> Connection | None:
        usable = [node for node in self._nodes if node.takes_new_connections()]
        if not usable:
            return None
        node = self._random.choice(usable)
        try:
            streams = await asyncio.open_connection("127.0.0.1", node.process.port)
        except OSError:
            return None
        return Connection(node, *streams)

    def _new_request(self) -> SentRequest:
        connection = self._connection
        number = -1 if connection is None else connection.node.number
        return SentRequest(
            request_id=f"q{next(IDS)}-{number}",
            node=number,
            class_name=self._random.choice(CLASSES)["name"],
            timeout_s=self._random.choice((0.15, 0.5, 1.0, 2.0)),
            on_new_connection=connection is not None and connection.is_new,
            in_crowd=connection is not None and connection.node.has_crowd,
        )

    async def _exchange(self, connection: Connection, request: SentRequest) -> None:
        connection.is_new = False
        if not await self._send(connection, request):
            return
        request.sent_at = time.monotonic()
        patience_s = request.timeout_s + ANSWER_SLACK_S
        leaves = self._random.random() < 0.06
        if leaves:
            patience_s = self._random.uniform(0.0, 0.3)
        reading = asyncio.create_task(self._read_answer(connection, request))
        await asyncio.wait({reading}, timeout=patience_s)
        if not reading.done() and not leaves:
            # This process may have stood still itself: what has arrived meanwhile is read first.
            await asyncio.wait({reading}, timeout=OWN_DELAY_S)
        if not reading.done():
            request.outcome = Outcome.LEFT if leaves else Outcome.SILENT
            reading.cancel()
            connection.writer.transport.abort()
            request.ended_at = time.monotonic()
            return
        try:
            reading.result()
        except asyncio.IncompleteReadError as error:
            request.outcome = Outcome.CUT_SHORT if error.partial else request.outcome
        except OSError:
            pass

    async def _send(self, connection: Connection, request: SentRequest) -> bool:
        """Send a request, some slowly in pieces; return False if the client left in its midst."""
        data = self._encode(request)
        draw = self._random.random()
        if draw < 0.08:
            half = self._random.randrange(1, len(data))
            connection.writer.write(data[:half])
            await asyncio.sleep(self._random.uniform(0.0, 0.3))
            data = data[half:]
        if draw < 0.03:
            request.outcome = Outcome.NEVER_WHOLE
            connection.writer.transport.abort()
            return False
        connection.writer.write(data)
        return True

    async def _read_answer(self, connection: Connection, request: SentRequest) -> None:
        request.outcome = Outcome.CLOSED
        head = await connection.reader.readuntil(b"\r\n\r\n")
        request.outcome = Outcome.CUT_SHORT
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)}
        request.body_length = int(headers["content-length"])
        body = await connection.reader.readexactly(request.body_length)
        request.outcome = Outcome.ANSWERED
        request.status, request.body = int(first.split(" ")[1]), body
        request.ended_at = self._arrived_at(connection)
        if headers.get("connection") == "close":
            self._drop()

    @staticmethod
    def _arrived_at(connection: Connection) -> float:
        """Return when the answer reached this machine: this process may have stood still since."""
        try:
            return arrived_at(connection.writer.transport)
        except OSError:  # the connection broke behind the answer
            return time.monotonic()

    def _encode(self, request: SentRequest) -> bytes:
        is_safe = request.class_name == "look"
        lines = [
            f"{'GET' if is_safe else 'POST'} /api HTTP/1.1",
            "Host: app.svc",
            f"X-Request-ID: {request.request_id}",
            f"X-Priority-Class: {request.class_name}",
            f"X-Timeout: {int(request.timeout_s * 1000)}m",
        ]
        if request.class_name == "close":
            lines.append(f"Idempotency-Key: k{request.request_id}")
        body = b"" if is_safe else b"b" * self._random.choice((1, 100, 20_000))
        lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.writer.transport.abort()
            self._connection = None


async def hold_crowd(node: SoakNode, size: int, seconds: float) -> None:
    """Hold idle connections at a node for a while: more than it has places for."""
    writers = []
    node.has_crowd = True
    for _ in range(size):
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                _, writer = await asyncio.open_connection("127.0.0.1", node.process.port)
            writers.append(writer)
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.transport.abort()
    await asyncio.sleep(0.5)
    node.has_crowd = False
