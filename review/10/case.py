"""A long answer whose server pauses for 1.5 s is cut off, and the booking that ran is failed."""

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

SERVERS = 4
BOOKINGS = 60
INTERVAL_S = 0.15
WORK_S = 0.1
ANSWER_BYTES = 100_000  # over 64 KiB
FIRST_BYTES = 20_000  # of a body in chunks, before the pause
SLOW_SHARE = 0.25  # of the answers
PAUSE_S = 1.5
TIMEOUT_S = 6.0


class Server:
    """A server that gives each answer in two parts; with the disruption it may pause between."""

    def __init__(self, name: str, stage: Stage, rng: random.Random, ends: dict[str, str]) -> None:
        self.name = name
        self._record = stage.record
        self._rng = rng
        self._ends = ends  # how giving an answer with a pause ended, by request id

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection."""
        while (request := await read_message(reader)) is not None:
            request_id = request.headers["x-request-id"]
            self._record.add(f"{self.name} runs {request_id}")
            await asyncio.sleep(WORK_S)
            first, rest = self._parts(chunked=self._rng.random() < 0.5)
            writer.write(first)
            if with_trouble() and self._rng.random() < SLOW_SHARE:
                await self._pause(request_id, reader)
            writer.write(rest)
            await writer.drain()

    async def _pause(self, request_id: str, reader: asyncio.StreamReader) -> None:
        """Pause, and note whether the node has closed the connection before the rest."""
        paused_at = self._record.now()
        try:
            async with asyncio.timeout(PAUSE_S):
                closed = not await reader.read(1)
        except TimeoutError:
            closed = False
        except ConnectionError:
            closed = True
        paused_s = self._record.now() - paused_at
        how = "cut off" if closed else "waited for"
        self._ends[request_id] = f"{how} after {paused_s:.2f} s"
        self._record.add(f"{self.name}: its answer to {request_id} is {how} after {paused_s:.2f} s")

    @staticmethod
    def _parts(*, chunked: bool) -> tuple[bytes, bytes]:
        """Return an answer in two parts: a head with or without the first chunk, and the rest."""
        if not chunked:
            headers = {"Content-Length": str(ANSWER_BYTES)}
            return encode("HTTP/1.1 200 OK", headers), b"z" * ANSWER_BYTES
        head = encode("HTTP/1.1 200 OK", {"Transfer-Encoding": "chunked"})
        left = ANSWER_BYTES - FIRST_BYTES
        first = b"%x\r\n" % FIRST_BYTES + b"z" * FIRST_BYTES + b"\r\n"
        return head + first, b"%x\r\n" % left + b"z" * left + b"\r\n0\r\n\r\n"


async def _book(stage: Stage, port: int, request_id: str) -> tuple[str, int, int]:
    """Send one book-trip on a connection of its own; return its id, status and bytes received."""
    reader, writer = await asyncio.open_connection(LOCALHOST, port)
    headers = {
        "Host": "app.svc", "X-Request-ID": request_id, "X-Priority-Class": "book-trip",
        "X-Timeout": f"{int(TIMEOUT_S * 1000)}m",
    }  # fmt: skip
    stage.record.add(f"client sends {request_id}")
    writer.write(encode("POST /api HTTP/1.1", headers, b"trip"))
    answer = await read_message(reader)
    writer.close()
    status, received = (0, 0) if answer is None else (answer.status, len(answer.body))
    stage.record.add(f"client gets {status}, {received} bytes to {request_id}")
    return request_id, status, received


async def play(stage: Stage) -> list[str]:
    """Count the bookings that ran, and whose answer the node cut off within the client's time."""
    rng = random.Random(10)
    ends: dict[str, str] = {}
    for number in range(SERVERS):
        server = Server(f"s-{number}", stage, rng, ends)
        await stage.discovery.put(server.name, port_of(await listen(server.serve)))
    node = stage.new_node("a")
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    known = stage.discovery.whole_list()
    node.start({"limits": limits, "known": known, "settings": settings()})
    await node.wait_until_ready()
    tasks = []
    for number in range(BOOKINGS):
        tasks.append(asyncio.create_task(_book(stage, node.listen_port, f"{number:016x}")))
        await asyncio.sleep(INTERVAL_S)
    results = await asyncio.gather(*tasks)
    if node.has_ended():
        return ["the node has ended"]
    whole = {name for name, status, size in results if (status, size) == (200, ANSWER_BYTES)}
    if not whole:
        raise CouldNotRunError("no answer was whole")
    cut = {name: how for name, how in ends.items() if how.startswith("cut off")}
    stage.record.say(
        f"bookings: {len(results)}, whole: {len(whole)}, answers with a pause: {len(ends)}"
    )
    return [
        f"{name} got {status} and {size} bytes; its answer was {cut[name]}, of {TIMEOUT_S} s"
        for name, status, size in results
        if name in cut and name not in whole
    ]


run_case(__file__, play, limit_s=60.0)
