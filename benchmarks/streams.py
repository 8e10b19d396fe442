"""Peak memory and small requests' latency of one node while long answers and bodies pass through it.

    python benchmarks/streams.py [--answers 20] [--bodies 20] [--megabytes 32] [--seconds 8]

One node as the platform starts it (192 MB told), two stand-in servers and the callers in this process; everything on
loopback.  Prints small requests alone, then beside the long ones, and the node's peak (VmHWM).
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

PART = b"x" * 65536
SETTINGS = {
    "allowed": {"cancelling": True, "max-attempts": 3, "connect-timeout": 2_000_000, "conn-idle": 30_000_000},
    "classes": [{"name": "look", "aim": 5_000_000, "deadline": 20_000_000, "idempotency": "pure"}],
    "discovery": "pushed", "instances": 1, "layers": ["only"],
    "invariants": {"cold-from": 0.2, "warm-up": 10_000_000, "fall-multiple": 2.5, "fall": 3_000_000},
}  # fmt: skip


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, size: int) -> None:
    """A server: long answers for /long, short ones else; bodies are read whole."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            left = (
                int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
                if b"content-length: " in head
                else 0
            )
            while left:
                left -= len(await reader.read(min(left, 65536)))
            if b" /long " in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                for _ in range(size // len(PART)):
                    writer.write(PART)
                    await writer.drain()
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class Callers:
    """All callers, and what they saw."""

    def __init__(self, port: int, size: int) -> None:
        self.port, self.size, self.number = port, size, 0
        self.small: list[float] = []
        self.long = 0

    def _head(self, method: str, url: str, *lines: str) -> bytes:
        self.number += 1
        first = [
            f"{method} {url} HTTP/1.1",
            "Host: a",
            f"X-Request-ID: b{self.number}",
            "X-Priority-Class: look",
        ]
        return ("\r\n".join([*first, *lines]) + "\r\n\r\n").encode()

    @staticmethod
    async def _answer(reader: asyncio.StreamReader, pause: float = 0.0) -> int:
        head = await reader.readuntil(b"\r\n\r\n")
        left = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while left:
            left -= len(await reader.read(min(left, 65536)))
            if pause:
                await asyncio.sleep(pause)
        return int(head.split(b" ")[1])

    async def ask(self, until: float) -> None:
        """Small requests, one after another."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        while time.monotonic() < until:
            began = time.perf_counter()
            writer.write(self._head("GET", "/short"))
            assert await self._answer(reader) == 200
            self.small.append(time.perf_counter() - began)
            await asyncio.sleep(0.005)
        writer.close()

    async def read(self, pause: float) -> None:
        """One long answer, read slowly."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self._head("GET", "/long"))
        got = await self._answer(reader, pause)
        self.long += got == 200
        writer.close()

    async def write(self) -> None:
        """One long body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self._head("POST", "/short", f"Content-Length: {self.size}"))
        for _ in range(self.size // len(PART)):
            writer.write(PART)
            await writer.drain()
        got = await self._answer(reader)
        self.long += got == 200
        writer.close()


def peak(pid: int) -> float:
    """A process's peak resident memory in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    raise OSError("no VmHWM")


async def measure(options: argparse.Namespace) -> None:
    """Play it."""
    size = options.megabytes * 1024 * 1024 // len(PART) * len(PART)
    servers = [
        await asyncio.start_server(lambda r, w: serve(r, w, size), "127.0.0.1", 0) for _ in range(2)
    ]
    ports = [s.sockets[0].getsockname()[1] for s in servers]
    known = [
        {"name": f"s-{p}", "address": f"127.0.0.1:{p}", "status": "ready", "since_ms": 0}
        for p in ports
    ]
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder, "c.json")
        door = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = door.sockets[0].getsockname()[1]
        door.close()
        config.write_text(json.dumps({
            "name": "b", "listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9", "seed": "7", "settings": SETTINGS,
            "limits": {"memory_mb": 192, "sockets": 512},
            "known": {"index": 1, "snapshot": True, "endpoints": known},
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
            callers = Callers(port, size)
            await asyncio.gather(
                *(callers.ask(time.monotonic() + options.seconds / 2) for _ in range(4))
            )
            show("alone", callers.small)
            print(f"peak before {peak(node.pid):.1f} MB")
            callers.small = []
            pause = options.seconds / (size / 65536)
            began = time.monotonic()
            await asyncio.gather(
                *(callers.ask(time.monotonic() + options.seconds) for _ in range(4)),
                *(callers.read(pause) for _ in range(options.answers)),
                *(callers.write() for _ in range(options.bodies)),
            )
            show("beside", callers.small)
            print(f"{callers.long} of {options.answers + options.bodies} long ones whole in"
                  f" {time.monotonic() - began:.1f} s, peak {peak(node.pid):.1f} MB")  # fmt: skip
        finally:
            node.send_signal(signal.SIGKILL)
            await node.wait()


def show(what: str, seen: list[float]) -> None:
    """One line of latencies."""
    cuts = statistics.quantiles(seen, n=100)
    print(
        f"small requests {what}: {len(seen)}, p50 {1000 * cuts[49]:.1f} ms, p99 {1000 * cuts[98]:.1f} ms"
    )


def main() -> None:
    """Read the flags, and play."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--answers", type=int, default=20)
    parser.add_argument("--bodies", type=int, default=20)
    parser.add_argument("--megabytes", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=8.0)
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
