"""Measures a node's peak memory and small requests' latency while long bodies pass through it.

    python benchmarks/streams.py [--answers 20] [--bodies 20] [--megabytes 32] [--seconds 8]

The node runs as the platform starts it, with a memory limit of 192 MB in its configuration.  Two
stand-in servers and all clients run in this process, over loopback.  Printed are the latencies of
small requests (ms) without and with long requests and responses beside them, and the node's peak
resident memory (VmHWM, MB).
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path

CHUNK = b"x" * 65536
SETTINGS = {
    "allowed": {"cancelling": True, "max-attempts": 3, "connect-timeout": 2_000_000, "conn-idle": 30_000_000},
    "classes": [{"name": "look", "aim": 5_000_000, "deadline": 20_000_000, "idempotency": "pure"}],
    "discovery": "pushed", "instances": 1, "layers": ["only"],
    "invariants": {"cold-from": 0.2, "warm-up": 10_000_000, "fall-multiple": 2.5, "fall": 3_000_000},
}  # fmt: skip


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, size: int) -> None:
    """Serve one connection: read whole bodies; respond long to /long, short to all else."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            bytes_left = (
                int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
                if b"content-length: " in head
                else 0
            )
            while bytes_left:
                bytes_left -= len(await reader.read(min(bytes_left, 65536)))
            if b" /long " in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                for _ in range(size // len(CHUNK)):
                    writer.write(CHUNK)
                    await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class Clients:
    """All clients, with the latencies of small requests and the count of whole long ones."""

    def __init__(self, port: int, size: int) -> None:
        self.port, self.size, self.number = port, size, 0
        self.small_latencies_s: list[float] = []
        self.whole_long_count = 0

    def _head(self, method: str, url: str, *lines: str) -> bytes:
        self.number += 1
        first_lines = [
            f"{method} {url} HTTP/1.1",
            "Host: a",
            f"X-Request-ID: b{self.number}",
            "X-Priority-Class: look",
        ]
        return ("\r\n".join([*first_lines, *lines]) + "\r\n\r\n").encode()

    @staticmethod
    async def _read_response(reader: asyncio.StreamReader, pause_s: float = 0.0) -> int:
        head = await reader.readuntil(b"\r\n\r\n")
        bytes_left = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while bytes_left:
            bytes_left -= len(await reader.read(min(bytes_left, 65536)))
            if pause_s:
                await asyncio.sleep(pause_s)
        return int(head.split(b" ")[1])

    async def send_small_requests(self, until: float) -> None:
        """Send small requests, one after another, until the time ``until`` (monotonic seconds)."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        while time.monotonic() < until:
            begin = time.perf_counter()
            writer.write(self._head("GET", "/short"))
            assert await self._read_response(reader) == 200
            self.small_latencies_s.append(time.perf_counter() - begin)
            await asyncio.sleep(0.005)
        writer.close()

    async def read(self, pause_s: float) -> None:
        """Read one long response, with a pause in seconds after each read of up to 64 KB."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self._head("GET", "/long"))
        status = await self._read_response(reader, pause_s)
        self.whole_long_count += status == 200
        writer.close()

    async def write(self) -> None:
        """Send one request with a long body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self._head("POST", "/short", f"Content-Length: {self.size}"))
        for _ in range(self.size // len(CHUNK)):
            writer.write(CHUNK)
            await writer.drain()
        status = await self._read_response(reader)
        self.whole_long_count += status == 200
        writer.close()


def peak_memory_mb(pid: int) -> float:
    """Return a process's peak resident memory in MB; raises OSError if /proc does not give it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    raise OSError(f"/proc/{pid}/status: expected VmHWM, got no such line")


async def measure(options: argparse.Namespace) -> None:
    """Start servers and node, send the load and print the figures."""
    size = options.megabytes * 1024 * 1024 // len(CHUNK) * len(CHUNK)
    servers = [
        await asyncio.start_server(
            lambda reader, writer: serve(reader, writer, size), "127.0.0.1", 0
        )
        for _ in range(2)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    endpoints = [
        {
            "name": f"s-{server_port}",
            "address": f"127.0.0.1:{server_port}",
            "status": "ready",
            "since_ms": 0,
        }
        for server_port in ports
    ]
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder, "c.json")
        probe_server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        port = probe_server.sockets[0].getsockname()[1]
        probe_server.close()
        config.write_text(json.dumps({
            "name": "b", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "seed": "7", "settings": SETTINGS,
            "limits": {"memory_mb": 192, "sockets": 512},
            "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        }))  # fmt: skip
        node = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakbridge", env=os.environ | {"NODE_CONFIG": str(config), "TMPDIR": folder},
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        try:
            while True:
                with contextlib.suppress(OSError):
                    (await asyncio.open_connection("127.0.0.1", port))[1].close()
                    break
                await asyncio.sleep(0.05)
            clients = Clients(port, size)
            await asyncio.gather(
                *(
                    clients.send_small_requests(time.monotonic() + options.seconds / 2)
                    for _ in range(4)
                )
            )
            print_latencies("alone", clients.small_latencies_s)
            print(f"peak before {peak_memory_mb(node.pid):.1f} MB")
            clients.small_latencies_s = []
            pause_s = options.seconds / (size / 65536)
            begin = time.monotonic()
            await asyncio.gather(
                *(
                    clients.send_small_requests(time.monotonic() + options.seconds)
                    for _ in range(4)
                ),
                *(clients.read(pause_s) for _ in range(options.answers)),
                *(clients.write() for _ in range(options.bodies)),
            )
            print_latencies("beside", clients.small_latencies_s)
            print(f"{clients.whole_long_count} of {options.answers + options.bodies} long ones whole in"
                  f" {time.monotonic() - begin:.1f} s, peak {peak_memory_mb(node.pid):.1f} MB")  # fmt: skip
        finally:
            node.send_signal(signal.SIGKILL)
            await node.wait()


def print_latencies(label: str, latencies_s: list[float]) -> None:
    """Print one line of latencies; ``latencies_s`` is in seconds."""
    cuts = statistics.quantiles(latencies_s, n=100)
    print(
        f"small requests {label}: {len(latencies_s)}, p50 {1000 * cuts[49]:.1f} ms, p99 {1000 * cuts[98]:.1f} ms"
    )


def main() -> None:
    """Parse the command line and measure."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--answers", type=int, default=20)
    parser.add_argument("--bodies", type=int, default=20)
    parser.add_argument("--megabytes", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=8.0)
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
