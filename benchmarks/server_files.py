"""Server files: from rename to use, and how long the loop stalls while 10,000 servers are taken.

    python benchmarks/server_files.py [--rounds 300] [--servers 10000] [--json]

One process holds a node with watched servers; another renames new versions into place.  Times are taken on the
system's monotonic clock, which both share.  Stalls are measured inside the node's loop, by a task that sleeps 1 ms
at a time: a stall is what it wakes late.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import multiprocessing
import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from oakbridge.node.config import Config
from oakbridge.node.node import Node
from oakbridge.policy.settings import Idempotency, RequestClass, Settings, WeightSource
from oakbridge.sources.file_source import FileOptions, FileSource

CLASSES = (RequestClass("look", 1_000_000, 2_000_000, idempotency=Idempotency.IDEMPOTENT),)


def render(count: int, turn: int) -> str:
    """A list of ``count`` servers; a tenth of them is new at each turn."""
    rows = []
    for i in range(count):
        new = i % 10 == turn % 10
        name = f"s{i}-{turn}" if new else f"s{i}"
        port = 1000 + turn % 500 if new else 999
        rows.append(
            {
                "name": name,
                "address": f"127.{i // 62500}.{i // 250 % 250}.{1 + i % 250}:{port}",
                "zone": "a",
            }
        )
    return json.dumps({"endpoints": rows})


def writer(path: Path, count: int, rounds: int, gap_s: float, pipe: Any) -> None:
    """Another process: prepares each version, then renames it, noting when."""
    for turn in range(1, rounds + 1):
        text = render(count, turn)
        new = path.with_suffix(".new")
        new.write_text(text)
        pipe.recv()
        time.sleep(gap_s)
        at = time.monotonic()
        os.rename(new, path)
        pipe.send(at)


async def stalls(late: list[float], done: asyncio.Event) -> None:
    """How late a task wakes that sleeps 1 ms at a time."""
    loop = asyncio.get_running_loop()
    while not done.is_set():
        due = loop.time() + 0.001
        await asyncio.sleep(0.001)
        late.append(max(0.0, loop.time() - due))


async def measure(count: int, rounds: int, gap_s: float) -> dict[str, float]:
    """Play it; returns the figures in milliseconds."""
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "servers.json"
        path.write_text(render(count, 0))
        settings = Settings(
            classes=CLASSES,
            replica_count=200,
            pin_endpoint_list=True,
            weight_source=WeightSource.NOMINAL,
        )
        config = Config("bench", ("127.0.0.1", 0), None, 1, 1024, None, settings)
        options = FileOptions(path, saved_path=Path(folder) / "saved")
        node = Node(config, loop, lambda clock: FileSource(options, clock.now))
        source = node.source
        assert isinstance(source, FileSource)
        used: asyncio.Queue[float] = asyncio.Queue()
        listed = node.endpoints.on_endpoint_list

        def noted(new: Any, *, saved: bool = False) -> None:
            listed(new, saved=saved)
            used.put_nowait(time.monotonic())

        node.endpoints.on_endpoint_list = noted  # type: ignore[method-assign]
        source.start()
        await source.ready()
        used.get_nowait()
        await asyncio.sleep(0.5)
        gc.collect()
        gc.freeze()
        here, there = multiprocessing.Pipe()
        process = multiprocessing.Process(target=writer, args=(path, count, rounds, gap_s, there))
        process.start()
        late: list[float] = []
        done = asyncio.Event()
        watching = loop.create_task(stalls(late, done))
        took = []
        for _ in range(rounds):
            here.send(True)
            renamed = await asyncio.to_thread(here.recv)
            took.append(await asyncio.wait_for(used.get(), 30) - renamed)
        await asyncio.sleep(0.3)
        done.set()
        await watching
        process.join()
        node.close()
    ordered = sorted(took)
    return {
        "servers": count,
        "rounds": rounds,
        "use_median_ms": 1000 * statistics.median(took),
        "use_p99_ms": 1000 * ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))],
        "use_most_ms": 1000 * ordered[-1],
        "stall_p999_ms": 1000 * sorted(late)[int(0.999 * len(late))],
        "stall_most_ms": 1000 * max(late),
    }


def main() -> None:
    """Measure a small file and a large one."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=300)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--json", action="store_true")
    given = parser.parse_args()
    results = [
        asyncio.run(measure(20, given.rounds, 0.05)),
        asyncio.run(measure(given.servers, max(10, given.rounds // 10), 0.2)),
    ]
    if given.json:
        print(json.dumps(results, indent=2))
        return
    for result in results:
        print(
            "  ".join(
                f"{k} {v:.1f}" if isinstance(v, float) else f"{k} {v}" for k, v in result.items()
            )
        )


if __name__ == "__main__":
    main()
