"""The id of an open request runs a second time at the other process of an upgrade."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from harness import (
    LOCALHOST,
    CouldNotRunError,
    Node,
    Stage,
    encode,
    listen,
    port_of,
    read_message,
    run_case,
    settings,
    with_trouble,
)

SERVERS = 6
WORK_S = (0.45, 0.83)  # of book-trip
REQUEST_INTERVAL_S = 0.04
UPGRADES = 3
BAD_REQUESTS = 4  # with each upgrade
BEFORE_S = 3.0  # load before each upgrade
TERM_TO_KILL_S = 3.7  # the longest deadline (3 s at most) and 0.7 s


class Servers:
    """Servers that run each request that they get, whatever its id."""

    def __init__(self, stage: Stage, rng: random.Random) -> None:
        self._record = stage.record
        self._rng = rng
        self.runs: dict[str, list[str]] = {}  # by request id

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection."""
        while (request := await read_message(reader)) is not None:
            request_id = request.headers["x-request-id"]
            what = f"at {self._record.now():.3f} s for {request.body.decode('latin-1')}"
            self.runs.setdefault(request_id, []).append(what)
            self._record.add(f"a server runs {request_id} {what}")
            await asyncio.sleep(self._rng.uniform(*WORK_S))
            writer.write(encode("HTTP/1.1 200 OK", {}, request_id.encode()))


class Clients:
    """Usual clients, each request on a new connection, and bad ones that use their ids."""

    def __init__(self, stage: Stage, port: int) -> None:
        self._record = stage.record
        self._port = port
        self.open: dict[str, float] = {}  # when usual clients sent what has no answer yet
        self.answers: dict[str, int] = {}  # to usual clients
        self.served_bad: list[str] = []

    async def load(self) -> None:
        """Send requests of usual clients until cancelled."""
        async with asyncio.TaskGroup() as group:
            count = 0
            while True:
                count += 1
                group.create_task(self._send_usual(f"{count:016x}"))
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _send_usual(self, request_id: str) -> None:
        self.open[request_id] = self._record.now()
        how = await self._send(request_id, "a usual client")
        self.open.pop(request_id, None)
        self.answers[how] = self.answers.get(how, 0) + 1

    async def send_bad(self, request_id: str) -> None:
        """Send a request with the id of another client's open request."""
        how = await self._send(request_id, "a bad client")
        if how == "200":
            self.served_bad.append(f"a bad client was served with the id {request_id}")

    async def _send(self, request_id: str, whose: str) -> str:
        self._record.add(f"{whose} sends {request_id}")
        how = "no answer"
        try:
            reader, writer = await asyncio.open_connection(LOCALHOST, self._port)
            headers = {
                "Host": "app.svc", "X-Request-ID": request_id, "X-Timeout": "3000m",
                "X-Priority-Class": "book-trip",
            }  # fmt: skip
            writer.write(encode("POST /api HTTP/1.1", headers, whose.encode()))
            answer = await read_message(reader)
            writer.close()
            how = how if answer is None else str(answer.status)
        except OSError:
            pass
        self._record.add(f"{whose} gets {how} to {request_id}")
        return how


async def _upgrade(stage: Stage, node: Node, number: int) -> Node:
    """Start the program a second time beside the running process, which ends then."""
    new = stage.new_node(f"p{number}", node)
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    new.start({"limits": limits, "known": stage.discovery.whole_list(), "settings": settings()})
    await new.wait_for_yes()
    stage.record.say(f"process p{number} says yes; the one before it gets SIGTERM")
    node.signal(signal.SIGTERM)
    return new


async def play(stage: Stage) -> list[str]:
    """Send ids of open requests again, right after an upgrade, and count how often each runs."""
    servers = Servers(stage, random.Random(6))
    for number in range(SERVERS):
        await stage.discovery.put(f"s-{number}", port_of(await listen(servers.serve)))
    node = stage.new_node("p0")
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    known = stage.discovery.whole_list()
    node.start({"limits": limits, "known": known, "settings": settings()})
    await node.wait_until_ready()
    await node.wait_for_yes()
    clients = Clients(stage, node.listen_port)
    running = asyncio.create_task(clients.load())
    bad = []
    for number in range(1, UPGRADES + 1):
        await asyncio.sleep(BEFORE_S)
        before = node
        if with_trouble():
            node = await _upgrade(stage, before, number)
        youngest = sorted(clients.open, key=lambda name: clients.open[name])[-BAD_REQUESTS:]
        bad += [asyncio.create_task(clients.send_bad(name)) for name in youngest]
        if node is not before and not await before.wait_for_exit(TERM_TO_KILL_S):
            before.kill()
            stage.record.say("the process before it gets SIGKILL")
    await asyncio.gather(*bad)
    has_ended = node.has_ended()
    running.cancel()
    if not clients.answers.get("200"):
        raise CouldNotRunError("nothing was served")
    twice = {name: runs for name, runs in servers.runs.items() if len(runs) > 1}
    stage.record.say(f"answers to usual clients: {clients.answers}; bad requests: {len(bad)}")
    stage.record.say(f"book-trip ids: {len(servers.runs)}, of these run twice: {len(twice)}")
    breaks = [f"book-trip {name} ran {'; '.join(runs)}" for name, runs in twice.items()]
    breaks += clients.served_bad
    return ["the node has ended", *breaks] if has_ended else breaks


run_case(__file__, play, limit_s=90.0)
