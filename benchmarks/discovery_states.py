"""Searches every order of results of a node's discovery requests around one change, up to a depth.

``python benchmarks/discovery_states.py [--deeper N] [--max-states N]`` prints one line per
scenario.  Where a bound is broken it also prints the shortest trace that breaks it, and exits
with 1.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from oakbridge.lab.model_check.discovery_model import DiscoveryModel, Scenario
from oakbridge.lab.model_check.discovery_scenarios import (
    GUARANTEED,
    NOT_GUARANTEED,
    with_more_failures,
)
from oakbridge.lab.model_check.explorer import Exploration, explore

PROCESSES = 6


def search(scenario: Scenario, max_states: int) -> tuple[Exploration, float]:
    """Search the states of a scenario.

    Returns the result and the latest time in seconds, counted from the change, at which a node
    learned of the change.
    """
    model = DiscoveryModel(scenario)
    exploration = explore(model, max_states)
    return exploration, model.latest_known_at - scenario.change_at


def main() -> int:
    """Search all scenarios, print the results and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deeper",
        type=int,
        default=0,
        help="number of additional discovery requests that may fail",
    )
    parser.add_argument("--max-states", type=int, default=500_000)
    options = parser.parse_args()
    scenarios = {
        name: with_more_failures(scenario, options.deeper)
        for name, scenario in (GUARANTEED | NOT_GUARANTEED).items()
    }
    is_broken = False
    with ProcessPoolExecutor(PROCESSES) as pool:
        searches = {
            name: pool.submit(search, scenario, options.max_states)
            for name, scenario in scenarios.items()
        }
        for name, result in searches.items():
            exploration, latest_s = result.result()
            print(
                f"{name}: {scenarios[name].budget.failures} failures, {exploration.states} states,"
                f" {exploration.transitions} transitions, {exploration.seconds:.1f} s"
                f" ({exploration.states_per_s:.0f} states/s)"
                f"{'' if exploration.is_complete else ', NOT ALL'}; latest {latest_s:.2f} s after the change"
            )
            if exploration.violation:
                is_broken = True
                print(f"  {exploration.violation}", *exploration.trace, sep="\n    ")
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
