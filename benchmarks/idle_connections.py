"""Measures the cost of idle connections to a node: memory (MB, KB each) and wake-ups per second.

    python benchmarks/idle_connections.py [--connections 10000] [--waking 0.01] [--seconds 8] [--json]

This process opens the connections, sends one request on each and leaves them idle for
``--seconds``; then one in a hundred (``--waking``) sends another request.  Memory is counted
beyond the node with no idle connections.  Wake-ups are the node's voluntary context switches,
from /proc.  The node closes a connection that is idle for 15 s, so a measurement has to finish
before.
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
REQUEST = b"GET /-/ready HTTP/1.1\r\nhost: idle\r\n\r\n"


class ClientConnection(asyncio.Protocol):
    """A client connection that sends a request on each call of `send_request`."""

    def __init__(self) -> None:
        self.response_count, self.is_closed = 0, False
        self.response_received: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Count a response; each arrives as one packet."""
        self.response_count += 1
        if self.response_received is not None and not self.response_received.done():
            self.response_received.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed, and release a waiting `send_request`."""
        self.is_closed = True
        if self.response_received is not None and not self.response_received.done():
            self.response_received.set_result(None)

    async def send_request(self) -> None:
        """Send one request and wait up to 10 s for its response."""
        self.response_received = asyncio.get_running_loop().create_future()
        self.transport.write(REQUEST)
        await asyncio.wait_for(self.response_received, 10)


async def open_connections(port: int, count: int) -> list[ClientConnection]:
    """Open ``count`` connections, at most 200 at a time, with one request answered on each."""
    loop = asyncio.get_running_loop()
    connections: list[ClientConnection] = []

    async def open_one() -> None:
        _, connection = await loop.create_connection(ClientConnection, "127.0.0.1", port)
        connections.append(connection)
        await connection.send_request()

    for start in range(0, count, 200):
        await asyncio.gather(*(open_one() for _ in range(min(200, count - start))))
    return connections


def process_figures(pid: int) -> dict[str, int]:
    """Return a process's resident KB, voluntary context switches and clock ticks of CPU time."""
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


async def measure(pid: int, port: int, options: argparse.Namespace) -> dict[str, float]:
    """Measure the node empty, with all connections idle, and while some of them send again."""
    await open_connections(port, 1)
    await asyncio.sleep(0.5)
    empty = process_figures(pid)
    begin = time.monotonic()
    connections = await open_connections(port, options.connections)
    open_s = time.monotonic() - begin
    await asyncio.sleep(0.5)
    full = process_figures(pid)
    await asyncio.sleep(options.seconds)
    after_idle = process_figures(pid)
    waking = connections[:: max(1, round(1 / options.waking))]
    begin = time.monotonic()
    await asyncio.gather(*(connection.send_request() for connection in waking))
    return {
        "connections": len(connections), "opened in s": round(open_s, 1),
        "lost while at rest": sum(connection.is_closed for connection in connections),
        "MB over the empty node": round((full["kb"] - empty["kb"]) / 1024, 1),
        "KB a connection": round((full["kb"] - empty["kb"]) / len(connections), 1),
        "wake-ups a second at rest": round((after_idle["wakes"] - full["wakes"]) / options.seconds, 2),
        "ms of processor a second at rest": round((after_idle["ticks"] - full["ticks"]) * 10 / options.seconds, 1),
        "those that wake": len(waking), "answered": sum(connection.response_count == 2 for connection in waking),
        "answered within ms": round((time.monotonic() - begin) * 1e3, 1),
    }  # fmt: skip


def main() -> None:
    """Run the measurement and print a table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--connections", type=int, default=10_000)
    parser.add_argument(
        "--waking",
        type=float,
        default=0.01,
        help="fraction of the connections that sends another request",
    )
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    with socket.create_server(("127.0.0.1", 0)) as probe_socket:
        port = probe_socket.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "idle.toml"
        # The node reserves 40% of the descriptors for servers.  Of the rest it keeps a quarter free,
        # by closing connections.
        path.write_text(
            CONFIG.format(port=port, sockets=int(options.connections / 0.75 / 0.6) + 1000)
        )
        command = [sys.executable, "-m", "oakbridge.cli", "serve", "--config", str(path)]
        node = subprocess.Popen(command, env={**os.environ, "PYTHONPATH": str(ROOT)})
        try:
            for _ in range(200):
                with socket.socket() as probe_socket:
                    if probe_socket.connect_ex(("127.0.0.1", port)) == 0:
                        break
                time.sleep(0.05)
            figures = asyncio.run(measure(node.pid, port, options))
        finally:
            node.terminate()
            node.wait(20)
    if options.json:
        print(json.dumps(figures, indent=1))
    else:
        print("\n".join(f"{name:34}{figure:>12,}" for name, figure in figures.items()))


if __name__ == "__main__":
    main()
