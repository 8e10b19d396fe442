"""A crowd of slow clients beside good ones, before a node process that shares its core.

By hand, with other figures:

    PYTHONPATH=.:tests python tests/slow_clients.py [--memory-mb 64] [--slow 800] [--good 100] [--busy 4]
"""

import argparse
import asyncio
import contextlib
import os
import random
import subprocess
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from memory_load import NodeProcess, head, running_node_before, serve

SEED = 72
GOOD_TIMEOUT_S = 2.5
GOOD_PAUSE_S = 0.3
GIVE_UP_S = 3.5  # of a good client; half a second after its time a response is lost, and some slack
MEMORY_CHECK_INTERVAL_S = 0.01
SERVER_COUNT = 4
BUSY_LOOP = "while True: pass"


@dataclass
class CrowdOutcome:
    """What the good clients saw, and the node's resident memory."""

    good: Counter[str] = field(default_factory=Counter)
    latest_s: float = 0.0
    peak_mb: float = 0.0
    exit_code: int | None = None  # of a node that has ended by itself
    log: str = ""


# ---- what one slow client does, again and again


async def slow_writer(reader, writer) -> None:
    """Write a body of 55 kB over 2.4 s."""
    writer.write(head("POST", "/", "Content-Length: 55000", "X-Timeout: 2500m"))
    for _ in range(24):
        writer.write(bytes(55_000 // 24))
        await asyncio.sleep(0.1)
    writer.write(bytes(55_000 - 24 * (55_000 // 24)))
    await reader.readuntil(b"\r\n\r\n")


async def half_body(reader, writer) -> None:
    """Write half of a body of 480 kB, then be silent."""
    writer.write(head("POST", "/", "Content-Length: 480000", "X-Timeout: 2500m") + bytes(240_000))
    await reader.readuntil(b"\r\n\r\n")


async def unfinished_head(reader, writer) -> None:
    """Write a head of 5,000 headers that does not end."""
    writer.write(head("GET", "/")[:-2] + b"a:\r\n" * 5_000)
    await reader.readuntil(b"\r\n\r\n")


async def slow_reader(reader, writer) -> None:
    """Read a response of 600 kB with 20 kB a second."""
    writer.write(head("GET", "/long", "X-Timeout: 2500m"))
    while await reader.read(2_000):
        await asyncio.sleep(0.1)


SLOW_CLIENTS: tuple[Callable[..., Awaitable[None]], ...] = (
    slow_writer,
    half_body,
    unfinished_head,
    slow_reader,
)


async def run_slow_client(port: int, act: Callable[..., Awaitable[None]]) -> None:
    """Act on a connection; open another one when the node ends it."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=4096)
            try:
                async with asyncio.timeout(8.0):
                    await act(reader, writer)
            except TimeoutError:
                pass
            finally:
                writer.transport.abort()
        await asyncio.sleep(0.2)


async def run_good_client(port: int, outcome: CrowdOutcome, end_s: float) -> None:
    """Send short requests on a kept connection until ``end_s`` of the loop's time."""
    loop = asyncio.get_running_loop()
    writer = None
    while loop.time() < end_s:
        began = loop.time()
        try:
            async with asyncio.timeout(GIVE_UP_S):
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    began = loop.time()
                writer.write(head("GET", "/", f"X-Timeout: {int(GOOD_TIMEOUT_S * 1000)}m"))
                response_head = (await reader.readuntil(b"\r\n\r\n")).lower()
                size = int(response_head.split(b"content-length: ")[1].split(b"\r\n")[0])
                await reader.readexactly(size)
            outcome.good[response_head.split(b" ")[1].decode()] += 1
            outcome.latest_s = max(outcome.latest_s, loop.time() - began)
            is_last = b"connection: close" in response_head
        except TimeoutError:
            outcome.good["none in time"] += 1
            is_last = True
        except (OSError, asyncio.IncompleteReadError):
            outcome.good["closed"] += 1
            is_last = True
        if is_last and writer is not None:
            writer.transport.abort()
            writer = None
        await asyncio.sleep(GOOD_PAUSE_S)


@contextlib.contextmanager
def crowded_core(node: NodeProcess, busy: int):
    """Have busy processes share the node's core; the caller's process gets the other cores."""
    cores = sorted(os.sched_getaffinity(0))
    own = cores[os.getpid() % (len(cores) - 1) + 1] if len(cores) > 1 else cores[0]
    os.sched_setaffinity(node.process.pid, {own})
    processes = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(busy)]
    try:
        for process in processes:
            os.sched_setaffinity(process.pid, {own})
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


async def run_crowd(
    *,
    memory_mb: int,
    slow: int,
    good: int,
    busy: int = 0,
    seconds: float = 8.0,
    kinds: tuple[Callable[..., Awaitable[None]], ...] = SLOW_CLIENTS,
) -> CrowdOutcome:
    """Run slow and good clients; the node's memory is watched, and not limited."""
    outcome, draw = CrowdOutcome(), random.Random(SEED)
    loop = asyncio.get_running_loop()
    servers = [
        await asyncio.start_server(lambda r, w: serve(r, w, draw), "127.0.0.1", 0, backlog=1024)
        for _ in range(SERVER_COUNT)
    ]
    async with running_node_before(servers, memory_mb, 1024) as (node, port):
        with crowded_core(node, busy):
            end_s = loop.time() + seconds
            crowd = [
                loop.create_task(run_slow_client(port, kinds[i % len(kinds)])) for i in range(slow)
            ]
            served = [loop.create_task(run_good_client(port, outcome, end_s)) for _ in range(good)]
            while loop.time() < end_s and node.process.poll() is None:
                outcome.peak_mb = max(outcome.peak_mb, node.memory_mb())
                await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)
            await asyncio.gather(*served)
            outcome.exit_code = node.process.poll()
            outcome.log = node.log()
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
    for server in servers:
        server.close()
    return outcome


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--memory-mb", type=int, default=64)
    parser.add_argument("--slow", type=int, default=800)
    parser.add_argument("--good", type=int, default=100)
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--kind", choices=[kind.__name__ for kind in SLOW_CLIENTS])
    options = vars(parser.parse_args())
    kind = options.pop("kind")
    kinds = tuple(act for act in SLOW_CLIENTS if kind in (None, act.__name__))
    outcome = asyncio.run(run_crowd(**options, kinds=kinds))
    print(options, kind, dict(outcome.good))
    print(
        f"peak {outcome.peak_mb:.1f} MB, latest {outcome.latest_s:.2f} s, exit {outcome.exit_code}"
    )
    print(outcome.log[-1500:])


if __name__ == "__main__":
    main()
