"""What the lab's switch adds to a request, and what one of its processes carries at most.

    python benchmarks/switch.py [--turns 5] [--seconds 4]

A stand-in server answers at once.  It is asked directly and through the switch, in turns: one request at a time (what
it adds), then by 64 connections as fast as they can (the most).  Datagrams: from one member's address to another's.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import socket
import statistics
import sys
import tempfile
import time
from pathlib import Path

from oakbridge.lab.addresses import (
    MEMBER,
    MEMBER_SWITCH,
    NODE_NET,
    SERVER,
    SERVER_NET,
    SWITCH_NET,
    Slot,
    claim,
    host,
)
from oakbridge.lab.client_connection import ClientConnection
from oakbridge.lab.plan import ServersTable

HEAD = b"GET /read HTTP/1.1\r\nHost: lab\r\nX-Request-ID: 1\r\nX-Priority-Class: read\r\nX-Timeout: 5000m\r\n\r\n"
MANY = 64


async def helper(role: str, config: dict[str, object]) -> asyncio.subprocess.Process:
    """One of the lab's processes, ready."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakbridge.lab.process", role, stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE, env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[1])},
    )  # fmt: skip
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.write(json.dumps(config).encode() + b"\n")
    assert b"ready" in await process.stdout.readline()
    return process


async def asked(
    where: tuple[str, int], seconds: float, connections: int, pause: float
) -> list[float]:
    """Times of all requests, seconds."""
    times: list[float] = []
    end = time.perf_counter() + seconds

    async def one() -> None:
        _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, *where)
        while time.perf_counter() < end:
            began = time.perf_counter()
            answer = await connection.send_request(HEAD)
            assert answer.status == 200, answer
            times.append(time.perf_counter() - began)
            if pause:
                await asyncio.sleep(pause * random.random())
        assert connection.transport is not None
        connection.transport.close()

    await asyncio.gather(*(one() for _ in range(connections)))
    return times


def datagrams(slot: Slot, seconds: float) -> tuple[int, int]:
    """Sent and received in so long, from one member's address to another's, at most 200 on their way."""
    a, b = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    a.bind((host(NODE_NET, 0), slot.port(MEMBER)))
    b.bind((host(NODE_NET, 1), slot.port(MEMBER)))
    b.settimeout(0.2)
    to, sent, got, end = (
        (host(SWITCH_NET, 1), slot.port(MEMBER_SWITCH)),
        0,
        0,
        time.perf_counter() + seconds,
    )
    while time.perf_counter() < end:
        for _ in range(200 - (sent - got)):
            a.sendto(bytes(250), to)
            sent += 1
        try:
            while sent - got > 100:
                b.recv(2048)
                got += 1
        except TimeoutError:
            break
    a.close()
    b.close()
    return sent, got


async def main() -> int:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    slot, lock = claim()
    plan = ServersTable.model_validate({"workers": 1000, "time": "1us", "cold_for": "0s"})
    nodes = [["a", "x"], ["b", "x"]]
    with tempfile.TemporaryDirectory() as folder:
        out = str(Path(folder) / "executions.parquet")
        network = {
            "base": slot.base,
            "nodes": nodes,
            "servers": [["s", "x"]],
            "network": (0, 0, 0.0),
            "seed": "1",
        }
        bench = {
            "base": slot.base,
            "plan": plan.model_dump(),
            "seed": 1,
            "servers": [(0, "s")],
            "out": out,
        }
        processes = [await helper("switch", network), await helper("servers", bench)]
        ways = {
            "directly": (host(SERVER_NET, 0), slot.port(SERVER)),
            "by the switch": (host(SWITCH_NET, 0), slot.port(0)),
        }
        for connections, pause in ((1, 0.004), (MANY, 0.0)):
            for turn in range(args.turns):
                for name, where in ways.items():
                    times = sorted(await asked(where, args.seconds, connections, pause))
                    p50, p99 = statistics.median(times), times[int(0.99 * len(times))]
                    rate = len(times) / args.seconds
                    print(
                        f"{connections:3} connections, turn {turn + 1}, {name:14} p50 {p50 * 1e3:6.3f} ms  "
                        f"p99 {p99 * 1e3:6.3f} ms  {rate:6.0f} requests/s", flush=True,
                    )  # fmt: skip
        sent, got = await asyncio.to_thread(datagrams, slot, args.seconds)
        print(
            f"datagrams of 250 bytes: {got / args.seconds:.0f}/s came of {sent / args.seconds:.0f}/s sent"
        )
        for process in processes:
            assert process.stdin is not None
            process.stdin.close()
            await process.wait()
    lock.close()
    return 0


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
