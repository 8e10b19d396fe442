"""Measures failure detection and traffic of members in simulated time, by size, loss and seed.

    python benchmarks/peers.py [--members 10,100,1000] [--loss 0,0.1,0.4] [--seeds 3] [--out FOLDER] [--json]

In a run all members start within a second and have 15 s to join.  Then 30 s without changes
follow, which give messages and bytes per member and second and the members falsely considered
failed.  Then a tenth is killed and 25 s pass, which give the seconds until the first and the last
member learns of each failure.  ``--meet 0`` starts with all members joined; a thousand and more
members need this, as each has to learn of all others.  The chart also shows what SWIM expects:
the first probe of a member by any other comes after 1 / (1 - e^-1) = 1.58 intervals on average,
and the suspicion lasts at least alpha log10(n) intervals.
"""

from __future__ import annotations

import argparse
import gc
import json
import math
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.simulation import SimulatedCluster, SimulatedNetwork
from oakbridge.peers.suspicion import min_timeout_us

SECOND_US = 1_000_000
JOIN_S, CALM_S, FAILURE_S = 15, 30, 25  # the phases of a run


def run_cluster(
    members: int, loss: float, seed: int, has_local_health: bool, join_s: int = JOIN_S
) -> dict[str, Any]:
    """Simulate one cluster; return its figures.  ``join_s``: see ``--meet``."""
    begin = time.perf_counter()
    cluster = SimulatedCluster(
        seed,
        SimulatedNetwork(loss=loss),
        ProtocolOptions(local_health=has_local_health, max_members=2 * members + 10),
    )
    names = [f"n{i:04d}" for i in range(members)]
    tags = {
        member: {"site": "abc"[i % 3], "tier": "front", "version": "0.3.0"}
        for i, member in enumerate(names)
    }
    if not join_s:
        cluster.start_converged(tags)
        gc.freeze()  # millions of records that live until the run finishes
    for name in names if join_s else ():
        cluster.call_later(
            cluster.random.randrange(SECOND_US),
            lambda member=name: cluster.start(member, names[:3], tags=tags[member]),
        )
    cluster.run_until(join_s * SECOND_US)
    join_errors = cluster.count_view_errors()
    cluster.changes.clear()
    counts_before = cluster.counts.copy()
    cluster.run_until((join_s + CALM_S) * SECOND_US)
    cost_per_member_s = {
        key: (cluster.counts[key] - counts_before[key]) / members / CALM_S
        for key in ("messages", "bytes", "exchange bytes")
    }
    false_failures = len(
        {view_change.name for _, view_change in cluster.changes if view_change.after == "failed"}
    )
    cluster.changes.clear()
    killed = set(names[3::10])
    for name in killed:
        cluster.kill(name)
    cluster.run_until((join_s + CALM_S + FAILURE_S) * SECOND_US)
    learned_at_s: dict[str, list[float]] = {name: [] for name in killed}
    for observer, change in cluster.changes:
        if change.after == "failed" and change.name in killed and observer not in killed:
            learned_at_s[change.name].append(
                (change.at_us - (join_s + CALM_S) * SECOND_US) / SECOND_US
            )
    first_s = [min(times) for times in learned_at_s.values() if times]
    last_s = [max(times) for times in learned_at_s.values() if len(times) >= members - len(killed)]
    return {
        "members": members, "loss": loss, "seed": seed, "local health": has_local_health, "unmet pairs": join_errors,
        "messages a member and second": round(cost_per_member_s["messages"], 2),
        "bytes a member and second": round(cost_per_member_s["bytes"]),
        "bytes exchanged": round(cost_per_member_s["exchange bytes"]),
        "called failed at rest": false_failures,
        "member minutes": round(members * CALM_S / 60, 1),
        "first learns, median s": round(statistics.median(first_s), 2) if first_s else None,
        "first learns, longest s": round(max(first_s), 2) if first_s else None,
        "last learns, longest s": round(max(last_s), 2) if len(last_s) == len(killed) else None,
        "wrong pairs in the end": cluster.count_view_errors(),
        "real s": round(time.perf_counter() - begin, 1),
    }  # fmt: skip


def expected_detection_s(members: int) -> float:
    """Return the seconds of SWIM's expected first probe and shortest suspicion."""
    interval_us = ProtocolOptions().probe_interval_us
    return (interval_us / (1 - math.exp(-1)) + min_timeout_us(members, interval_us)) / SECOND_US


def chart(rows: list[dict[str, Any]], path: Path) -> None:
    """Draw detection times and bytes by the number of members."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, (left, right) = plt.subplots(1, 2, figsize=(11, 4), constrained_layout=True)
    lossless = [row for row in rows if not row["loss"] and row["local health"]]
    sizes = sorted({row["members"] for row in lossless})
    for key in ("first learns, median s", "last learns, longest s"):
        points = [
            [row[key] for row in lossless if row["members"] == members and row[key] is not None]
            for members in sizes
        ]
        left.plot(
            sizes,
            [statistics.median(values) if values else None for values in points],
            "o-",
            label=key,
        )
    left.plot(
        sizes,
        [expected_detection_s(members) for members in sizes],
        "--",
        label="SWIM's first probe and shortest suspicion",
    )
    left.set(
        xscale="log",
        xlabel="members",
        ylabel="s",
        ylim=(0, None),
        title="A tenth killed at once, no loss",
    )
    left.legend(fontsize=8)
    for loss in sorted({row["loss"] for row in rows}):
        points = [
            [
                row["bytes a member and second"]
                for row in rows
                if row["members"] == members and row["loss"] == loss
            ]
            for members in sizes
        ]
        right.plot(
            sizes,
            [statistics.median(values) if values else None for values in points],
            "o-",
            label=f"{loss:.0%} loss",
        )
    right.set(
        xscale="log",
        xlabel="members",
        ylabel="bytes a member and second",
        ylim=(0, None),
        title="At rest",
    )
    right.legend(fontsize=8)
    figure.savefig(path, dpi=110)


def main() -> int:
    """Run all simulations in a process pool, print and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--members", default="10,100,1000")
    parser.add_argument("--loss", default="0,0.1,0.4")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument(
        "--meet",
        type=int,
        default=JOIN_S,
        help="seconds to join; 0: all members have joined at the start",
    )
    parser.add_argument(
        "--without-health", action="store_true", help="run each also without local health"
    )
    parser.add_argument("--out", type=Path)
    parser.add_argument("--processes", type=int, default=None)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    runs = [
        (members, loss, seed, has_local_health, args.meet)
        for members in map(int, args.members.split(","))
        for loss in map(float, args.loss.split(","))
        for seed in range(1, args.seeds + 1)
        for has_local_health in ((True, False) if args.without_health else (True,))
    ]
    with ProcessPoolExecutor(args.processes) as pool:
        rows = list(pool.map(run_cluster, *zip(*runs, strict=True)))
    if args.out:
        args.out.mkdir(parents=True, exist_ok=True)
        (args.out / "peers.json").write_text(json.dumps(rows, indent=1) + "\n")
        chart(rows, args.out / "peers.png")
    if args.json:
        print(json.dumps(rows, indent=1))
        return 0
    keys = [key for key in rows[0] if key not in ("member minutes", "real s")]
    print(" | ".join(keys))
    for row in rows:
        print(" | ".join(str(row[key]) for key in keys))
    return 0


if __name__ == "__main__":
    sys.exit(main())
