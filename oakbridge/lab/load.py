"""The helper process that sends requests in open loop, each when it is due.

Latency counts from the time at which a request is due.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oakbridge.lab import table
from oakbridge.lab.addresses import CLIENT_PORT, NODE_NET, Slot, host_address
from oakbridge.lab.client_connection import ClientConnection, Response
from oakbridge.lab.node_selector import NodeSelector

NO_RESPONSE = Response(0)  # instead of a response: the request got none
NOT_ACCEPTED = Response(-1)  # instead of a response: no node accepted the connection
NO_NODE = -1
RESPONSE_TIMEOUT_S = 1.0  # beyond the request's deadline
MIN_TIMEOUT_S = 0.001
MAX_IN_FLIGHT = 20_000
MAX_NODES_TRIED = 4
LATE_S = 0.05  # a request sent later than this after its due time counts as sent late
END_TIMEOUT_S = 10
REJECTED_STATUSES = (429, 503)
RETRY_WITHIN_DEADLINES = 3  # time for retries since the due time, as a multiple of the deadline
MIN_RETRY_DELAY_S = 0.05
RETRY_JITTER = (0.9, 1.3)  # range of the random factor on the delay
COLUMNS = ("due", "class", "site", "node", "status", "took", "tries", "request", "aim")

Row = tuple[int, int, int, int, int, int, int, str, int]


@dataclass(frozen=True, slots=True)
class Stream:
    """The requests of one class from one site's clients."""

    class_number: int
    site_number: int
    rate_per_s: float


class Helper:
    """All streams of one load process."""

    def __init__(self, config: dict[str, Any]) -> None:
        """``config``: as built by ``helper_configs.load_configs``."""
        self._slot = Slot(config["base"])
        self._seed = config["seed"]
        self._part = config["part"]
        self._classes = config["classes"]
        self._sites = config["sites"]
        self._nodes = config["nodes"]
        self._max_retries = config["repeats"]
        self._out = Path(config["out"])
        self._random = random.Random(f"load {self._seed} {self._part}")
        weights = random.Random(f"weights {self._seed}")  # the same in all load processes
        self._weights = {
            node: weights.lognormvariate(0, config["spread"]) for node in range(len(self._nodes))
        }
        self._idle: dict[int, list[ClientConnection]] = defaultdict(list)  # by node
        self._avoided_until_s: dict[int, float] = {}
        self._rows: list[Row] = []
        self._requests: set[asyncio.Task[None]] = set()
        self._streams: list[asyncio.Task[None]] = []
        self._ids = itertools.count()
        self._unsolicited_responses = 0
        self._sent_late = 0

    async def start(self) -> None:
        """Do nothing: the command ``go`` starts the streams."""

    def do(self, command: dict[str, Any]) -> None:
        """Carry out ``go``, with the number of load processes as ``parts``, or ``stop``."""
        if command["do"] == "go":
            self._start_streams(command["parts"])
        else:
            self._stop_streams()

    def _start_streams(self, parts: int) -> None:
        loop = asyncio.get_running_loop()
        total = sum(load for _, load in self._sites)
        for class_number, request_class in enumerate(self._classes):
            for site_number, (_, load) in enumerate(self._sites):
                rate_per_s = request_class["rate"] * load / total / parts
                if rate_per_s > 0:
                    stream = Stream(class_number, site_number, rate_per_s)
                    self._streams.append(loop.create_task(self._run_stream(stream)))

    def _stop_streams(self) -> None:
        for task in self._streams:
            task.cancel()

    async def end(self) -> dict[str, Any]:
        """Wait for requests in flight, and write the table."""
        self._stop_streams()
        if self._requests:
            await asyncio.wait(self._requests, timeout=END_TIMEOUT_S)
        await asyncio.to_thread(table.write, self._out, COLUMNS, self._rows)
        return {
            "requests": len(self._rows),
            "unasked answers": self._unsolicited_responses,
            "sent late": self._sent_late,
        }

    def abandon(self) -> None:
        """Do nothing: the process started nothing that outlives it."""

    async def _run_stream(self, stream: Stream) -> None:
        """Send requests as a Poisson process."""
        loop = asyncio.get_running_loop()
        rng = random.Random(f"{self._seed} {self._part} {stream.class_number} {stream.site_number}")
        selector = self._make_selector(stream)
        due_s = loop.time()
        while True:
            due_s += rng.expovariate(stream.rate_per_s)
            wait_s = due_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self._sent_late += wait_s < -LATE_S
            if len(self._requests) >= MAX_IN_FLIGHT:
                self._record_not_sent(stream)
                continue
            task = loop.create_task(self._send_with_retries(stream, selector, due_s))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    def _make_selector(self, stream: Stream) -> NodeSelector:
        """Return the selector of the site's nodes, or of all nodes if the site has none."""
        site, _ = self._sites[stream.site_number]
        nodes = [number for number, (_, home) in enumerate(self._nodes) if home == site]
        return NodeSelector(nodes or range(len(self._nodes)), self._weights, self._avoided_until_s)

    def _record_not_sent(self, stream: Stream) -> None:
        """Record a request beyond the limit as not accepted, so that it still counts."""
        due_us = time.time_ns() // 1000
        objective_us = self._classes[stream.class_number]["aim"]
        self._rows.append(
            (
                due_us,
                stream.class_number,
                stream.site_number,
                NO_NODE,
                NOT_ACCEPTED.status,
                0,
                1,
                "",
                objective_us,
            )
        )

    async def _send_with_retries(
        self, stream: Stream, selector: NodeSelector, due_s: float
    ) -> None:
        """Send a request, and retry it while it is rejected; write a row for each try."""
        loop = asyncio.get_running_loop()
        request_class = self._classes[stream.class_number]
        due_us = time.time_ns() // 1000 - round((loop.time() - due_s) * 1e6)
        timeout_s = request_class["deadline"] / 1e6
        route_key = f"{self._part}-{next(self._ids)}"  # the same for all tries
        for retries in itertools.count():
            request_id = f"{self._part}-{next(self._ids)}"
            sent_s = loop.time() if retries else due_s
            head = RequestHead(request_class, request_id, route_key)
            node, response = await self._send_to_any(selector, head, sent_s + timeout_s)
            self._rows.append(
                (
                    due_us,
                    stream.class_number,
                    stream.site_number,
                    node,
                    response.status,
                    round((loop.time() - due_s) * 1e6),
                    retries + 1,
                    request_id,
                    request_class["aim"],
                )
            )
            is_too_late = loop.time() - due_s > RETRY_WITHIN_DEADLINES * timeout_s
            is_rejected = response.status in REJECTED_STATUSES
            if not is_rejected or retries >= self._max_retries or is_too_late:
                return
            delay_s = max(MIN_RETRY_DELAY_S, response.retry_after_s)
            await asyncio.sleep(delay_s * self._random.uniform(*RETRY_JITTER))

    async def _send_to_any(
        self, selector: NodeSelector, head: RequestHead, deadline_s: float
    ) -> tuple[int, Response]:
        """Send to the first node that accepts the connection; return the node and the response."""
        node, response = NO_NODE, NOT_ACCEPTED
        tried: set[int] = set()
        while response is NOT_ACCEPTED and len(tried) < MAX_NODES_TRIED:
            selected = selector.select(time.monotonic(), tried, self._random)
            if selected is None:
                break
            node = selected
            tried.add(node)
            response = await self._send(node, head, deadline_s)
            if response is NOT_ACCEPTED or response is NO_RESPONSE:
                selector.avoid(node, time.monotonic())
        return node, response

    async def _send(self, node: int, head: RequestHead, deadline_s: float) -> Response:
        left_s = max(MIN_TIMEOUT_S, deadline_s - asyncio.get_running_loop().time())
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(left_s + RESPONSE_TIMEOUT_S):
                connection = self._take_idle(node) or await self._connect(node)
                if connection is None:
                    return NOT_ACCEPTED
                response = await connection.send_request(head.encode(left_s))
        except (OSError, TimeoutError):
            if connection is not None and connection.transport is not None:
                connection.transport.abort()
            return NO_RESPONSE
        self._unsolicited_responses += connection.unsolicited_responses
        connection.unsolicited_responses = 0
        self._idle[node].append(connection)
        return response

    def _take_idle(self, node: int) -> ClientConnection | None:
        idle = self._idle[node]
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
        return None

    async def _connect(self, node: int) -> ClientConnection | None:
        """Open a connection; return None if the node does not accept it."""
        address, port = host_address(NODE_NET, node), self._slot.port(CLIENT_PORT)
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(ClientConnection, address, port)
        except OSError:
            return None
        return connection


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The content of a request's head."""

    request_class: dict[str, Any]
    request_id: str
    route_key: str

    def encode(self, timeout_s: float) -> bytes:
        """Return the request's bytes: a GET, or an empty POST if it is not safe to repeat."""
        name = self.request_class["name"]
        is_safe = self.request_class["repeat"] == "safe"
        lines = [
            f"{'GET' if is_safe else 'POST'} /{name} HTTP/1.1",
            "Host: lab",
            f"X-Request-ID: {self.request_id}",
            f"X-Priority-Class: {name}",
            f"X-Timeout: {round(timeout_s * 1000)}m",
            f"X-Route-Key: {self.route_key}",
        ]
        if not is_safe:
            lines.append("Content-Length: 0")
        return "\r\n".join([*lines, "", ""]).encode()
