"""An open-loop load generator: latency counts from the time at which a request is due."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import httptools

# Longer than all deadlines of the demo; a request that exceeds it counts as lost.
REQUEST_TIMEOUT_S = 8.0
MAX_CONNECTIONS = 400


@dataclass(slots=True)
class Tally:
    """Counts of the requests and their results."""

    sent: int = 0
    answered: Counter[int] = field(default_factory=Counter)  # responses by status
    lost: int = 0  # requests without a response
    within_objective: int = 0  # responses 200 within the class's latency objective
    by_server: Counter[str] = field(default_factory=Counter)  # responses 200 by server
    latencies: list[float] = field(default_factory=list)  # seconds since each request was due

    def percentile(self, fraction: float) -> float:
        """Return the latency in seconds below which this fraction lies; 0 without any responses."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0

    @property
    def done(self) -> int:
        """Number of finished requests, answered or lost."""
        return sum(self.answered.values()) + self.lost


class _Response:
    def __init__(self) -> None:
        self.parser: Any = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.is_complete = False

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.is_complete = True


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class LoadGenerator:
    """Sends requests at random times over kept-alive connections."""

    def __init__(
        self,
        address: tuple[str, int],
        classes: dict[str, float],
        rate: float,
        seconds: float,
        seed: int,
    ) -> None:
        """``classes``: each class's latency objective in seconds; ``rate``: requests per second."""
        self.tally = Tally()
        self._address, self._classes = address, classes
        self._rate, self._duration_s = rate, seconds
        self._random = random.Random(seed)
        self._idle: list[Streams] = []
        self._connection_slots = asyncio.Semaphore(MAX_CONNECTIONS)
        self._stopped = False

    def stop(self) -> None:
        """Send no more requests; :meth:`run` waits for those in flight."""
        self._stopped = True

    async def run(self) -> Tally:
        """Send all requests, and wait until all are finished."""
        loop = asyncio.get_running_loop()
        started_s, due_s, tasks = loop.time(), 0.0, []
        while (due_s := due_s + self._random.expovariate(self._rate)) < self._duration_s:
            await asyncio.sleep(max(0.0, started_s + due_s - loop.time()))
            if self._stopped:
                break
            class_name = self._random.choice(sorted(self._classes))
            tasks.append(
                loop.create_task(
                    self._send_and_count(self.tally.sent, class_name, started_s + due_s)
                )
            )
            self.tally.sent += 1
        await asyncio.gather(*tasks)
        for _, writer in self._idle:
            writer.close()
        return self.tally

    async def _send_and_count(self, number: int, class_name: str, due_s: float) -> None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S), self._connection_slots:
                status, body = await self._send(number, class_name)
        except (OSError, EOFError, ValueError, TimeoutError):
            self.tally.lost += 1
            return
        latency_s = asyncio.get_running_loop().time() - due_s
        self.tally.answered[status] += 1
        self.tally.latencies.append(latency_s)
        if status == 200:
            self.tally.within_objective += latency_s <= self._classes[class_name]
            self.tally.by_server[str(json.loads(body).get("server"))] += 1

    async def _send(self, number: int, class_name: str) -> tuple[int, bytes]:
        streams = self._idle.pop() if self._idle else await asyncio.open_connection(*self._address)
        reader, writer = streams
        try:
            writer.write(
                f"GET /{class_name} HTTP/1.1\r\nHost: demo\r\nX-Request-ID: demo-{number}\r\n"
                f"X-Priority-Class: {class_name}\r\n\r\n".encode()
            )
            response = _Response()
            while not response.is_complete:
                data = await reader.read(65536)
                if not data:
                    raise EOFError
                response.parser.feed_data(data)
        except BaseException:
            writer.transport.abort()
            raise
        if response.parser.should_keep_alive():
            self._idle.append(streams)
        else:
            writer.close()
        return int(response.parser.get_status_code()), bytes(response.body)
