"""Plans for lost sites against passing on by free capacity; and whether a fleet comes back by itself.

    python benchmarks/sites.py plans [--fleets 1000] [--sites 5]
    python benchmarks/sites.py recovery [--seeds 100] [--lost 1] [--flaps 1] [--processes N]

`plans`: random fleets, every loss of one site and of two: the worth kept by the plan over that kept by the rule; and
the time for ten sites (what a plan costs does not grow with servers: they come in as each site's capacity).

`recovery`, in simulated time: thirty copies of the real module and of the sites' core, 45 servers in three sites, 0.75
of what these can do, callers that come again up to five times.  One site or two are lost for 20 s and come back cold;
with and without the plan for sites: worth in time in the loss, and the seconds from the return until it is 0.98 of
what it was, and stays there.
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

BEFORE, LOST, AFTER = 15, 20, 60
CLASSES = (
    RequestClass("look", 2_500_000, 6_000_000, 1.0, 0.0, Idempotency.IDEMPOTENT),
    RequestClass("status", 2_500_000, 6_000_000, 2.0, 0.0, Idempotency.IDEMPOTENT),
    RequestClass("book", 2_500_000, 6_000_000, 6.0, 0.0, Idempotency.NOT_IDEMPOTENT),
)
PARTS = {"look": 0.5, "status": 0.35, "book": 0.15}


def random_topology(rng: random.Random, many: int) -> Any:
    """Sites of unequal size, loads and distances."""
    from oakbridge.config.sites_file import SitesFile, topology_of

    names, classes = [f"s{n}" for n in range(many)], ["look", "status", "book", "close"]
    whole = {n: rng.uniform(50, 500) for n in names}
    busy = rng.uniform(0.5, 0.95) * sum(whole.values()) / (many * len(classes))
    file = SitesFile.model_validate({
        "version": 1,
        "site": [{"name": n, "capacity": whole[n], "keep_free": rng.uniform(0, 0.15)} for n in names],
        "class": [{"name": c, "worth": rng.uniform(0.5, 10), "work": rng.uniform(0.5, 2)} for c in classes],
        "load": [{"site": n, "class": c, "rate": rng.uniform(0, 2) * busy} for n in names for c in classes],
        "distance": [{"a": a, "b": b, "cost": rng.uniform(0.1, 5)} for a in names for b in names if a < b],
    })  # fmt: skip
    return topology_of(file, "")


def plans(fleets: int, sites: int) -> int:
    """Worth kept, and time."""
    from oakbridge.sites.plan_file import planned_losses
    from oakbridge.sites.planning import TopologyArrays, compute_plan, compute_scenario
    from oakbridge.sites.proportional_routing import proportional_served_weight

    gains, worse = [], 0
    for seed in range(fleets):
        figures = TopologyArrays(random_topology(random.Random(seed), sites))
        for lost in planned_losses(figures.sites):
            best, rule = compute_scenario(figures, lost), proportional_served_weight(figures, lost)
            if lost and best.offered_weight:
                gains.append((best.served_weight - rule) / best.offered_weight)
                worse += best.served_weight < rule - 1e-6 * best.offered_weight
    gains.sort()
    print(
        f"{fleets} fleets of {sites} sites, {len(gains)} losses: worth kept beyond the rule's, of what is offered: "
        f"mean {statistics.fmean(gains):.4f}, median {gains[len(gains) // 2]:.4f}, "
        f"p90 {gains[int(0.9 * len(gains))]:.4f}, most {gains[-1]:.4f}; less than the rule: {worse}"
    )
    times = []
    for seed in range(5):
        topology = random_topology(random.Random(seed), 10)
        began = time.perf_counter()
        plan = compute_plan(topology)
        times.append(time.perf_counter() - began)
    print(
        f"ten sites, {len(plan.scenarios)} losses planned: {statistics.median(times):.2f} s (median of 5)"
    )
    return 1 if worse else 0


def recovery(item: tuple[int, bool, int, int, int]) -> dict[str, Any]:
    """One course."""
    seed, with_sites, copies, flaps, lost = item
    servers = 3 * copies // 2
    fleet = SimulatedFleet(
        copies,
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
    total = BEFORE + LOST + AFTER
    for name, part in PARTS.items():
        fleet.schedule_requests(rate * part, total, name)
    fleet.run(BEFORE)
    for flap in range(flaps):
        span = LOST / flaps
        down_for_s = span / (1 if flaps == 1 else 2)
        fleet.events.schedule(
            fleet.now + flap * span * SECOND_US,
            partial(fleet.fail_sites, ["c", "b"][:lost], down_for_s),
        )
    fleet.run(LOST + AFTER + 6)
    by_second = fleet.clients.by_second
    seconds = [by_second.get(second, SecondTotals()) for second in range(total)]
    parts = [s.served_weight / s.offered_weight if s.offered_weight else 1.0 for s in seconds]
    usual = statistics.fmean(parts[5:BEFORE])
    back = BEFORE + LOST
    smooth = [statistics.fmean(parts[s : s + 3]) for s in range(back, total - 2)]
    late = [s for s, part in enumerate(smooth) if part < 0.98 * usual]
    return {
        "usual": usual, "lost": statistics.fmean(parts[BEFORE:back]),
        "after": statistics.fmean(parts[back:]), "back": (late[-1] + 1) if late else 0,
        "never": bool(late) and late[-1] >= len(smooth) - 3,
        "tries": sum(s.tries for s in seconds[BEFORE:back])
        / max(1, sum(s.offered_weight > 0 for s in seconds)),
    }  # fmt: skip


def main() -> int:
    """Measure."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=("plans", "recovery"))
    parser.add_argument("--fleets", type=int, default=1000)
    parser.add_argument("--sites", type=int, default=5)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--copies", type=int, default=30)
    parser.add_argument("--lost", type=int, choices=(1, 2), default=1, help="sites")
    parser.add_argument("--flaps", type=int, default=1)
    parser.add_argument("--processes", type=int, default=None)
    args = parser.parse_args()
    if args.what == "plans":
        return plans(args.fleets, args.sites)
    never = 0
    with ProcessPoolExecutor(args.processes) as pool:
        for with_sites in (False, True):
            work = [
                (seed, with_sites, args.copies, args.flaps, args.lost)
                for seed in range(1, args.seeds + 1)
            ]
            rows = list(pool.map(recovery, work))
            never += sum(r["never"] for r in rows) if with_sites else 0
            times = sorted(r["back"] for r in rows)
            usual, lost, after = (
                statistics.fmean(r[key] for r in rows) for key in ("usual", "lost", "after")
            )
            print(
                f"{'with' if with_sites else 'without'} the plan for sites, {len(rows)} seeds, {args.lost} lost: worth "
                f"in time of what came: before {usual:.3f}, in the loss {lost:.3f}, after it {after:.3f}; back to 0.98 "
                f"after {times[len(times) // 2]} s (median), {times[-1]} s (longest), "
                f"{sum(r['never'] for r in rows)} not within {AFTER} s",
                flush=True,
            )
    return 1 if never else 0


if __name__ == "__main__":
    sys.exit(main())
