"""A small open-loop load: each request leaves when it is due, and its time counts from then."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import httptools

GIVE_UP_S = 8.0  # past any deadline of the demo: a request without an answer by then is lost
MOST_CONNECTIONS = 400


@dataclass(slots=True)
class Tally:
    """What became of the requests.  Latencies in seconds, from when each was due."""

    sent: int = 0
    answered: Counter[int] = field(default_factory=Counter)
    lost: int = 0
    within_objective: int = 0
    by_server: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)

    def percentile(self, share: float) -> float:
        """Return the latency under which so large a share lies; 0 without any."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0

    @property
    def done(self) -> int:
        """Requests that have ended, one way or the other."""
        return sum(self.answered.values()) + self.lost


class _Reply:
    def __init__(self) -> None:
        self.parser: Any = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class LoadGenerator:
    """Sends ``rate`` requests a second for ``seconds``, over connections that are kept."""

    def __init__(
        self,
        address: tuple[str, int],
        classes: dict[str, float],
        rate: float,
        seconds: float,
        seed: int,
    ) -> None:
        """``classes`` maps a class to its aim in seconds."""
        self.tally = Tally()
        self._address, self._classes = address, classes
        self._rate, self._seconds = rate, seconds
        self._random = random.Random(seed)
        self._idle: list[Streams] = []
        self._places = asyncio.Semaphore(MOST_CONNECTIONS)
        self._stopped = False

    def stop(self) -> None:
        """Send no more; what is out is waited for."""
        self._stopped = True

    async def run(self) -> Tally:
        """Send all of it, and wait for every end."""
        loop = asyncio.get_running_loop()
        begin, due, tasks = loop.time(), 0.0, []
        while (due := due + self._random.expovariate(self._rate)) < self._seconds:
            await asyncio.sleep(max(0.0, begin + due - loop.time()))
            if self._stopped:
                break
            name = self._random.choice(sorted(self._classes))
            tasks.append(loop.create_task(self._one(self.tally.sent, name, begin + due)))
            self.tally.sent += 1
        await asyncio.gather(*tasks)
        for _, writer in self._idle:
            writer.close()
        return self.tally

    async def _one(self, number: int, name: str, due: float) -> None:
        try:
            async with asyncio.timeout(GIVE_UP_S), self._places:
                status, body = await self._ask(number, name)
        except (OSError, EOFError, ValueError, TimeoutError):
            self.tally.lost += 1
            return
        took = asyncio.get_running_loop().time() - due
        self.tally.answered[status] += 1
        self.tally.latencies.append(took)
        if status == 200:
            self.tally.within_objective += took <= self._classes[name]
            self.tally.by_server[str(json.loads(body).get("server"))] += 1

    async def _ask(self, number: int, name: str) -> tuple[int, bytes]:
        streams = self._idle.pop() if self._idle else await asyncio.open_connection(*self._address)
        reader, writer = streams
        try:
            writer.write(
                f"GET /{name} HTTP/1.1\r\nHost: demo\r\nX-Request-ID: demo-{number}\r\n"
                f"X-Priority-Class: {name}\r\n\r\n".encode()
            )
            reply = _Reply()
            while not reply.complete:
                data = await reader.read(65536)
                if not data:
                    raise EOFError
                reply.parser.feed_data(data)
        except BaseException:
            writer.transport.abort()
            raise
        if reply.parser.should_keep_alive():
            self._idle.append(streams)
        else:
            writer.close()
        return int(reply.parser.get_status_code()), bytes(reply.body)
