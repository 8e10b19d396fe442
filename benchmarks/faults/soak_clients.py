"""Clients of the fault soak, which record each request, its response and early disconnects."""

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

# A final response that arrives later than this after the request's timeout counts as lost.
RESPONSE_SLACK_S = 0.5
# Extra time in which a delayed soak process reads a response that has already arrived; the rules
# still judge when the response arrived.
READ_SLACK_S = 0.05
# How long clients still open connections to a node after its SIGTERM.
TERMINATION_NOTICE_S = 0.3
REQUEST_NUMBERS = itertools.count(1)


class Outcome(Enum):
    """How one request finished for its client; the values stand in the report line."""

    ANSWERED = "answered"
    CLOSED = "closed without a byte of a response"
    CUT_SHORT = "response cut short"
    NO_RESPONSE = "no response in time"
    DISCONNECTED = "client disconnected"
    INCOMPLETE = "client disconnected before it had sent all of its request"
    NOT_CONNECTED = "no connection"


@dataclass(slots=True)
class SentRequest:
    """One request, as its client recorded it; times in seconds of CLOCK_MONOTONIC."""

    request_id: str
    node: int
    class_name: str
    timeout_s: float
    on_new_connection: bool
    in_crowd: bool  # its node had a crowd of idle connections meanwhile
    sent_at: float = 0.0  # when the last byte was sent
    finished_at: float = 0.0  # when it was answered, closed or given up
    outcome: Outcome = Outcome.NOT_CONNECTED
    status: int = 0
    body: bytes = b""
    body_length: int = 0  # the Content-Length of the response


@dataclass(slots=True)
class SoakNode:
    """A node under test, and the state that clients and schedules share about it."""

    number: int
    process: NodeProcess
    terminated_at: float | None = None  # when SIGTERM was sent; None: it wasn't
    is_up: bool = True
    has_crowd: bool = False
    accept_fault_not_before: float = 0.0  # no further fault of accept starts before this time
    is_starting: bool = False  # a successor starts, which can't handle signals yet

    def handles_signals(self) -> bool:
        """Return whether no process of the node is so early in its start that a signal kills it."""
        return self.is_up and not self.is_starting

    def receives_new_connections(self) -> bool:
        """Return whether clients still open new connections to this node."""
        if not self.is_up:
            return False
        return (
            self.terminated_at is None
            or time.monotonic() < self.terminated_at + TERMINATION_NOTICE_S
        )


@dataclass(slots=True)
class Connection:
    """A client's connection to a node."""

    node: SoakNode
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    is_new: bool = True


class Client:
    """A client that sends one request at a time, and reuses its connection while it is open."""

    def __init__(
        self, nodes: list[SoakNode], seed: int, log: list[SentRequest], is_over: Callable[[], bool]
    ) -> None:
        self._nodes = nodes
        self._random = random.Random(seed)
        self._log = log
        self._is_over = is_over
        self._connection: Connection | None = None

    async def run(self) -> None:
        """Send requests until the soak is over; the last request still finishes."""
        while not self._is_over():
            request = await self._send_one()
            if request.outcome is Outcome.CLOSED and not request.on_new_connection:
                # The node closed the connection as the request was sent: retry on a new one.
                await self._send_one()
            await asyncio.sleep(self._pause_s())
        self._disconnect()

    def _pause_s(self) -> float:
        if self._random.random() < 0.1:
            return self._random.uniform(0.3, 1.5)  # the connection is idle
        return self._random.uniform(0.0, 0.05)

    async def _send_one(self) -> SentRequest:
        if self._connection is not None and self._connection.reader.at_eof():
            self._disconnect()
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
            request.finished_at = request.finished_at or time.monotonic()
            request.in_crowd = request.in_crowd or connection.node.has_crowd
        if request.outcome is not Outcome.ANSWERED:
            self._disconnect()
        return request

    async def _connect(self) -> Connection | None:
        usable = [node for node in self._nodes if node.receives_new_connections()]
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
            request_id=f"q{next(REQUEST_NUMBERS)}-{number}",
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
        wait_s = request.timeout_s + RESPONSE_SLACK_S
        disconnects_early = self._random.random() < 0.06
        if disconnects_early:
            wait_s = self._random.uniform(0.0, 0.3)
        read = asyncio.create_task(self._read_response(connection, request))
        await asyncio.wait({read}, timeout=wait_s)
        if not read.done() and not disconnects_early:
            # This process may have been delayed itself: first read what has arrived meanwhile.
            await asyncio.wait({read}, timeout=READ_SLACK_S)
        if not read.done():
            request.outcome = Outcome.DISCONNECTED if disconnects_early else Outcome.NO_RESPONSE
            read.cancel()
            connection.writer.transport.abort()
            request.finished_at = time.monotonic()
            return
        try:
            read.result()
        except asyncio.IncompleteReadError as error:
            request.outcome = Outcome.CUT_SHORT if error.partial else request.outcome
        except OSError:
            pass

    async def _send(self, connection: Connection, request: SentRequest) -> bool:
        """Send a request, some in two pieces; return False if the client disconnects meanwhile."""
        data = self._encode(request)
        draw = self._random.random()
        if draw < 0.08:
            split_at = self._random.randrange(1, len(data))
            connection.writer.write(data[:split_at])
            await asyncio.sleep(self._random.uniform(0.0, 0.3))
            data = data[split_at:]
        if draw < 0.03:
            request.outcome = Outcome.INCOMPLETE
            connection.writer.transport.abort()
            return False
        connection.writer.write(data)
        return True

    async def _read_response(self, connection: Connection, request: SentRequest) -> None:
        request.outcome = Outcome.CLOSED
        head = await connection.reader.readuntil(b"\r\n\r\n")
        request.outcome = Outcome.CUT_SHORT
        status_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {
            name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines)
        }
        request.body_length = int(headers["content-length"])
        body = await connection.reader.readexactly(request.body_length)
        request.outcome = Outcome.ANSWERED
        request.status, request.body = int(status_line.split(" ")[1]), body
        request.finished_at = self._arrived_at(connection)
        if headers.get("connection") == "close":
            self._disconnect()

    @staticmethod
    def _arrived_at(connection: Connection) -> float:
        """Return when the kernel received the response; this process may have read it later."""
        try:
            return arrived_at(connection.writer.transport)
        except OSError:  # the connection failed after the response
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

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.writer.transport.abort()
            self._connection = None


async def hold_crowd(node: SoakNode, size: int, seconds: float) -> None:
    """Hold idle connections to a node for some seconds; more than its limits allow."""
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
