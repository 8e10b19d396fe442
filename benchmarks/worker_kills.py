"""A worker killed each second under load: what is lost, and whether anything else is.

    python benchmarks/worker_kills.py [--seconds 60] [--workers 4] [--connections 64] [--rate 3000] [--seed 1] [--json]

Requests go out on a schedule over kept connections, each with an id; a worker drawn by the seed is killed (SIGKILL)
once a second.  A request is *lost* if its connection broke before its answer.  The dead ones' connections are counted
at the kill, from the kernel's table of sockets and the processes' descriptors: each lost request has to be on one of
them.  All others have to have exactly one answer.  Needs what requirements-bench.txt lists.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent))

import nodes


def workers_of(pid: int) -> list[int]:
    """The supervisor's children."""
    return [int(n) for n in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def held(pid: int, port: int) -> set[int]:
    """The callers' ports of the connections that a process holds."""
    inodes = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            where = os.readlink(descriptor)
        except OSError:
            continue
        if where.startswith("socket:["):
            inodes.add(where[8:-1])
    ports = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, *rest = line.split()
        if int(local.rpartition(":")[2], 16) == port and rest[6] in inodes:
            ports.add(int(remote.rpartition(":")[2], 16))
    return ports


class Caller(asyncio.Protocol):
    """One kept connection with one request out at a time; counts answers by request."""

    def __init__(self, load: Load) -> None:
        self.load, self.got, self.out = load, b"", 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Free from here on."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.port = transport, transport.get_extra_info("sockname")[1]
        self.load.free.append(self)

    def ask(self, number: int) -> None:
        """Send a request."""
        self.out = number
        self.load.asked += 1
        self.transport.write(nodes.REQUEST % number)

    def data_received(self, data: bytes) -> None:
        """An answer: to the request that is out, or to none."""
        self.got += data
        if nodes.BODY not in self.got and b"content-length: 0" not in self.got.lower():
            return
        status, self.got = self.got[9:12].decode(), b""
        if not self.out:
            self.load.told["answer to nothing"] += 1
            return
        self.load.told[status] += 1
        self.out = 0
        self.load.free.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Open another one; a request that was out is lost, with the dead worker's or without."""
        load = self.load
        if load.over:
            return
        load.broken += 1
        if self.out:
            load.told[
                "lost with a dead worker" if self.port in load.dead else "lost otherwise"
            ] += 1
        if self in load.free:
            load.free.remove(self)
        load.open()


class Load:
    """A schedule of requests over so many connections."""

    def __init__(self, port: int, connections: int) -> None:
        self.port, self.connections = port, connections
        self.free: list[Caller] = []
        self.dead: set[int] = set()  # ports of connections that a worker held when it was killed
        self.told: Counter[str] = Counter()
        self.asked = self.broken = 0
        self.over = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.ids = itertools.count(1)

    def open(self) -> None:
        """One more connection, tried until it is there."""
        task = asyncio.get_running_loop().create_task(self._open())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _open(self) -> None:
        while not self.over:
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda: Caller(self), "127.0.0.1", self.port
                )
                return
            except OSError:
                await asyncio.sleep(0.02)

    async def run(self, rate: float, seconds: float) -> None:
        """Ask on schedule; what finds no free connection is dropped, so that a stall can't pile up."""
        for _ in range(self.connections):
            self.open()
        while len(self.free) < self.connections:
            await asyncio.sleep(0.01)
        start = time.perf_counter()
        due = 0
        while (now := time.perf_counter()) < start + seconds:
            while start + due / rate <= now:
                due += 1
                if self.free:
                    self.free.pop().ask(next(self.ids))
                else:
                    self.told["not asked: no connection was free"] += 1
            await asyncio.sleep(0.001)
        for _ in range(600):
            if len(self.free) == self.connections:
                break
            await asyncio.sleep(0.01)
        self.over = True


async def play(given: argparse.Namespace, supervisor: int, port: int) -> dict[str, Any]:
    """The load, and a kill each second; kills begin once all workers are up."""
    load, draw, kills = Load(port, given.connections), random.Random(given.seed), 0
    running = asyncio.create_task(load.run(given.rate, given.seconds))
    up: list[int] = []
    while not running.done():
        await asyncio.wait([running], timeout=1.0)
        alive = workers_of(supervisor)
        up.append(len(alive))
        if running.done() or not alive:
            continue
        victim = draw.choice(alive)
        os.kill(
            victim, signal.SIGSTOP
        )  # or it could take another connection between the look and its end
        load.dead |= held(victim, port)
        os.kill(victim, signal.SIGKILL)
        kills += 1
    await running
    answered = sum(count for what, count in load.told.items() if what.isdigit())
    owed = (
        load.asked - answered - sum(c for what, c in load.told.items() if what.startswith("lost"))
    )
    return {
        "kills": kills, "workers up at a look, least": min(up), "requests": load.asked,
        **{f"answered {what}" if what.isdigit() else what: count for what, count in sorted(load.told.items())},
        "without an answer": owed, "connections broken": load.broken,
    }  # fmt: skip


def main() -> None:
    """Measure, and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--rate", type=float, default=3000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        ports = [nodes.free_port() for _ in range(nodes.SERVERS)]
        with nodes.Process(nodes.this("servers", *ports), (4, 5)):
            for number in ports:
                nodes.wait_for(number)
            port = nodes.free_port()
            words, cores = nodes.peer(
                f"nodex{given.workers}", port, ports, nodes.ROOT, Path(scratch)
            )
            with nodes.Process(words, cores) as node:
                nodes.wait_for(port)
                time.sleep(1.5)
                nodes.pin(6, 7)
                figures = asyncio.run(play(given, node.process.pid, port))
    if given.json:
        print(json.dumps(figures, indent=1))
    else:
        print("\n".join(f"{name:34}{figure:>12,}" for name, figure in figures.items()))


if __name__ == "__main__":
    main()
