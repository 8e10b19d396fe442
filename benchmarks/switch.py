"""Measures the latency (ms) that the lab's switch adds and the load that its process carries.

    python benchmarks/switch.py [--turns 5] [--seconds 4]

A stand-in server answers at once.  In turns, requests go to it directly and through the switch:
first over one connection, which shows the added latency; then over 64 connections without pauses,
which shows the highest rate in requests per second.  Last, datagrams of 250 bytes go from one
member's address to another's: sent and received per second.
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
    MEMBER_PORT,
    MEMBER_SWITCH_PORT,
    NODE_NET,
    SERVER_NET,
    SERVER_PORT,
    SWITCH_NET,
    Slot,
    claim_slot,
    host_address,
)
from oakbridge.lab.client_connection import ClientConnection
from oakbridge.lab.plan import ServersTable

HEAD = b"GET /read HTTP/1.1\r\nHost: lab\r\nX-Request-ID: 1\r\nX-Priority-Class: read\r\nX-Timeout: 5000m\r\n\r\n"
CONNECTIONS = 64


async def start_process(role: str, config: dict[str, object]) -> asyncio.subprocess.Process:
    """Start one of the lab's processes and wait until it is ready."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakbridge.lab.process", role, stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE, env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[1])},
    )  # fmt: skip
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.write(json.dumps(config).encode() + b"\n")
    assert b"ready" in await process.stdout.readline()
    return process


async def request_times(
    address: tuple[str, int], seconds: float, connections: int, pause_s: float
) -> list[float]:
    """Return the seconds of each request; a connection waits up to ``pause_s`` between two."""
    times_s: list[float] = []
    end = time.perf_counter() + seconds

    async def send_requests() -> None:
        _, connection = await asyncio.get_running_loop().create_connection(
            ClientConnection, *address
        )
        while time.perf_counter() < end:
            begin = time.perf_counter()
            response = await connection.send_request(HEAD)
            assert response.status == 200, response
            times_s.append(time.perf_counter() - begin)
            if pause_s:
                await asyncio.sleep(pause_s * random.random())
        assert connection.transport is not None
        connection.transport.close()

    await asyncio.gather(*(send_requests() for _ in range(connections)))
    return times_s


def count_datagrams(slot: Slot, duration_s: float) -> tuple[int, int]:
    """Return the datagrams sent and received between two members, with at most 200 in flight."""
    sender, receiver = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2))
    sender.bind((host_address(NODE_NET, 0), slot.port(MEMBER_PORT)))
    receiver.bind((host_address(NODE_NET, 1), slot.port(MEMBER_PORT)))
    receiver.settimeout(0.2)
    address, sent, received, end = (
        (host_address(SWITCH_NET, 1), slot.port(MEMBER_SWITCH_PORT)),
        0,
        0,
        time.perf_counter() + duration_s,
    )
    while time.perf_counter() < end:
        for _ in range(200 - (sent - received)):
            sender.sendto(bytes(250), address)
            sent += 1
        try:
            while sent - received > 100:
                receiver.recv(2048)
                received += 1
        except TimeoutError:
            break
    sender.close()
    receiver.close()
    return sent, received


async def main() -> int:
    """Run all measurements and print the figures; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    slot, lock = claim_slot()
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
        servers = {
            "base": slot.base,
            "plan": plan.model_dump(),
            "seed": 1,
            "servers": [(0, "s")],
            "out": out,
        }
        processes = [
            await start_process("switch", network),
            await start_process("servers", servers),
        ]
        addresses = {
            "directly": (host_address(SERVER_NET, 0), slot.port(SERVER_PORT)),
            "by the switch": (host_address(SWITCH_NET, 0), slot.port(0)),
        }
        for connections, pause_s in ((1, 0.004), (CONNECTIONS, 0.0)):
            for turn in range(args.turns):
                for name, address in addresses.items():
                    times_s = sorted(
                        await request_times(address, args.seconds, connections, pause_s)
                    )
                    p50_s, p99_s = statistics.median(times_s), times_s[int(0.99 * len(times_s))]
                    rate = len(times_s) / args.seconds
                    print(
                        f"{connections:3} connections, turn {turn + 1}, {name:14} p50 {p50_s * 1e3:6.3f} ms  "
                        f"p99 {p99_s * 1e3:6.3f} ms  {rate:6.0f} requests/s", flush=True,
                    )  # fmt: skip
        sent, received = await asyncio.to_thread(count_datagrams, slot, args.seconds)
        print(
            f"datagrams of 250 bytes: {received / args.seconds:.0f}/s came of {sent / args.seconds:.0f}/s sent"
        )
        for process in processes:
            assert process.stdin is not None
            process.stdin.close()
            await process.wait()
    lock.close()
    return 0


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
