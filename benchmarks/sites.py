"""Compares plans for lost sites with routing by free capacity, and measures a fleet's recovery.

    python benchmarks/sites.py plans [--fleets 1000] [--sites 5]
    python benchmarks/sites.py recovery [--seeds 100] [--lost 1] [--flaps 1] [--processes N]

`plans` takes random fleets and every loss of one or two sites.  It prints by how much the weight
served under the plan exceeds that of the proportional rule, as a fraction of the offered weight,
and the seconds to plan for ten sites.  The time does not depend on the number of servers, as the
plan only sees each site's capacity.

`recovery` runs in simulated time: thirty replicas of the real module and of the sites' core, 45
servers in three sites, a load of 0.75 of their capacity, and clients that retry up to five
times.  One or two sites fail for 20 s and come back cold; with ``--flaps`` above 1 they fail that
often within the 20 s.  With and without the plan for sites, the program prints the weight served
in time over the offered weight before, during and after the failure, and the seconds from the
return until this ratio is back at 0.98 of its value before for good.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from oakbridge.lab.simulation.clients import SecondTotals
from oakbridge.lab.simulation.event_queue import SECOND_US
from oakbridge.lab.simulation.fleet import SimulatedFleet
from oakbridge.lab.simulation.server_pool import MEAN_WORK_US
from oakbridge.policy.settings import Idempotency, RequestClass

BEFORE_S, LOST_S, AFTER_S = 15, 20, 60
CLASSES = (
    RequestClass("look", 2_500_000, 6_000_000, 1.0, 0.0, Idempotency.IDEMPOTENT),
    RequestClass("status", 2_500_000, 6_000_000, 2.0, 0.0, Idempotency.IDEMPOTENT),
    RequestClass("book", 2_500_000, 6_000_000, 6.0, 0.0, Idempotency.NOT_IDEMPOTENT),
)
CLASS_SHARES = {"look": 0.5, "status": 0.35, "book": 0.15}


def random_topology(rng: random.Random, site_count: int) -> Any:
    """Return a topology of sites with random capacities, loads and distances."""
    from oakbridge.config.sites_file import SitesFile, topology_of

    names, classes = [f"s{site}" for site in range(site_count)], ["look", "status", "book", "close"]
    capacities = {site: rng.uniform(50, 500) for site in names}
    mean_rate = rng.uniform(0.5, 0.95) * sum(capacities.values()) / (site_count * len(classes))
    file = SitesFile.model_validate({
        "version": 1,
        "site": [{"name": site, "capacity": capacities[site], "keep_free": rng.uniform(0, 0.15)} for site in names],
        "class": [
            {"name": class_name, "worth": rng.uniform(0.5, 10), "work": rng.uniform(0.5, 2)}
            for class_name in classes
        ],
        "load": [
            {"site": site, "class": class_name, "rate": rng.uniform(0, 2) * mean_rate}
            for site in names
            for class_name in classes
        ],
        "distance": [{"a": a, "b": b, "cost": rng.uniform(0.1, 5)} for a in names for b in names if a < b],
    })  # fmt: skip
    return topology_of(file, "")


def measure_plans(fleets: int, sites: int) -> int:
    """Print the gain by plans and the planning time; return 1 if the rule ever serves more."""
    from oakbridge.sites.plan_file import planned_losses
    from oakbridge.sites.planning import TopologyArrays, compute_plan, compute_scenario
    from oakbridge.sites.proportional_routing import proportional_served_weight

    gains, worse_count = [], 0
    for seed in range(fleets):
        arrays = TopologyArrays(random_topology(random.Random(seed), sites))
        for lost in planned_losses(arrays.sites):
            planned, proportional_weight = (
                compute_scenario(arrays, lost),
                proportional_served_weight(arrays, lost),
            )
            if lost and planned.offered_weight:
                gains.append((planned.served_weight - proportional_weight) / planned.offered_weight)
                worse_count += (
                    planned.served_weight < proportional_weight - 1e-6 * planned.offered_weight
                )
    gains.sort()
    print(
        f"{fleets} fleets of {sites} sites, {len(gains)} losses: worth kept beyond the rule's, of what is offered: "
        f"mean {statistics.fmean(gains):.4f}, median {gains[len(gains) // 2]:.4f}, "
        f"p90 {gains[int(0.9 * len(gains))]:.4f}, most {gains[-1]:.4f}; less than the rule: {worse_count}"
    )
    times_s = []
    for seed in range(5):
        topology = random_topology(random.Random(seed), 10)
        begin = time.perf_counter()
        plan = compute_plan(topology)
        times_s.append(time.perf_counter() - begin)
    print(
        f"ten sites, {len(plan.scenarios)} losses planned: {statistics.median(times_s):.2f} s (median of 5)"
    )
    return 1 if worse_count else 0


def simulate_recovery(item: tuple[int, bool, int, int, int]) -> dict[str, Any]:
    """Simulate one fleet; return served/offered weight ratios and the seconds to recover."""
    seed, with_sites, replicas, flaps, lost = item
    servers = 3 * replicas // 2
    fleet = SimulatedFleet(
        replicas,
        servers,
        seed,
        classes=CLASSES,
        sites=("a", "b", "c"),
        with_site_plans=with_sites,
        max_client_retries=5,
        max_retry_after=2 * SECOND_US,
        slow_start_window=12 * SECOND_US,
        slow_start_minimum=0.25,
    )
    rate = 0.75 * servers * 4 * SECOND_US / MEAN_WORK_US
    total_s = BEFORE_S + LOST_S + AFTER_S
    for name, fraction in CLASS_SHARES.items():
        fleet.schedule_requests(rate * fraction, total_s, name)
    fleet.run(BEFORE_S)
    for flap in range(flaps):
        span_s = LOST_S / flaps
        down_for_s = span_s / (1 if flaps == 1 else 2)
        fleet.events.schedule(
            fleet.now + flap * span_s * SECOND_US,
            partial(fleet.fail_sites, ["c", "b"][:lost], down_for_s),
        )
    fleet.run(LOST_S + AFTER_S + 6)
    by_second = fleet.clients.by_second
    seconds = [by_second.get(index, SecondTotals()) for index in range(total_s)]
    served_ratios = [
        second.served_weight / second.offered_weight if second.offered_weight else 1.0
        for second in seconds
    ]
    ratio_before = statistics.fmean(served_ratios[5:BEFORE_S])
    return_s = BEFORE_S + LOST_S
    smoothed_ratios = [
        statistics.fmean(served_ratios[second : second + 3])
        for second in range(return_s, total_s - 2)
    ]
    late_starts = [
        second for second, fraction in enumerate(smoothed_ratios) if fraction < 0.98 * ratio_before
    ]
    return {
        "usual": ratio_before, "lost": statistics.fmean(served_ratios[BEFORE_S:return_s]),
        "after": statistics.fmean(served_ratios[return_s:]), "back": (late_starts[-1] + 1) if late_starts else 0,
        "never": bool(late_starts) and late_starts[-1] >= len(smoothed_ratios) - 3,
        "tries": sum(second.tries for second in seconds[BEFORE_S:return_s])
        / max(1, sum(second.offered_weight > 0 for second in seconds)),
    }  # fmt: skip


def main() -> int:
    """Run the chosen measurement; return 1 if a plan is worse or a fleet with it never recovers."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=("plans", "recovery"))
    parser.add_argument("--fleets", type=int, default=1000)
    parser.add_argument("--sites", type=int, default=5)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--copies", type=int, default=30)
    parser.add_argument(
        "--lost", type=int, choices=(1, 2), default=1, help="number of sites that fail"
    )
    parser.add_argument("--flaps", type=int, default=1)
    parser.add_argument("--processes", type=int, default=None)
    args = parser.parse_args()
    if args.what == "plans":
        return measure_plans(args.fleets, args.sites)
    never_count = 0
    with ProcessPoolExecutor(args.processes) as pool:
        for with_sites in (False, True):
            runs = [
                (seed, with_sites, args.copies, args.flaps, args.lost)
                for seed in range(1, args.seeds + 1)
            ]
            rows = list(pool.map(simulate_recovery, runs))
            never_count += sum(row["never"] for row in rows) if with_sites else 0
            recovery_times_s = sorted(row["back"] for row in rows)
            usual, lost, after = (
                statistics.fmean(row[key] for row in rows) for key in ("usual", "lost", "after")
            )
            print(
                f"{'with' if with_sites else 'without'} the plan for sites, {len(rows)} seeds, {args.lost} lost: worth "
                f"in time of what came: before {usual:.3f}, in the loss {lost:.3f}, after it {after:.3f}; back to 0.98 "
                f"after {recovery_times_s[len(recovery_times_s) // 2]} s (median), {recovery_times_s[-1]} s (longest), "
                f"{sum(row['never'] for row in rows)} not within {AFTER_S} s",
                flush=True,
            )
    return 1 if never_count else 0


if __name__ == "__main__":
    sys.exit(main())
