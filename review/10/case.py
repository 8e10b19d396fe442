"""After LEAVE, a connection whose long answer ends late is held idle."""

from __future__ import annotations

import asyncio
import contextlib
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

CLIENTS = 6
ANSWER_BYTES = 400_000
ANSWER_S = 1.5  # how long a slow server writes an answer
PIECES = 60
LEAVE_AFTER_S = 0.4  # after the requests
JUDGED_AFTER_S = 4.0  # after the operators' call
NO_REQUEST_FOR_S = 2.0


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer with a long body; with the disruption it is written slowly, in small pieces."""
    while await read_message(reader) is not None:
        body = b"y" * ANSWER_BYTES
        if not with_trouble():
            writer.write(encode("HTTP/1.1 200 OK", {}, body))
            continue
        writer.write(encode("HTTP/1.1 200 OK", {"Content-Length": str(len(body))}))
        size = ANSWER_BYTES // PIECES
        for start in range(0, ANSWER_BYTES, size):
            writer.write(body[start : start + size])
            await writer.drain()
            await asyncio.sleep(ANSWER_S / PIECES)


class Client:
    """A client that sends one request and keeps its connection."""

    def __init__(self, number: int, stage: Stage) -> None:
        self.name = f"client {number}"
        self._request_id = f"{number:016x}"
        self._record = stage.record
        self.answered_at = 0.0
        self.closed_at: float | None = None  # when the node has closed the connection

    async def use(self, port: int) -> None:
        """Send a request, read its answer, and wait for the end of the connection."""
        reader, writer = await asyncio.open_connection(LOCALHOST, port)
        headers = {
            "Host": "app.svc", "X-Request-ID": self._request_id, "X-Priority-Class": "car-nearby",
            "X-Timeout": "6000m",
        }  # fmt: skip
        self._record.add(f"{self.name} sends {self._request_id}")
        writer.write(encode("GET /api HTTP/1.1", headers))
        answer = await read_message(reader)
        self.answered_at = self._record.now()
        if answer is None:
            raise CouldNotRunError(f"{self.name} gets no whole answer")
        how = answer.headers.get("connection", "not announced as the last one")
        self._record.add(f"{self.name} gets {answer.status}, {len(answer.body)} bytes, {how}")
        with contextlib.suppress(ConnectionError):
            await reader.read()
        self.closed_at = self._record.now()
        self._record.add(f"{self.name}: the node has closed the connection")
        writer.close()


async def play(stage: Stage) -> list[str]:
    """Empty a node while it forwards long answers, and look at its connections 4 s later."""
    for number in range(3):
        await stage.discovery.put(f"s-{number}", port_of(await listen(serve)))
    node = stage.new_node("a")
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    known = stage.discovery.whole_list()
    node.start({"limits": limits, "known": known, "settings": settings()})
    await node.wait_until_ready()
    await node.wait_for_yes()
    clients = [Client(number, stage) for number in range(CLIENTS)]
    tasks = [asyncio.create_task(client.use(node.listen_port)) for client in clients]
    await asyncio.sleep(LEAVE_AFTER_S)
    left_at = stage.record.now()
    answer = await node.call("LEAVE")
    stage.record.say(f"operators' call LEAVE at {left_at:.3f} s: {answer}")
    if not answer.startswith("YES"):
        raise CouldNotRunError("LEAVE was refused")
    await asyncio.sleep(left_at + JUDGED_AFTER_S - stage.record.now())
    breaks = []
    if await node.is_ready():
        breaks.append("the node still says that it is ready")
    for client, task in zip(clients, tasks, strict=True):
        if task.done() and (error := task.exception()) is not None:
            raise error
        rested_s = stage.record.now() - client.answered_at
        if not client.answered_at or rested_s < NO_REQUEST_FOR_S:
            raise CouldNotRunError(f"{client.name} got its answer too late to be judged")
        if client.closed_at is None:
            breaks.append(f"{client.name} is held idle, for {rested_s:.2f} s so far")
    for task in tasks:
        task.cancel()
    return breaks


run_case(__file__, play, limit_s=60.0)
