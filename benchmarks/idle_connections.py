"""What idle connections cost a node: memory over the empty node, and how often it wakes with all of them at rest.

    python benchmarks/idle_connections.py [--connections 10000] [--waking 0.01] [--seconds 8] [--json]

Another process opens the connections, has one request answered on each and lets them rest; then one in a hundred
(``--waking``) asks once more.  Wake-ups are the node's voluntary context switches, from /proc; the node itself closes
what has rested for 15 s, so that a measurement has to fit in between.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
CONFIG = """
[node]
name = "idle"
listen = ["127.0.0.1:{port}"]
[limits]
sockets = {sockets}
[servers]
inline = [{{name = "s0", address = "127.0.0.1:1"}}]
[[class]]
name = "look"
aim = "2.5s"
deadline = "6s"
repeat = "safe"
[control]
enabled = false
[log]
level = "error"
"""
ASK = b"GET /-/ready HTTP/1.1\r\nhost: idle\r\n\r\n"


class Caller(asyncio.Protocol):
    """One connection that asks when told to."""

    def __init__(self) -> None:
        self.answers, self.lost = 0, False
        self.answered: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep it."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """An answer is one packet."""
        self.answers += 1
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone."""
        self.lost = True
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(None)

    async def ask(self) -> None:
        """One request and its answer."""
        self.answered = asyncio.get_running_loop().create_future()
        self.transport.write(ASK)
        await asyncio.wait_for(self.answered, 10)


async def open_some(port: int, count: int) -> list[Caller]:
    """Connections on which one request was answered."""
    loop = asyncio.get_running_loop()
    callers: list[Caller] = []

    async def one() -> None:
        _, caller = await loop.create_connection(Caller, "127.0.0.1", port)
        callers.append(caller)
        await caller.ask()

    for start in range(0, count, 200):
        await asyncio.gather(*(one() for _ in range(min(200, count - start))))
    return callers


def status(pid: int) -> dict[str, int]:
    """Resident kilobytes, context switches, and clock ticks of the processor."""
    lines = dict(
        line.split(":", 1)
        for line in Path(f"/proc/{pid}/status").read_text().splitlines()
        if ":" in line
    )
    ticks = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[11:13]
    return {
        "kb": int(lines["VmRSS"].split()[0]), "wakes": int(lines["voluntary_ctxt_switches"]),
        "ticks": sum(map(int, ticks)),
    }  # fmt: skip


async def measure(pid: int, port: int, given: argparse.Namespace) -> dict[str, float]:
    """Empty, full and at rest, then with some that wake."""
    await open_some(port, 1)
    await asyncio.sleep(0.5)
    empty = status(pid)
    begin = time.monotonic()
    callers = await open_some(port, given.connections)
    opened = time.monotonic() - begin
    await asyncio.sleep(0.5)
    full = status(pid)
    await asyncio.sleep(given.seconds)
    rested = status(pid)
    waking = callers[:: max(1, round(1 / given.waking))]
    begin = time.monotonic()
    await asyncio.gather(*(c.ask() for c in waking))
    return {
        "connections": len(callers), "opened in s": round(opened, 1),
        "lost while at rest": sum(c.lost for c in callers),
        "MB over the empty node": round((full["kb"] - empty["kb"]) / 1024, 1),
        "KB a connection": round((full["kb"] - empty["kb"]) / len(callers), 1),
        "wake-ups a second at rest": round((rested["wakes"] - full["wakes"]) / given.seconds, 2),
        "ms of processor a second at rest": round((rested["ticks"] - full["ticks"]) * 10 / given.seconds, 1),
        "those that wake": len(waking), "answered": sum(c.answers == 2 for c in waking),
        "answered within ms": round((time.monotonic() - begin) * 1e3, 1),
    }  # fmt: skip


def main() -> None:
    """Measure, and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--connections", type=int, default=10_000)
    parser.add_argument(
        "--waking", type=float, default=0.01, help="this part of them asks once more"
    )
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "idle.toml"
        # Four tenths of the descriptors are the servers'; of the rest a quarter stays free, or connections end.
        path.write_text(
            CONFIG.format(port=port, sockets=int(given.connections / 0.75 / 0.6) + 1000)
        )
        words = [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path)]
        node = subprocess.Popen(words, env={**os.environ, "PYTHONPATH": str(ROOT)})
        try:
            for _ in range(200):
                with socket.socket() as sock:
                    if sock.connect_ex(("127.0.0.1", port)) == 0:
                        break
                time.sleep(0.05)
            figures = asyncio.run(measure(node.pid, port, given))
        finally:
            node.terminate()
            node.wait(20)
    if given.json:
        print(json.dumps(figures, indent=1))
    else:
        print("\n".join(f"{name:34}{figure:>12,}" for name, figure in figures.items()))


if __name__ == "__main__":
    main()
