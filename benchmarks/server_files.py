"""Measures server files: ms from rename to use, and event loop stalls with 10,000 servers.

    python benchmarks/server_files.py [--rounds 300] [--servers 10000] [--json]

One process runs a node that watches a server file; another process renames new versions into
place.  Both read the system's monotonic clock, which they share.  A task in the node's event loop
measures stalls: it sleeps 1 ms at a time, and a stall is the time by which it wakes late.  All
figures are in milliseconds.
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
    """Return the JSON of a file with ``count`` servers; a tenth of them changes with each turn."""
    rows = []
    for i in range(count):
        is_new = i % 10 == turn % 10
        name = f"s{i}-{turn}" if is_new else f"s{i}"
        port = 1000 + turn % 500 if is_new else 999
        rows.append(
            {
                "name": name,
                "address": f"127.{i // 62500}.{i // 250 % 250}.{1 + i % 250}:{port}",
                "zone": "a",
            }
        )
    return json.dumps({"endpoints": rows})


def rename_versions(path: Path, count: int, rounds: int, gap_s: float, pipe: Any) -> None:
    """Rename each version into place and send the rename time; runs in another process."""
    for turn in range(1, rounds + 1):
        text = render(count, turn)
        new_path = path.with_suffix(".new")
        new_path.write_text(text)
        pipe.recv()
        time.sleep(gap_s)
        renamed_at = time.monotonic()
        os.rename(new_path, path)
        pipe.send(renamed_at)


async def record_stalls(late_s: list[float], done: asyncio.Event) -> None:
    """Append to ``late_s`` by how much each sleep of 1 ms is late, until ``done`` is set."""
    loop = asyncio.get_running_loop()
    while not done.is_set():
        due = loop.time() + 0.001
        await asyncio.sleep(0.001)
        late_s.append(max(0.0, loop.time() - due))


async def measure(count: int, rounds: int, gap_s: float) -> dict[str, float]:
    """Rename a file with ``count`` servers ``rounds`` times; return the figures in ms."""
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
        applied_at: asyncio.Queue[float] = asyncio.Queue()
        apply_list = node.endpoints.on_endpoint_list

        def apply_list_and_record(new: Any, *, saved: bool = False) -> None:
            apply_list(new, saved=saved)
            applied_at.put_nowait(time.monotonic())

        node.endpoints.on_endpoint_list = apply_list_and_record  # type: ignore[method-assign]
        source.start()
        await source.ready()
        applied_at.get_nowait()
        await asyncio.sleep(0.5)
        gc.collect()
        gc.freeze()
        own_pipe_end, writer_pipe_end = multiprocessing.Pipe()
        process = multiprocessing.Process(
            target=rename_versions, args=(path, count, rounds, gap_s, writer_pipe_end)
        )
        process.start()
        late_s: list[float] = []
        done = asyncio.Event()
        stall_task = loop.create_task(record_stalls(late_s, done))
        use_times_s = []
        for _ in range(rounds):
            own_pipe_end.send(True)
            renamed = await asyncio.to_thread(own_pipe_end.recv)
            use_times_s.append(await asyncio.wait_for(applied_at.get(), 30) - renamed)
        await asyncio.sleep(0.3)
        done.set()
        await stall_task
        process.join()
        node.close()
    sorted_use_times_s = sorted(use_times_s)
    return {
        "servers": count,
        "rounds": rounds,
        "use_median_ms": 1000 * statistics.median(use_times_s),
        "use_p99_ms": 1000
        * sorted_use_times_s[min(len(sorted_use_times_s) - 1, int(0.99 * len(sorted_use_times_s)))],
        "use_most_ms": 1000 * sorted_use_times_s[-1],
        "stall_p999_ms": 1000 * sorted(late_s)[int(0.999 * len(late_s))],
        "stall_most_ms": 1000 * max(late_s),
    }


def main() -> None:
    """Measure a small and a large file, and print the figures."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=300)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    results = [
        asyncio.run(measure(20, arguments.rounds, 0.05)),
        asyncio.run(measure(arguments.servers, max(10, arguments.rounds // 10), 0.2)),
    ]
    if arguments.json:
        print(json.dumps(results, indent=2))
        return
    for result in results:
        print(
            "  ".join(
                f"{key} {value:.1f}" if isinstance(value, float) else f"{key} {value}"
                for key, value in result.items()
            )
        )


if __name__ == "__main__":
    main()
