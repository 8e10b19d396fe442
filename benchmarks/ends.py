"""What a node keeps of connections that have ended: descriptors and memory after thousands of ends of each kind.

    python benchmarks/ends.py [--count 10000] [--ways rest,reset,...] [--json]

One node in a process of its own, one stand-in server beside it that answers, closes, resets or says nothing by the
request's path, and clients that end in the way that is measured, 100 at a time.  Descriptors are those in /proc once
the node is at rest again; memory is what it holds (VmRSS), which a warm-up of all ways has brought to its level.
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
AT_ONCE = 100
SETTLED = 15.0  # seconds in which a node has to be at rest again: a caller is awaited for 2.5 s, twice at most
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
IDS = itertools.count(1)
RESET = struct.pack("ii", 1, 0)  # SO_LINGER for no time: the close is a reset


def ask(path: str, *more: str, body: bytes = b"") -> bytes:
    """A request; the path says what the server does."""
    lines = [
        f"POST /{path} HTTP/1.1",
        "Host: a",
        f"X-Request-ID: r-{next(IDS)}",
        "X-Priority-Class: look",
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """The server: what its answer is, the path says."""
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


async def answer(reader: asyncio.StreamReader) -> None:
    """Read one whole answer, whatever it says."""
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(head.lower().split(b"content-length:")[1].split()[0]))


async def client(port: int, way: str) -> None:
    """One connection that ends in this way."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sock = writer.get_extra_info("socket")
    try:
        if way in ("rest", "leave", "reset-rest"):
            writer.write(ask("ok"))
            await answer(reader)
        elif way == "last":
            writer.write(ask("ok", "Connection: close"))
            await reader.read()
        elif way == "crossed":
            writer.write(ask("ok", "Connection: close") + ask("ok"))
            await reader.read()
        elif way in ("waiting", "waiting-reset"):
            writer.write(ask("silent"))
            await writer.drain()
            await asyncio.sleep(0.01)
        elif way == "half-closed":
            writer.write(ask("silent"))
            writer.write_eof()
            await reader.read()
        elif way == "pipelined":
            writer.write(b"".join(ask("silent" if i == 3 else "ok") for i in range(20)))
            await answer(reader)
        elif way == "half-head":
            writer.write(b"POST /ok HTTP/1.1\r\nHost: a\r\nX-Req")
        elif way == "half-body":
            writer.write(ask("ok", "Content-Length: 9", body=b"abc"))
        elif way == "garbage":
            writer.write(b"what is this\r\n\r\n")
            await reader.read()
        elif way.startswith("server-"):
            writer.write(ask(way.removeprefix("server-")))
            await answer(reader)
        if way in ("waiting-reset", "reset-rest"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    finally:
        writer.close()


WAYS = ["rest", "leave", "reset-rest", "last", "crossed", "waiting", "waiting-reset", "half-closed", "pipelined",
        "half-head", "half-body", "garbage", "server-close", "server-reset", "server-half", "server-garbage",
        "server-twice"]  # fmt: skip


def held(pid: int) -> tuple[int, float]:
    """Descriptors and megabytes of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    kilobytes = int(status.split("VmRSS:")[1].split()[0])
    return len(os.listdir(f"/proc/{pid}/fd")), kilobytes / 1024


async def at_rest(pid: int, most: int) -> tuple[int, float]:
    """What it holds once it holds no more descriptors than before, or the time for that is over."""
    end = time.monotonic() + SETTLED
    while held(pid)[0] > most and time.monotonic() < end:
        await asyncio.sleep(0.05)
    return held(pid)


async def end_many(port: int, way: str, count: int) -> int:
    """So many connections that end in this way; how many failed in some other."""
    failed, left = 0, iter(range(count))

    async def one_after_another() -> None:
        nonlocal failed
        for _ in left:
            try:
                async with asyncio.timeout(10):
                    await client(port, way)
            except (OSError, asyncio.IncompleteReadError):
                failed += 1

    await asyncio.gather(*(one_after_another() for _ in range(AT_ONCE)))
    return failed


async def measure(options: argparse.Namespace) -> list[dict[str, object]]:
    """All ways in turn against one node."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "ends.toml"
        file.write_text(CONFIG.format(port=port, server=server.sockets[0].getsockname()[1]))
        node = subprocess.Popen(
            [sys.executable, "-m", "oakbridge", "serve", "--config", str(file)], cwd=ROOT
        )
        try:
            for _ in range(200):
                with contextlib.suppress(OSError):
                    socket.create_connection(("127.0.0.1", port)).close()
                    break
                await asyncio.sleep(0.05)
            empty, _ = held(node.pid)
            for way in WAYS:
                await end_many(port, way, max(AT_ONCE, options.count // 10))
            found: list[dict[str, object]] = []
            for way in options.ways:
                before = (await at_rest(node.pid, empty + 2))[1]
                began = time.monotonic()
                failed = await end_many(port, way, options.count)
                took = time.monotonic() - began
                descriptors, memory = await at_rest(node.pid, empty + 2)
                found.append({"way": way, "seconds": round(took, 1), "failed": failed,
                              "descriptors": descriptors - empty, "megabytes": round(memory - before, 2)})  # fmt: skip
            return found
        finally:
            node.terminate()
            node.wait()
            server.close()


def main() -> None:
    """Measure and print."""
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
