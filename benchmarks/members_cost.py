"""What knowing 199 others costs a node: requests a second with and without `[peers]`, in pairs; processor time at rest.

    python benchmarks/members_cost.py [--turns 5] [--seconds 5] [--members 200]

The others are real members on sockets of their own in one process; the node is a process of its own, asked by 64
connections as fast as they can.  Both ways take turns; the pairs' ratio is what counts.
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

from oakbridge.lab.addresses import MEMBER, NODE_NET, SERVER, SERVER_NET, claim, host
from oakbridge.lab.client_connection import ClientConnection
from oakbridge.lab.plan import ServersTable
from oakbridge.lab.servers import Helper
from oakbridge.peers.service import MembershipService, ServiceOptions

ROOT = Path(__file__).resolve().parents[1]
SECRET = b"0123456789abcdef"
HEAD = b"GET /read HTTP/1.1\r\nHost: x\r\nX-Request-ID: %x\r\nX-Priority-Class: read\r\nX-Timeout: 5000m\r\n\r\n"
MANY, SERVERS = 64, 4


async def others(base: int, many: int) -> None:
    """So many members, until the pipe closes."""
    logging.disable(logging.WARNING)
    seeds = tuple((host(NODE_NET, n), base + MEMBER) for n in range(1, 4))
    held = []
    for n in range(1, many):
        listen = (host(NODE_NET, n), base + MEMBER)
        options = ServiceOptions(f"m{n:03d}", listen, SECRET, seeds=seeds, tags={"site": "a"})
        held.append(MembershipService(options))
    for one in held:
        await one.start()
        await asyncio.sleep(0.05)
    print("ready", flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for one in held:
        one.close()


def configuration(folder: Path, base: int, port: int, members: bool) -> Path:
    """A node's file."""
    (folder / "secret").write_bytes(SECRET)
    servers = ", ".join(
        f'{{ name = "s{n}", address = "{host(SERVER_NET, n)}:{base + SERVER}" }}'
        for n in range(SERVERS)
    )
    text = f"""
[node]
name = "m000"
listen = ["{host(NODE_NET, 0)}:{port}"]
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
    if members:
        text += f"""
[peers]
listen = "{host(NODE_NET, 0)}:{base + MEMBER}"
secret_file = "secret"
seeds = ["{host(NODE_NET, 1)}:{base + MEMBER}"]
"""
    path = folder / "node.toml"
    path.write_text(text)
    return path


async def asked(where: tuple[str, int], seconds: float) -> float:
    """Requests a second by 64 connections, as fast as they can."""
    count, sent, end = 0, 0, time.perf_counter() + seconds

    async def one() -> None:
        nonlocal count, sent
        _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, *where)
        while time.perf_counter() < end:
            sent += 1
            answer = await connection.send_request(HEAD % sent)
            count += answer.status == 200  # one that is turned away is no request served
        assert connection.transport is not None
        connection.transport.close()

    await asyncio.gather(*(one() for _ in range(MANY)))
    return count / seconds


def spent(pid: int) -> float:
    """Processor seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def turn(
    folder: Path, base: int, members: bool, seconds: float, rest: float
) -> tuple[float, float]:
    """Requests a second, and the part of a core that the node needs at rest."""
    port = base + 50
    path = configuration(folder, base, port, members)
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    node = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path), env=env
    )
    try:
        await asyncio.sleep(6.0 if members else 2.0)  # until it has met the others
        before = spent(node.pid)
        await asyncio.sleep(rest)
        idle = (spent(node.pid) - before) / rest
        return await asked((host(NODE_NET, 0), port), seconds), idle
    finally:
        node.send_signal(
            signal.SIGKILL
        )  # it is to fail for the others, not to leave: as in a crash
        await node.wait()


async def main() -> int:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--turns", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rest", type=float, default=10.0)
    parser.add_argument("--members", type=int, default=200)
    parser.add_argument("--others", type=int, default=0, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.others:
        await others(args.others, args.members)
        return 0
    slot, lock = claim()
    plan = ServersTable.model_validate({"workers": 1000, "time": "1us", "cold_for": "0s"})
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        servers = Helper({
            "base": slot.base, "plan": plan.model_dump(), "seed": 1, "out": str(folder / "executions.parquet"),
            "servers": [(n, f"s{n}") for n in range(SERVERS)],
        })  # fmt: skip
        await servers.start()
        beside = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "--others", str(slot.base), "--members", str(args.members),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, env={**os.environ, "PYTHONPATH": str(ROOT)},
        )  # fmt: skip
        assert beside.stdin is not None
        assert beside.stdout is not None
        assert b"ready" in await beside.stdout.readline()
        ratios, idles = [], []
        for number in range(args.turns):
            order = (False, True) if number % 2 else (True, False)
            found = {m: await turn(folder, slot.base, m, args.seconds, args.rest) for m in order}
            (without, idle_without), (with_members, idle_with) = found[False], found[True]
            ratios.append(with_members / without)
            idles.append(idle_with - idle_without)
            print(
                f"turn {number + 1}: without {without:.0f}/s, with {with_members:.0f}/s, ratio {ratios[-1]:.3f}; "
                f"at rest {idle_without:.2%} and {idle_with:.2%} of a core", flush=True,
            )  # fmt: skip
        print(
            f"median ratio {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f}); "
            f"members cost {statistics.median(idles):.2%} of a core at rest"
        )
        beside.stdin.close()
        await beside.wait()
    lock.close()
    return 0


if __name__ == "__main__":
    raise SystemExit(asyncio.run(main()))
