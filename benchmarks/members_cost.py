"""Measures the cost of 199 other members to a node: requests/s and idle CPU with and without peers.

    python benchmarks/members_cost.py [--turns 5] [--seconds 5] [--members 200]

The other members are real ones with sockets of their own, all in one process.  The node is a
process of its own and gets requests over 64 connections, one at a time on each, as fast as it
answers.  Each turn measures the node with and without `[peers]`, in alternating order.  Printed
are the ratio of the request rates in each turn, its median, and the idle CPU as a percentage of a
core.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

from oakbridge.lab.addresses import (
    MEMBER_PORT,
    NODE_NET,
    SERVER_NET,
    SERVER_PORT,
    claim_slot,
    host_address,
)
from oakbridge.lab.client_connection import ClientConnection
from oakbridge.lab.plan import ServersTable
from oakbridge.lab.servers import Helper
from oakbridge.peers.service import MembershipService, ServiceOptions

ROOT = Path(__file__).resolve().parents[1]
SECRET = b"0123456789abcdef"
HEAD = b"GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: %x\r\nX-Priority-Class: read\r\nX-Timeout: 5000m\r\n\r\n"
CONNECTIONS, SERVERS = 64, 4


async def run_other_members(base: int, count: int) -> None:
    """Run all members but the node under test, until standard input closes."""
    logging.disable(logging.WARNING)
    seeds = tuple((host_address(NODE_NET, n), base + MEMBER_PORT) for n in range(1, 4))
    members = []
    for n in range(1, count):
        listen = (host_address(NODE_NET, n), base + MEMBER_PORT)
        options = ServiceOptions(f"m{n:03d}", listen, SECRET, seeds=seeds, tags={"site": "a"})
        members.append(MembershipService(options))
    for member in members:
        await member.start()
        await asyncio.sleep(0.05)
    print("ready", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for member in members:
        member.close()


def write_config(folder: Path, base: int, port: int, has_peers: bool) -> Path:
    """Write the node's secret and its configuration, with `[peers]` if asked; return the path."""
    (folder / "secret").write_bytes(SECRET)
    servers = ", ".join(
        f'{{ name = "s{n}", address = "{host_address(SERVER_NET, n)}:{base + SERVER_PORT}" }}'
        for n in range(SERVERS)
    )
    text = f"""
[node]
name = "m000"
listen = ["{host_address(NODE_NET, 0)}:{port}"]
[servers]
inline = [{servers}]
[[class]]
name = "read"
aim = "2s"
deadline = "5s"
repeat = "safe"
[control]
enabled = false
[log]
level = "error"
"""
    if has_peers:
        text += f"""
[peers]
listen = "{host_address(NODE_NET, 0)}:{base + MEMBER_PORT}"
secret_file = "secret"
seeds = ["{host_address(NODE_NET, 1)}:{base + MEMBER_PORT}"]
"""
    path = folder / "node.toml"
    path.write_text(text)
    return path


async def measure_rate(address: tuple[str, int], seconds: float) -> float:
    """Return the served requests per second over 64 connections, without pauses."""
    count, sent, end = 0, 0, time.perf_counter() + seconds

    async def send_requests() -> None:
        nonlocal count, sent
        _, connection = await asyncio.get_running_loop().create_connection(
            ClientConnection, *address
        )
        while time.perf_counter() < end:
            sent += 1
            response = await connection.send_request(HEAD % sent)
            count += response.status == 200  # a rejected request is not counted
        assert connection.transport is not None
        connection.transport.close()

    await asyncio.gather(*(send_requests() for _ in range(CONNECTIONS)))
    return count / seconds


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_node(
    folder: Path, base: int, has_peers: bool, seconds: float, idle_s: float
) -> tuple[float, float]:
    """Return the requests per second and the fraction of a core that the idle node uses."""
    port = base + 50
    path = write_config(folder, base, port, has_peers)
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    node = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path), env=env
    )
    try:
        # Time to listen and to join the other members.
        await asyncio.sleep(6.0 if has_peers else 2.0)
        cpu_before_s = cpu_seconds(node.pid)
        await asyncio.sleep(idle_s)
        idle_fraction = (cpu_seconds(node.pid) - cpu_before_s) / idle_s
        return await measure_rate((host_address(NODE_NET, 0), port), seconds), idle_fraction
    finally:
        node.send_signal(
            signal.SIGKILL
        )  # as in a crash: the other members detect a failure, no leave
        await node.wait()


async def main() -> int:
    """Run all turns and print the figures; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rest", type=float, default=10.0)
    parser.add_argument("--members", type=int, default=200)
    parser.add_argument("--others", type=int, default=0, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.others:
        await run_other_members(args.others, args.members)
        return 0
    slot, lock = claim_slot()
    plan = ServersTable.model_validate({"workers": 1000, "time": "1us", "cold_for": "0s"})
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        servers = Helper({
            "base": slot.base, "plan": plan.model_dump(), "seed": 1, "out": str(folder / "executions.parquet"),
            "servers": [(n, f"s{n}") for n in range(SERVERS)],
        })  # fmt: skip
        await servers.start()
        members_process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "--others", str(slot.base), "--members", str(args.members),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, env={**os.environ, "PYTHONPATH": str(ROOT)},
        )  # fmt: skip
        assert members_process.stdin is not None
        assert members_process.stdout is not None
        assert b"ready" in await members_process.stdout.readline()
        ratios, idle_costs = [], []
        for turn in range(args.turns):
            order = (False, True) if turn % 2 else (True, False)
            figures = {
                has_peers: await measure_node(folder, slot.base, has_peers, args.seconds, args.rest)
                for has_peers in order
            }
            (without, idle_without), (with_members, idle_with) = figures[False], figures[True]
            ratios.append(with_members / without)
            idle_costs.append(idle_with - idle_without)
            print(
                f"turn {turn + 1}: without {without:.0f}/s, with {with_members:.0f}/s, ratio {ratios[-1]:.3f}; "
                f"at rest {idle_without:.2%} and {idle_with:.2%} of a core", flush=True,
            )  # fmt: skip
        print(
            f"median ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f}); "
            f"members cost {statistics.median(idle_costs):.2%} of a core at rest"
        )
        members_process.stdin.close()
        await members_process.wait()
    lock.close()
    return 0


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
