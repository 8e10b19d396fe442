"""Searches all event orders of three members to a depth, from five starting points.

    python benchmarks/members_search.py [--depth 7] [--courses 20000] [--members 5] [--processes N]

Optionally also runs random scenarios with more members (``--courses``).  Prints the number of
distinct states and transitions and each violation of an invariant; exits with 1 if there is one.
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from oakbridge.peers.interleavings import ExplorationReport, explore, starting_points
from oakbridge.peers.random_scenarios import RandomScenario
from oakbridge.peers.system_state import SystemState

SPLIT_DEPTH = 2  # each state at this depth becomes a task of the process pool


def search_from(item: tuple[str, SystemState, int]) -> tuple[str, ExplorationReport]:
    """Search from one state, in a process of the pool."""
    name, state, depth = item
    return name, explore(state, depth, convergence_sample=500)


def run_random_scenario(item: tuple[int, int]) -> tuple[int, list[str]]:
    """Run one random scenario; return its number of checks and its violations."""
    result = RandomScenario(item[0], members=item[1]).run()
    return result.checks, [f"seed {result.seed}: {violation}" for violation in result.violations]


def main() -> int:
    """Run the searches and random scenarios, print the results, return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--depth", type=int, default=7)
    parser.add_argument("--courses", type=int, default=0)
    parser.add_argument("--first", type=int, default=0, help="seed of the first random scenario")
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--processes", type=int, default=None)
    arguments = parser.parse_args()
    violations: list[str] = []
    begin = time.monotonic()
    with ProcessPoolExecutor(arguments.processes) as pool:
        if arguments.depth > SPLIT_DEPTH:
            reports: dict[str, ExplorationReport] = {}
            tasks = [
                (name, state, arguments.depth - SPLIT_DEPTH)
                for name, state in starting_points(SPLIT_DEPTH)
            ]
            for name, report in pool.map(search_from, tasks):
                reports.setdefault(name, ExplorationReport()).add(report)
            for name, report in reports.items():
                print(
                    f"{name}: {len(report.states)} states, {report.transitions} steps to depth {arguments.depth}, "
                    f"calm played from {report.convergence_checks}, {len(report.violations)} broken, "
                    f"{time.monotonic() - begin:.0f} s",
                    flush=True,
                )
                violations += report.violations
        checks = scenarios_done = 0
        seeds = [
            (seed, arguments.members)
            for seed in range(arguments.first, arguments.first + arguments.courses)
        ]
        for scenario_checks, scenario_violations in pool.map(
            run_random_scenario, seeds, chunksize=20
        ):
            checks, scenarios_done = checks + scenario_checks, scenarios_done + 1
            violations += scenario_violations
        if scenarios_done:
            print(
                f"{scenarios_done} courses of {arguments.members}, {checks} moments, {time.monotonic() - begin:.0f} s"
            )
    for violation in violations[:20]:
        print(violation)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
