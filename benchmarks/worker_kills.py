"""Kills a worker each second under load and counts the requests that are lost, by cause.

    python benchmarks/worker_kills.py [--seconds 60] [--workers 4] [--connections 64] [--rate 3000] [--seed 1] [--json]

Requests with ids are sent on a schedule over persistent connections.  Once a second a worker,
drawn by the seed, is killed (SIGKILL).  A request is *lost* if its connection closes before its
response arrives.  The connections of a killed worker are taken at the kill from the kernel's
table of sockets and the worker's descriptors: each lost request has to be on one of them, and
each other request has to get exactly one response.  Needs what requirements-bench.txt lists.
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


def worker_pids(pid: int) -> list[int]:
    """Return the process ids of a supervisor's workers, its children."""
    return [int(number) for number in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def client_ports(pid: int, port: int) -> set[int]:
    """Return the client ports of the connections on ``port`` that a process has open."""
    inodes = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(descriptor)
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    ports = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, *rest = line.split()
        if int(local.rpartition(":")[2], 16) == port and rest[6] in inodes:
            ports.add(int(remote.rpartition(":")[2], 16))
    return ports


class ClientConnection(asyncio.Protocol):
    """One persistent connection with one request in flight at a time; counts responses."""

    def __init__(self, load: Load) -> None:
        self.load, self.received, self.request_id = load, b"", 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; the connection is idle."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.port = transport, transport.get_extra_info("sockname")[1]
        self.load.idle_connections.append(self)

    def send_request(self, request_id: int) -> None:
        """Send the request with this id."""
        self.request_id = request_id
        self.load.sent += 1
        self.transport.write(nodes.REQUEST % request_id)

    def data_received(self, data: bytes) -> None:
        """Count a whole response, separately if no request is in flight."""
        self.received += data
        if nodes.BODY not in self.received and b"content-length: 0" not in self.received.lower():
            return
        status, self.received = self.received[9:12].decode(), b""
        if not self.request_id:
            self.load.counts["answer to nothing"] += 1
            return
        self.load.counts[status] += 1
        self.request_id = 0
        self.load.idle_connections.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Open another connection; count a request in flight as lost, by cause."""
        load = self.load
        if load.is_over:
            return
        load.closed_count += 1
        if self.request_id:
            load.counts[
                "lost with a dead worker" if self.port in load.killed_ports else "lost otherwise"
            ] += 1
        if self in load.idle_connections:
            load.idle_connections.remove(self)
        load.open_connection()


class Load:
    """Sends requests on a schedule over a number of connections."""

    def __init__(self, port: int, connections: int) -> None:
        self.port, self.connections = port, connections
        self.idle_connections: list[ClientConnection] = []
        self.killed_ports: set[int] = set()  # client ports of a worker's connections at its kill
        self.counts: Counter[str] = Counter()
        self.sent = self.closed_count = 0
        self.is_over = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.request_ids = itertools.count(1)

    def open_connection(self) -> None:
        """Open one more connection, with retries until it is open."""
        task = asyncio.get_running_loop().create_task(self._connect())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self) -> None:
        while not self.is_over:
            try:
                await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self), "127.0.0.1", self.port
                )
                return
            except OSError:
                await asyncio.sleep(0.02)

    async def run(self, rate: float, seconds: float) -> None:
        """Send on schedule; a request without an idle connection is dropped: no backlog builds up."""
        for _ in range(self.connections):
            self.open_connection()
        while len(self.idle_connections) < self.connections:
            await asyncio.sleep(0.01)
        start = time.perf_counter()
        due_count = 0
        while (now := time.perf_counter()) < start + seconds:
            while start + due_count / rate <= now:
                due_count += 1
                if self.idle_connections:
                    self.idle_connections.pop().send_request(next(self.request_ids))
                else:
                    self.counts["not asked: no connection was free"] += 1
            await asyncio.sleep(0.001)
        for _ in range(600):
            if len(self.idle_connections) == self.connections:
                break
            await asyncio.sleep(0.01)
        self.is_over = True


async def run_with_kills(options: argparse.Namespace, supervisor: int, port: int) -> dict[str, Any]:
    """Run the load once all workers are up, and kill a worker each second; return the counts."""
    load, rng, kills = Load(port, options.connections), random.Random(options.seed), 0
    load_task = asyncio.create_task(load.run(options.rate, options.seconds))
    worker_counts: list[int] = []
    while not load_task.done():
        await asyncio.wait([load_task], timeout=1.0)
        pids = worker_pids(supervisor)
        worker_counts.append(len(pids))
        if load_task.done() or not pids:
            continue
        victim = rng.choice(pids)
        os.kill(
            victim, signal.SIGSTOP
        )  # else the worker could accept a connection between the lookup and its kill
        load.killed_ports |= client_ports(victim, port)
        os.kill(victim, signal.SIGKILL)
        kills += 1
    await load_task
    answered = sum(count for label, count in load.counts.items() if label.isdigit())
    unanswered = (
        load.sent
        - answered
        - sum(lost_count for label, lost_count in load.counts.items() if label.startswith("lost"))
    )
    return {
        "kills": kills, "workers up at a look, least": min(worker_counts), "requests": load.sent,
        **{f"answered {label}" if label.isdigit() else label: count for label, count in sorted(load.counts.items())},
        "without an answer": unanswered, "connections broken": load.closed_count,
    }  # fmt: skip


def main() -> None:
    """Run the measurement and print a table or JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--rate", type=float, default=3000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        server_ports = [nodes.free_port() for _ in range(nodes.SERVERS)]
        with nodes.Process(nodes.part_command("servers", *server_ports), (4, 5)):
            for server_port in server_ports:
                nodes.wait_until_listening(server_port)
            port = nodes.free_port()
            command, cores = nodes.peer_command(
                f"nodex{options.workers}", port, server_ports, nodes.ROOT, Path(scratch)
            )
            with nodes.Process(command, cores) as node:
                nodes.wait_until_listening(port)
                time.sleep(1.5)
                nodes.pin(6, 7)
                figures = asyncio.run(run_with_kills(options, node.process.pid, port))
    if options.json:
        print(json.dumps(figures, indent=1))
    else:
        print("\n".join(f"{name:34}{figure:>12,}" for name, figure in figures.items()))


if __name__ == "__main__":
    main()
