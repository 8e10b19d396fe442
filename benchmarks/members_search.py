"""Every order of what can happen to three members, to a depth, from five beginnings; and random courses of more.

    python benchmarks/members_search.py [--depth 7] [--courses 20000] [--members 5] [--processes N]

Prints the number of distinct states and steps, and whatever broke an invariant; exit code 1 if anything did.
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from oakbridge.peers.interleavings import ExplorationReport, explore, starting_points
from oakbridge.peers.random_scenarios import RandomScenario
from oakbridge.peers.system_state import SystemState

APART = 2  # steps after which the search goes on in several processes


def part(item: tuple[str, SystemState, int]) -> tuple[str, ExplorationReport]:
    """One process's part."""
    name, state, depth = item
    return name, explore(state, depth, convergence_sample=500)


def course(item: tuple[int, int]) -> tuple[int, list[str]]:
    """One random course."""
    result = RandomScenario(item[0], members=item[1]).run()
    return result.checks, [f"seed {result.seed}: {violation}" for violation in result.violations]


def main() -> int:
    """Search."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=7)
    parser.add_argument("--courses", type=int, default=0)
    parser.add_argument("--first", type=int, default=0, help="the first course's seed")
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--processes", type=int, default=None)
    args = parser.parse_args()
    broken: list[str] = []
    began = time.monotonic()
    with ProcessPoolExecutor(args.processes) as pool:
        if args.depth > APART:
            reports: dict[str, ExplorationReport] = {}
            work = [(name, state, args.depth - APART) for name, state in starting_points(APART)]
            for name, report in pool.map(part, work):
                reports.setdefault(name, ExplorationReport()).add(report)
            for name, report in reports.items():
                print(
                    f"{name}: {len(report.states)} states, {report.transitions} steps to depth {args.depth}, "
                    f"calm played from {report.convergence_checks}, {len(report.violations)} broken, "
                    f"{time.monotonic() - began:.0f} s",
                    flush=True,
                )
                broken += report.violations
        steps = done = 0
        seeds = [(seed, args.members) for seed in range(args.first, args.first + args.courses)]
        for moments, words in pool.map(course, seeds, chunksize=20):
            steps, done = steps + moments, done + 1
            broken += words
        if done:
            print(
                f"{done} courses of {args.members}, {steps} moments, {time.monotonic() - began:.0f} s"
            )
    for word in broken[:20]:
        print(word)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
