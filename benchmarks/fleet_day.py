"""Adds up, second by second, what all nodes of a fleet did: reads logs that were written with OAKBRIDGE_TRACE=1.

    python benchmarks/fleet_day.py FOLDER [--tier N] [--servers SECOND] [--server NAME]

One line a second: requests by end, attempts by result, connections, lists, ejections and limits, of all nodes of a
tier together.  ``--servers SECOND`` shows that second's servers one by one: what all nodes together sent to each.
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
NAMES = {
    "connect_failed": "nocon",
    "refused_connections": "refcon",
    "asked_whole": "whole",
    "asked_changes": "chang",
}


def lines(folder: Path) -> Iterator[dict[str, Any]]:
    """Every node's lines, in no order."""
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text("utf-8", "replace").splitlines():
            if (place := line.find(f" {LINE_PREFIX}{{")) >= 0:
                try:
                    found = json.loads(line[place + 1 + len(LINE_PREFIX) :])
                except ValueError:  # cut off where the node was killed
                    continue
                if "start" not in found:
                    yield found


def add_up(found: list[dict[str, Any]]) -> dict[str, float]:
    """One second of all nodes of a tier."""
    total: Counter[str] = Counter()
    idle: Counter[str] = Counter()
    for line in found:
        total["nodes"] += 1
        for name, value in line.items():
            if name in COLUMNS and isinstance(value, int | float):
                total[name] += value
        for ends in line["ends"].values():
            total.update({name: n for name, n in ends.items() if name != "cold"})
        idle.update(line["idle"])
        total["eject"] += len(line["ejected"])
        total["left"] += line["retries_left"]
        total["ms"] += 1000 * line["processor"]
    mean = {
        name: total[name] / len(found)
        for name in ("limit", "flow", "subset", "servers", "slower", "left")
    }
    worst = {
        "oldest": max(line["list_age"] for line in found),
        "fullest": max(idle.values(), default=0),
    }
    return {**total, **mean, **worst, "idle": sum(idle.values())}


def show(found: list[dict[str, Any]], tier: int) -> None:
    """The table of one tier."""
    start = min(line["at"] for line in found)
    seconds: dict[int, list[dict[str, Any]]] = {}
    for line in found:
        if line["tier"] == tier:
            seconds.setdefault((line["at"] - start) // 1_000_000, []).append(line)
    print(f"tier {tier}")
    print("   s", *(f"{NAMES.get(name, name)[:6]:>6}" for name in COLUMNS))
    for second, those in sorted(seconds.items()):
        sums = add_up(those)
        print(f"{second:4}", *(f"{sums.get(name, 0):6.4g}" for name in COLUMNS))


def show_servers(found: list[dict[str, Any]], tier: int, second: int) -> None:
    """What all nodes of a tier sent to each server in a second."""
    start = min(line["at"] for line in found)
    those = [
        line
        for line in found
        if line["tier"] == tier and (line["at"] - start) // 1_000_000 == second
    ]
    ends: dict[str, Counter[str]] = {}
    for line in those:
        for server, counts in line["ends"].items():
            ends.setdefault(server, Counter()).update(counts)
    ejected = Counter(server for line in those for server in line["ejected"])
    idle: Counter[str] = Counter()
    for line in those:
        idle.update(line["idle"])
    for server in sorted({*ends, *ejected, *idle}):
        print(
            f"{server}  ejected in {ejected[server]:2}, idle {idle[server]:2}  {dict(ends.get(server, {}))}"
        )


def show_server(found: list[dict[str, Any]], name: str) -> None:
    """One server's day, as all nodes together saw it."""
    start = min(line["at"] for line in found)
    seconds: dict[int, Counter[str]] = {}
    for line in found:
        ends = line["ends"].get(name, {})
        here = {
            "out": line["outs"].get(name, 0),
            "idle": line["idle"].get(name, 0),
            "ejected in": name in line["ejected"],
        }
        if ends or any(here.values()):
            seconds.setdefault((line["at"] - start) // 1_000_000, Counter()).update(
                {**here, **ends}
            )
    for second, counts in sorted(seconds.items()):
        print(f"{second:4}  { ({name: count for name, count in counts.items() if count}) }")


def main() -> None:
    """Show the tables that were asked for."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("folder", type=Path)
    parser.add_argument("--tier", type=int)
    parser.add_argument("--servers", type=int, metavar="SECOND")
    parser.add_argument("--server", metavar="NAME", help="one server, second by second")
    options = parser.parse_args()
    found = list(lines(options.folder))
    if not found:
        parser.error(f"{options.folder}: no line of a node that ran with OAKBRIDGE_TRACE=1")
    if options.server:
        show_server(found, options.server)
        return
    tiers = sorted({line["tier"] for line in found}) if options.tier is None else [options.tier]
    for tier in tiers:
        show(found, tier)
        if options.servers is not None:
            show_servers(found, tier, options.servers)


if __name__ == "__main__":
    main()
