"""Sums the trace lines of a fleet's nodes per second, from logs written with OAKBRIDGE_TRACE=1.

    python benchmarks/fleet_day.py FOLDER [--tier N] [--servers SECOND] [--server NAME]

Prints one line per second and tier: requests by result, attempts by result, connections, endpoint
lists, ejections and limits of all nodes of the tier.  ``--servers SECOND`` also prints each
server in that second, with what all nodes sent to it.  ``--server NAME`` prints one server,
second by second.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from oakbridge.node.trace_format import LINE_PREFIX

COLUMNS = (
    "nodes", "taken", "served", "refuse", "fail", "sent", "again", "cold", "ok", "error", "full", "timeout",
    "connect_failed", "reset", "opened", "refused_connections", "idle", "fullest", "asked_whole", "asked_changes",
    "lists_lost", "oldest", "eject", "limit", "flow", "out", "waiting", "subset", "servers", "left", "slower", "ms",
)  # fmt: skip
SHORT_HEADINGS = {
    "connect_failed": "nocon",
    "refused_connections": "refcon",
    "asked_whole": "whole",
    "asked_changes": "chang",
}


def read_trace_lines(folder: Path) -> Iterator[dict[str, Any]]:
    """Yield the trace lines of all nodes, unordered, without the lines that record a start."""
    for path in sorted(folder.glob("*.log")):
        for text in path.read_text("utf-8", "replace").splitlines():
            if (position := text.find(f" {LINE_PREFIX}{{")) >= 0:
                try:
                    trace_line = json.loads(text[position + 1 + len(LINE_PREFIX) :])
                except ValueError:  # the line is cut off because the node was killed
                    continue
                if "start" not in trace_line:
                    yield trace_line


def sum_lines(lines: list[dict[str, Any]]) -> dict[str, float]:
    """Sum the lines of one second of all nodes of a tier."""
    total: Counter[str] = Counter()
    idle_by_server: Counter[str] = Counter()
    for line in lines:
        total["nodes"] += 1
        for name, value in line.items():
            if name in COLUMNS and isinstance(value, int | float):
                total[name] += value
        for results in line["ends"].values():
            total.update({name: number for name, number in results.items() if name != "cold"})
        idle_by_server.update(line["idle"])
        total["eject"] += len(line["ejected"])
        total["left"] += line["retries_left"]
        total["ms"] += 1000 * line["processor"]
    mean = {
        name: total[name] / len(lines)
        for name in ("limit", "flow", "subset", "servers", "slower", "left")
    }
    worst = {
        "oldest": max(line["list_age"] for line in lines),
        "fullest": max(idle_by_server.values(), default=0),
    }
    return {**total, **mean, **worst, "idle": sum(idle_by_server.values())}


def show_tier(lines: list[dict[str, Any]], tier: int) -> None:
    """Print the table of one tier, one line per second since the first trace line."""
    start = min(line["at"] for line in lines)
    seconds: dict[int, list[dict[str, Any]]] = {}
    for line in lines:
        if line["tier"] == tier:
            seconds.setdefault((line["at"] - start) // 1_000_000, []).append(line)
    print(f"tier {tier}")
    print("   s", *(f"{SHORT_HEADINGS.get(name, name)[:6]:>6}" for name in COLUMNS))
    for second, second_lines in sorted(seconds.items()):
        sums = sum_lines(second_lines)
        print(f"{second:4}", *(f"{sums.get(name, 0):6.4g}" for name in COLUMNS))


def show_servers(lines: list[dict[str, Any]], tier: int, second: int) -> None:
    """Print what all nodes of a tier sent to each server in one second."""
    start = min(line["at"] for line in lines)
    second_lines = [
        line
        for line in lines
        if line["tier"] == tier and (line["at"] - start) // 1_000_000 == second
    ]
    results: dict[str, Counter[str]] = {}
    for line in second_lines:
        for server, counts in line["ends"].items():
            results.setdefault(server, Counter()).update(counts)
    ejected = Counter(server for line in second_lines for server in line["ejected"])
    idle: Counter[str] = Counter()
    for line in second_lines:
        idle.update(line["idle"])
    for server in sorted({*results, *ejected, *idle}):
        print(
            f"{server}  ejected in {ejected[server]:2}, idle {idle[server]:2}  {dict(results.get(server, {}))}"
        )


def show_server(lines: list[dict[str, Any]], name: str) -> None:
    """Print one server second by second, summed over all nodes."""
    start = min(line["at"] for line in lines)
    seconds: dict[int, Counter[str]] = {}
    for line in lines:
        results = line["ends"].get(name, {})
        gauges = {
            "out": line["outs"].get(name, 0),
            "idle": line["idle"].get(name, 0),
            "ejected in": name in line["ejected"],
        }
        if results or any(gauges.values()):
            seconds.setdefault((line["at"] - start) // 1_000_000, Counter()).update(
                {**gauges, **results}
            )
    for second, counts in sorted(seconds.items()):
        print(f"{second:4}  { ({name: count for name, count in counts.items() if count}) }")


def main() -> None:
    """Print the requested tables."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("folder", type=Path)
    parser.add_argument("--tier", type=int)
    parser.add_argument("--servers", type=int, metavar="SECOND")
    parser.add_argument("--server", metavar="NAME", help="show one server, second by second")
    options = parser.parse_args()
    lines = list(read_trace_lines(options.folder))
    if not lines:
        parser.error(
            f"{options.folder}: expected logs of nodes with OAKBRIDGE_TRACE=1, got no trace line"
        )
    if options.server:
        show_server(lines, options.server)
        return
    tiers = sorted({line["tier"] for line in lines}) if options.tier is None else [options.tier]
    for tier in tiers:
        show_tier(lines, tier)
        if options.servers is not None:
            show_servers(lines, tier, options.servers)


if __name__ == "__main__":
    main()
