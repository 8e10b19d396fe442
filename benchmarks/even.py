"""How evenly servers are used, in simulated time: by members, by chance, and by plain ways; after common events.

    python benchmarks/even.py ways [--copies 300] [--servers 300] [--load 0.3,0.6,0.85] [--seeds 2] [--uneven 0.5]
    python benchmarks/even.py cases [--seeds 2]
    python benchmarks/even.py herd [--copies 10,30,100,300] [--seeds 3]
    python benchmarks/even.py age [--copies 300] [--seeds 3]
    any of them with [--out FOLDER] for JSON and a chart

`ways`: the real module with its servers divided by members, the real module alone (each copy draws a subset), and plain
ways that see all servers; load over fair share in windows of 10 s beside what chance alone gives.  `cases`: the
same with numbers and parts that are hard.  `herd`: the most load at one server in the 2 s after half of the servers
were replaced at one moment, and after a tenth came back.  `age`: what is left of evenness when what copies hold of
each other's parts is so old (reckoned, no requests).
"""

from __future__ import annotations

import argparse
import json
import math
import random
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

from oakbridge.lab import load_distribution
from oakbridge.lab.simulation import strategies
from oakbridge.lab.simulation.clients import Outcome
from oakbridge.lab.simulation.event_queue import SECOND_US
from oakbridge.lab.simulation.fleet import SimulatedFleet
from oakbridge.lab.simulation.server_pool import MEAN_WORK_US
from oakbridge.lab.simulation.strategies import StrategyReplica
from oakbridge.spread.arcs import subset_weights
from oakbridge.spread.request_rate import STEPS_PER_DOUBLING
from oakbridge.spread.subset_forecast import numbered_names

WORKERS, QUEUE = 1, 16
SETTLED, LASTS = 15, 40
RINGS = 4
PLAIN: dict[str, strategies.Strategy] = {
    "random subsets": strategies.select_from_random_subset(5),
    "any server": strategies.select_random,
    "round robin": strategies.select_round_robin,
    "least loaded of all": strategies.select_least_loaded,
}
WAYS = ("by members", "module alone", *PLAIN)


def made(way: str, copies: int, servers: int, seed: int, uneven: float) -> SimulatedFleet:
    """A fleet that goes by one way, its servers of one worker each."""
    plain = partial(StrategyReplica, PLAIN[way]) if way in PLAIN else None
    rings = RINGS if way == "by members" else 0
    fleet = SimulatedFleet(
        copies, servers, seed, subset_rings=rings, load_sigma=uneven, make_replica=plain
    )
    for server in fleet.servers.values():
        server.workers, server.queue_limit = WORKERS, QUEUE
    return fleet


def figures(fleet: SimulatedFleet, since: int, servers: int) -> dict[str, float | None]:
    """Of the time from then on."""
    rows = [
        (s, came - since, done - since)
        for s, came, done in fleet.pool.visits
        if done > since and s < servers
    ]
    v = load_distribution.Visits(rows, [1 / servers] * servers, WORKERS, fleet.now - since)
    return {
        "p99": load_distribution.load_ratio_percentile(v),
        "over chance": load_distribution.load_ratio_over_chance(v),
        "variation": load_distribution.load_variation(v),
        "idle beyond chance s": load_distribution.idle_beyond_chance(v),
        "idle while waiting": load_distribution.idle_while_waiting(v),
    }


def play(item: tuple[str, int, int, float, int, float]) -> dict[str, Any]:
    """One way at one load."""
    way, copies, servers, load, seed, uneven = item
    fleet = made(way, copies, servers, seed, uneven)
    fleet.schedule_requests(load * servers * WORKERS * SECOND_US / MEAN_WORK_US, SETTLED + LASTS)
    fleet.run(SETTLED + LASTS)
    found = figures(fleet, SETTLED * SECOND_US, servers)
    outcomes = fleet.clients.outcomes
    served = outcomes[Outcome.SERVED] / max(1, outcomes.total())
    return {"way": way, "copies": copies, "servers": servers, "load": load, "seed": seed, "uneven": uneven,
            **found, "served in time": served}  # fmt: skip


def herd(item: tuple[str, int, int]) -> dict[str, Any]:
    """Two common events."""
    way, copies, seed = item
    fleet = made(way, copies, copies, seed, 0.5)
    fleet.schedule_requests(0.5 * copies * WORKERS * SECOND_US / MEAN_WORK_US, 60)
    fleet.run(20)
    found: dict[str, Any] = {"way": way, "copies": copies, "seed": seed}
    back = [f"s{n}" for n in range(0, copies, 10)]
    for name in back:
        fleet.servers[name].is_down = True
    fleet.run(10)
    for name in back:
        fleet.servers[name].is_down = False
    at = fleet.now
    fleet.run(10)
    found["a tenth is back"] = most(fleet, at, list(fleet.servers))
    for n in range(1, copies, 2):
        fleet.replace_server(f"s{n}", f"new{n}", announced_after_us=0)
        server = fleet.servers[f"new{n}"]
        server.workers = WORKERS
        server.queue_limit = QUEUE
        server.started_at_us = 0  # warm: the herd alone is asked for
    at = fleet.now
    fleet.run(10)
    there = [name for name in fleet.servers if name.startswith("new") or int(name[1:]) % 2 == 0]
    found["half are new"] = most(fleet, at, there)
    return found


def most(fleet: SimulatedFleet, at: int, names: list[str]) -> float | None:
    """The most load at one of these servers in the 2 s from then on, over what chance gives the busiest."""
    place = {fleet.pool.server_indexes[name]: n for n, name in enumerate(names)}
    rows = [(place[s], came, done) for s, came, done in fleet.pool.visits if s in place]
    return load_distribution.herd_peak(
        load_distribution.Visits(rows, [1 / len(names)] * len(names), WORKERS, fleet.now), [at]
    )


def aged(item: tuple[int, float, float, int]) -> dict[str, Any]:
    """Copies that tell another step now and then; each holds the others' words as they were up to 2 ``age`` ago."""
    copies, age, often, seed = item
    rng, names = random.Random(seed), numbered_names("copy", copies)
    servers = dict.fromkeys(numbered_names("server", copies), 1.0)
    base = {
        name: 2 ** (round(STEPS_PER_DOUBLING * rng.gauss(0, 0.7)) / STEPS_PER_DOUBLING)
        for name in names
    }
    span = max(60.0, 2 * age)
    changes: dict[str, list[tuple[float, float]]] = {
        name: [] for name in names
    }  # seconds ago, by what factor
    for name in names:
        at = rng.expovariate(often / 60) if often else span
        while at < span:
            changes[name].append((at, 2 ** (rng.choice((-1, 1)) / STEPS_PER_DOUBLING)))
            at += rng.expovariate(often / 60)

    def word(name: str, ago: float) -> float:
        return base[name] * math.prod(factor for at, factor in changes[name] if at >= ago)

    truth = {name: word(name, 0) for name in names}
    load = Counter[str]()
    for me in names:
        held = {n: truth[n] if n == me else word(n, rng.uniform(0, 2 * age)) for n in names}
        parts = subset_weights(me, held, servers, RINGS)
        for name, part in parts.items():
            load[name] += truth[me] * part / sum(parts.values())
    mean = sum(truth.values()) / copies
    over_fair = sorted(load[name] / mean for name in servers)
    return {"age": age, "changes a minute": often, "seed": seed, "p99": over_fair[math.ceil(0.99 * copies) - 1],
            "most": over_fair[-1], "words on their way": copies * often / 60 * age}  # fmt: skip


CASES: dict[
    str, tuple[int, int, float, float]
] = {  # copies, servers, load, sigma of the copies' parts
    "300 of each": (300, 300, 0.6, 0.5),
    "parts as unequal as 1 to 50": (300, 300, 0.6, 1.0),
    "10 servers for 200 nodes": (200, 10, 0.6, 0.5),
    "1,000 servers for 10 nodes": (10, 1000, 0.3, 0.5),
    "one node alone": (1, 30, 0.6, 0.0),
    "a node and two servers": (1, 2, 0.5, 0.0),
}


def chart(rows: list[dict[str, Any]], x: str, ys: tuple[str, ...], by: str, path: Path) -> None:
    """One line for each value of ``by``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(
        1, len(ys), figsize=(5.5 * len(ys), 4), constrained_layout=True, squeeze=False
    )
    for axis, y in zip(axes.flat, ys, strict=True):
        for value in dict.fromkeys(r[by] for r in rows):
            xs = sorted({r[x] for r in rows if r[by] == value})
            points = [
                [r[y] for r in rows if r[by] == value and r[x] == at and r[y] is not None]
                for at in xs
            ]
            axis.plot(
                xs, [statistics.median(p) if p else None for p in points], "o-", label=str(value)
            )
        axis.set(xlabel=x, ylabel=y, ylim=(0, None))
        axis.legend(fontsize=7, title=by)
    figure.savefig(path, dpi=100)


def main() -> int:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=("ways", "cases", "herd", "age"))
    parser.add_argument("--copies", default="300")
    parser.add_argument("--servers", type=int, default=300)
    parser.add_argument("--load", default="0.3,0.6,0.85")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--uneven", type=float, default=0.5)
    parser.add_argument("--processes", type=int, default=None)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    sizes, seeds, chosen = (
        [int(n) for n in args.copies.split(",")],
        range(1, args.seeds + 1),
        args.ways.split(","),
    )
    began, work = time.monotonic(), list[Any]()
    do: Callable[[Any], dict[str, Any]] = play
    if args.what == "ways":
        loads = [float(x) for x in args.load.split(",")]
        work = [
            (w, n, args.servers, x, s, args.uneven)
            for x in loads
            for w in chosen
            for n in sizes
            for s in seeds
        ]
    elif args.what == "cases":
        work = [
            (w, n, m, x, s, sigma) for n, m, x, sigma in CASES.values() for w in WAYS[:2] for s in seeds
        ]  # fmt: skip
    elif args.what == "herd":
        do, work = herd, [(w, n, s) for n in sizes for w in WAYS[:2] for s in seeds]
    else:
        ages = (0.0, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0)
        do, work = (
            aged,
            [
                (n, age, often, s)
                for n in sizes
                for often in (0.02, 0.2, 2.0)
                for age in ages
                for s in seeds
            ],
        )
    with ProcessPoolExecutor(args.processes) as pool:
        rows = list(pool.map(do, work))
    keys = list(rows[0])
    print(" | ".join(keys))
    for row in rows:
        print(
            " | ".join(f"{row[k]:.3g}" if isinstance(row[k], float) else str(row[k]) for k in keys)
        )
    print(f"{time.monotonic() - began:.0f} s", file=sys.stderr)
    if args.out:
        args.out.mkdir(parents=True, exist_ok=True)
        (args.out / f"even-{args.what}.json").write_text(json.dumps(rows, indent=1) + "\n")
        shown = {
            "ways": ("load", ("over chance", "variation"), "way"),
            "herd": ("copies", ("a tenth is back", "half are new"), "way"),
            "age": ("age", ("p99", "most"), "changes a minute"),
        }.get(args.what)
        if shown is not None:
            chart(rows, *shown, args.out / f"even-{args.what}.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
