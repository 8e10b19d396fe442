"""Measures how evenly servers are loaded, for each way of choosing them, in simulated time.

    python benchmarks/even.py ways [--copies 300] [--servers 300] [--load 0.3,0.6,0.85] [--seeds 2] [--uneven 0.5]
    python benchmarks/even.py cases [--seeds 2]
    python benchmarks/even.py herd [--copies 10,30,100,300] [--seeds 3]
    python benchmarks/even.py age [--copies 300] [--seeds 3]
    any of them with [--out FOLDER] for JSON and a chart

`ways` compares the real module with subsets divided among the members, the real module alone
(each replica draws a subset) and simple ways that see all servers.  The figures are load / fair
share in windows of 10 s beside the one that Poisson arrivals alone give.  `cases` does the same
for the two ways of the real module with hard numbers of replicas and servers and with unequal
request rates.  `herd` gives the highest load at one server in the 2 s after half of the servers
are replaced at once, and after a tenth of the servers come back, over that of the busiest server
by chance.  `age` computes, without requests, the load / fair share when the replicas' information
on each other's rates has a given mean age in seconds.
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

WORKERS, QUEUE_LIMIT = 1, 16
WARM_UP_S, MEASURED_S = 15, 40
RINGS = 4
SIMPLE_WAYS: dict[str, strategies.Strategy] = {
    "random subsets": strategies.select_from_random_subset(5),
    "any server": strategies.select_random,
    "round robin": strategies.select_round_robin,
    "least loaded of all": strategies.select_least_loaded,
}
WAYS = ("by members", "module alone", *SIMPLE_WAYS)


def create_fleet(
    way: str, replicas: int, servers: int, seed: int, load_sigma: float
) -> SimulatedFleet:
    """Return a fleet that chooses servers in the given way; each server has one worker."""
    make_replica = partial(StrategyReplica, SIMPLE_WAYS[way]) if way in SIMPLE_WAYS else None
    rings = RINGS if way == "by members" else 0
    fleet = SimulatedFleet(
        replicas,
        servers,
        seed,
        subset_rings=rings,
        load_sigma=load_sigma,
        make_replica=make_replica,
    )
    for server in fleet.servers.values():
        server.workers, server.queue_limit = WORKERS, QUEUE_LIMIT
    return fleet


def evenness(fleet: SimulatedFleet, since_us: int, servers: int) -> dict[str, float | None]:
    """Return the evenness figures of the requests that finish after ``since_us``."""
    rows = [
        (server, arrived_us - since_us, finished_us - since_us)
        for server, arrived_us, finished_us in fleet.pool.visits
        if finished_us > since_us and server < servers
    ]
    visits = load_distribution.Visits(rows, [1 / servers] * servers, WORKERS, fleet.now - since_us)
    return {
        "p99": load_distribution.load_ratio_percentile(visits),
        "over chance": load_distribution.load_ratio_over_chance(visits),
        "variation": load_distribution.load_variation(visits),
        "idle beyond chance s": load_distribution.idle_beyond_chance(visits),
        "idle while waiting": load_distribution.idle_while_waiting(visits),
    }


def simulate_way(item: tuple[str, int, int, float, int, float]) -> dict[str, Any]:
    """Simulate one way at one load; return its figures."""
    way, replicas, servers, load, seed, load_sigma = item
    fleet = create_fleet(way, replicas, servers, seed, load_sigma)
    fleet.schedule_requests(
        load * servers * WORKERS * SECOND_US / MEAN_WORK_US, WARM_UP_S + MEASURED_S
    )
    fleet.run(WARM_UP_S + MEASURED_S)
    figures = evenness(fleet, WARM_UP_S * SECOND_US, servers)
    outcomes = fleet.clients.outcomes
    served_fraction = outcomes[Outcome.SERVED] / max(1, outcomes.total())
    return {"way": way, "copies": replicas, "servers": servers, "load": load, "seed": seed, "uneven": load_sigma,
            **figures, "served in time": served_fraction}  # fmt: skip


def simulate_herd(item: tuple[str, int, int]) -> dict[str, Any]:
    """Simulate the return of a tenth and the replacement of half of the servers."""
    way, replicas, seed = item
    fleet = create_fleet(way, replicas, replicas, seed, 0.5)
    fleet.schedule_requests(0.5 * replicas * WORKERS * SECOND_US / MEAN_WORK_US, 60)
    fleet.run(20)
    result: dict[str, Any] = {"way": way, "copies": replicas, "seed": seed}
    returning = [f"s{index}" for index in range(0, replicas, 10)]
    for name in returning:
        fleet.servers[name].is_down = True
    fleet.run(10)
    for name in returning:
        fleet.servers[name].is_down = False
    event_us = fleet.now
    fleet.run(10)
    result["a tenth is back"] = highest_load(fleet, event_us, list(fleet.servers))
    for index in range(1, replicas, 2):
        fleet.replace_server(f"s{index}", f"new{index}", announced_after_us=0)
        server = fleet.servers[f"new{index}"]
        server.workers = WORKERS
        server.queue_limit = QUEUE_LIMIT
        server.started_at_us = 0  # counts as warm, so that the figure shows the herd alone
    event_us = fleet.now
    fleet.run(10)
    current_names = [
        name for name in fleet.servers if name.startswith("new") or int(name[1:]) % 2 == 0
    ]
    result["half are new"] = highest_load(fleet, event_us, current_names)
    return result


def highest_load(fleet: SimulatedFleet, since_us: int, names: list[str]) -> float | None:
    """Return the highest load of named servers in the 2 s after ``since_us``, over chance's."""
    index_by_server = {fleet.pool.server_indexes[name]: index for index, name in enumerate(names)}
    rows = [
        (index_by_server[server], arrived_us, finished_us)
        for server, arrived_us, finished_us in fleet.pool.visits
        if server in index_by_server
    ]
    return load_distribution.herd_peak(
        load_distribution.Visits(rows, [1 / len(names)] * len(names), WORKERS, fleet.now),
        [since_us],
    )


def compute_with_old_reports(item: tuple[int, float, float, int]) -> dict[str, Any]:
    """Compute loads for replicas that know each other's rates as of up to 2 * ``age_s`` ago.

    A replica reports its request rate in steps; its report changes ``changes_per_minute`` times
    a minute on average.
    """
    replicas, age_s, changes_per_minute, seed = item
    rng, names = random.Random(seed), numbered_names("copy", replicas)
    servers = dict.fromkeys(numbered_names("server", replicas), 1.0)
    initial_rates = {
        name: 2 ** (round(STEPS_PER_DOUBLING * rng.gauss(0, 0.7)) / STEPS_PER_DOUBLING)
        for name in names
    }
    span_s = max(60.0, 2 * age_s)
    changes: dict[str, list[tuple[float, float]]] = {
        name: [] for name in names
    }  # (seconds ago, factor of the change)
    for name in names:
        ago_s = rng.expovariate(changes_per_minute / 60) if changes_per_minute else span_s
        while ago_s < span_s:
            changes[name].append((ago_s, 2 ** (rng.choice((-1, 1)) / STEPS_PER_DOUBLING)))
            ago_s += rng.expovariate(changes_per_minute / 60)

    def reported_rate(name: str, seconds_ago: float) -> float:
        return initial_rates[name] * math.prod(
            factor for ago_s, factor in changes[name] if ago_s >= seconds_ago
        )

    current_rates = {name: reported_rate(name, 0) for name in names}
    load_by_server = Counter[str]()
    for replica in names:
        known_rates = {
            other: current_rates[other]
            if other == replica
            else reported_rate(other, rng.uniform(0, 2 * age_s))
            for other in names
        }
        weights = subset_weights(replica, known_rates, servers, RINGS)
        for name, weight in weights.items():
            load_by_server[name] += current_rates[replica] * weight / sum(weights.values())
    mean_load = sum(current_rates.values()) / replicas
    load_ratios = sorted(load_by_server[name] / mean_load for name in servers)
    return {"age": age_s, "changes a minute": changes_per_minute, "seed": seed,
            "p99": load_ratios[math.ceil(0.99 * replicas) - 1],
            "most": load_ratios[-1], "words on their way": replicas * changes_per_minute / 60 * age_s}  # fmt: skip


CASES: dict[
    str, tuple[int, int, float, float]
] = {  # replicas, servers, load, sigma of the replicas' request rates
    "300 of each": (300, 300, 0.6, 0.5),
    "parts as unequal as 1 to 50": (300, 300, 0.6, 1.0),
    "10 servers for 200 nodes": (200, 10, 0.6, 0.5),
    "1,000 servers for 10 nodes": (10, 1000, 0.3, 0.5),
    "one node alone": (1, 30, 0.6, 0.0),
    "a node and two servers": (1, 2, 0.5, 0.0),
}


def chart(rows: list[dict[str, Any]], x: str, ys: tuple[str, ...], by: str, path: Path) -> None:
    """Draw the medians of each figure over ``x``, one line for each value of ``by``."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(
        1, len(ys), figsize=(5.5 * len(ys), 4), constrained_layout=True, squeeze=False
    )
    for axis, y in zip(axes.flat, ys, strict=True):
        for value in dict.fromkeys(row[by] for row in rows):
            xs = sorted({row[x] for row in rows if row[by] == value})
            points = [
                [
                    row[y]
                    for row in rows
                    if row[by] == value and row[x] == x_value and row[y] is not None
                ]
                for x_value in xs
            ]
            axis.plot(
                xs,
                [statistics.median(values) if values else None for values in points],
                "o-",
                label=str(value),
            )
        axis.set(xlabel=x, ylabel=y, ylim=(0, None))
        axis.legend(fontsize=7, title=by)
    figure.savefig(path, dpi=100)


def main() -> int:
    """Run the chosen measurement, print the figures and write JSON and a chart with ``--out``."""
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
    replica_counts, seeds, chosen_ways = (
        [int(replicas) for replicas in args.copies.split(",")],
        range(1, args.seeds + 1),
        args.ways.split(","),
    )
    begin, tasks = time.monotonic(), list[Any]()
    simulate: Callable[[Any], dict[str, Any]] = simulate_way
    if args.what == "ways":
        loads = [float(load) for load in args.load.split(",")]
        tasks = [
            (way, replicas, args.servers, load, seed, args.uneven)
            for load in loads
            for way in chosen_ways
            for replicas in replica_counts
            for seed in seeds
        ]
    elif args.what == "cases":
        tasks = [
            (way, replicas, servers, load, seed, sigma)
            for replicas, servers, load, sigma in CASES.values() for way in WAYS[:2] for seed in seeds
        ]  # fmt: skip
    elif args.what == "herd":
        simulate, tasks = (
            simulate_herd,
            [
                (way, replicas, seed)
                for replicas in replica_counts
                for way in WAYS[:2]
                for seed in seeds
            ],
        )
    else:
        ages = (0.0, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0)
        simulate, tasks = (
            compute_with_old_reports,
            [
                (replicas, age_s, changes_per_minute, seed)
                for replicas in replica_counts
                for changes_per_minute in (0.02, 0.2, 2.0)
                for age_s in ages
                for seed in seeds
            ],
        )
    with ProcessPoolExecutor(args.processes) as pool:
        rows = list(pool.map(simulate, tasks))
    keys = list(rows[0])
    print(" | ".join(keys))
    for row in rows:
        print(
            " | ".join(
                f"{row[key]:.3g}" if isinstance(row[key], float) else str(row[key]) for key in keys
            )
        )
    print(f"{time.monotonic() - begin:.0f} s", file=sys.stderr)
    if args.out:
        args.out.mkdir(parents=True, exist_ok=True)
        (args.out / f"even-{args.what}.json").write_text(json.dumps(rows, indent=1) + "\n")
        chart_axes = {
            "ways": ("load", ("over chance", "variation"), "way"),
            "herd": ("copies", ("a tenth is back", "half are new"), "way"),
            "age": ("age", ("p99", "most"), "changes a minute"),
        }.get(args.what)
        if chart_axes is not None:
            chart(rows, *chart_axes, args.out / f"even-{args.what}.png")
    return 0


if __name__ == "__main__":
    sys.exit(main())
