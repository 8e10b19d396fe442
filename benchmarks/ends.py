"""Measures the descriptors and memory (MB) that a node keeps after thousands of closed connections.

    python benchmarks/ends.py [--count 10000] [--ways rest,reset,...] [--json]

One node runs in a process of its own.  A stand-in server answers, closes, resets or stays silent,
by the request's path.  Clients close their connections in one of several ways, 100 at a time.
Descriptors are counted in /proc once the node is idle again, beyond those of the empty node.
Memory is the growth of VmRSS in one way, after a warm-up with all ways.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
CONCURRENCY = 100
# Timeout for the node to become idle again: it waits for a client 2.5 s, at most twice.
BECOME_IDLE_TIMEOUT_S = 15.0
CONFIG = """
[node]
name = "ends"
listen = ["127.0.0.1:{port}"]
[limits]
sockets = 1024
[servers]
inline = [{{name = "s0", address = "127.0.0.1:{server}"}}]
[[class]]
name = "look"
aim = "1s"
deadline = "2s"
repeat = "unsafe"
[control]
enabled = false
[log]
level = "error"
"""
REQUEST_IDS = itertools.count(1)
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: closing the socket sends a reset


def request(path: str, *headers: str, body: bytes = b"") -> bytes:
    """Return a request; its path selects what the server does."""
    lines = [
        f"POST /{path} HTTP/1.1",
        "Host: a",
        f"X-Request-ID: r-{next(REQUEST_IDS)}",
        "X-Priority-Class: look",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection; each request's path selects the response."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ", 2)[1]
            if path == b"/ok":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            elif path == b"/half":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
                break
            elif path == b"/garbage":
                writer.write(b"\0\1 what is this\r\n\r\n")
            elif path == b"/twice":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" * 2)
            elif path == b"/reset":
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET
                )
                break
            elif path == b"/close":
                break
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.transport.abort() if writer.transport.is_closing() else writer.close()


async def read_response(reader: asyncio.StreamReader) -> None:
    """Read one whole response with any status."""
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(head.lower().split(b"content-length:")[1].split()[0]))


async def run_client(port: int, way: str) -> None:
    """Open one connection and close it in the given way."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sock = writer.get_extra_info("socket")
    try:
        if way in ("rest", "leave", "reset-rest"):
            writer.write(request("ok"))
            await read_response(reader)
        elif way == "last":
            writer.write(request("ok", "Connection: close"))
            await reader.read()
        elif way == "crossed":
            writer.write(request("ok", "Connection: close") + request("ok"))
            await reader.read()
        elif way in ("waiting", "waiting-reset"):
            writer.write(request("silent"))
            await writer.drain()
            await asyncio.sleep(0.01)
        elif way == "half-closed":
            writer.write(request("silent"))
            writer.write_eof()
            await reader.read()
        elif way == "pipelined":
            writer.write(b"".join(request("silent" if i == 3 else "ok") for i in range(20)))
            await read_response(reader)
        elif way == "half-head":
            writer.write(b"POST /ok HTTP/1.1\r\nHost: a\r\nX-Req")
        elif way == "half-body":
            writer.write(request("ok", "Content-Length: 9", body=b"abc"))
        elif way == "garbage":
            writer.write(b"what is this\r\n\r\n")
            await reader.read()
        elif way.startswith("server-"):
            writer.write(request(way.removeprefix("server-")))
            await read_response(reader)
        if way in ("waiting-reset", "reset-rest"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    finally:
        writer.close()


WAYS = ["rest", "leave", "reset-rest", "last", "crossed", "waiting", "waiting-reset", "half-closed", "pipelined",
        "half-head", "half-body", "garbage", "server-close", "server-reset", "server-half", "server-garbage",
        "server-twice"]  # fmt: skip


def process_figures(pid: int) -> tuple[int, float]:
    """Return a process's open descriptors and resident megabytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    kilobytes = int(status.split("VmRSS:")[1].split()[0])
    return len(os.listdir(f"/proc/{pid}/fd")), kilobytes / 1024


async def wait_until_idle(pid: int, max_descriptors: int) -> tuple[int, float]:
    """Wait until a process has at most so many descriptors or a timeout; return both figures."""
    end = time.monotonic() + BECOME_IDLE_TIMEOUT_S
    while process_figures(pid)[0] > max_descriptors and time.monotonic() < end:
        await asyncio.sleep(0.05)
    return process_figures(pid)


async def close_many(port: int, way: str, count: int) -> int:
    """Close ``count`` connections in the given way; return how many failed otherwise."""
    failed, remaining = 0, iter(range(count))

    async def run_clients() -> None:
        nonlocal failed
        for _ in remaining:
            try:
                async with asyncio.timeout(10):
                    await run_client(port, way)
            except (OSError, asyncio.IncompleteReadError):
                failed += 1

    await asyncio.gather(*(run_clients() for _ in range(CONCURRENCY)))
    return failed


async def measure(options: argparse.Namespace) -> list[dict[str, object]]:
    """Measure all chosen ways in turn against one node."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    with socket.create_server(("127.0.0.1", 0)) as probe_socket:
        port = probe_socket.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "ends.toml"
        path.write_text(CONFIG.format(port=port, server=server.sockets[0].getsockname()[1]))
        node = subprocess.Popen(
            [sys.executable, "-m", "oakbridge", "serve", "--config", str(path)], cwd=ROOT
        )
        try:
            for _ in range(200):
                with contextlib.suppress(OSError):
                    socket.create_connection(("127.0.0.1", port)).close()
                    break
                await asyncio.sleep(0.05)
            descriptors_before, _ = process_figures(node.pid)
            for way in WAYS:
                await close_many(port, way, max(CONCURRENCY, options.count // 10))
            rows: list[dict[str, object]] = []
            for way in options.ways:
                memory_before_mb = (await wait_until_idle(node.pid, descriptors_before + 2))[1]
                begin = time.monotonic()
                failed = await close_many(port, way, options.count)
                duration_s = time.monotonic() - begin
                descriptors, memory_mb = await wait_until_idle(node.pid, descriptors_before + 2)
                rows.append({"way": way, "seconds": round(duration_s, 1), "failed": failed,
                              "descriptors": descriptors - descriptors_before,
                              "megabytes": round(memory_mb - memory_before_mb, 2)})  # fmt: skip
            return rows
        finally:
            node.terminate()
            node.wait()
            server.close()


def main() -> None:
    """Run the measurement and print a table or JSON."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--ways", type=lambda text: text.split(","), default=WAYS)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = asyncio.run(measure(options))
    if options.json:
        print(json.dumps(rows))
        return
    print(
        "| way | seconds | failed otherwise | descriptors | memory, MB |\n| --- | --- | --- | --- | --- |"
    )
    for row in rows:
        print("| " + " | ".join(str(value) for value in row.values()) + " |")


if __name__ == "__main__":
    main()
