"""Every order of what can become of a node's calls to discovery around one change, to a depth.

``python benchmarks/discovery_states.py [--deeper N] [--max-states N]``: one line a scenario; exits
with 1 where a bound is broken, after the shortest course that breaks it.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor

from oakbridge.lab.model_check.discovery_model import DiscoveryModel, Scenario
from oakbridge.lab.model_check.discovery_scenarios import GUARANTEED, NOT_GUARANTEED, deepened
from oakbridge.lab.model_check.explorer import Exploration, explore

PROCESSES = 6


def search(scenario: Scenario, max_states: int) -> tuple[Exploration, float]:
    """Return what a search found, and the latest time after the change at which it was known."""
    model = DiscoveryModel(scenario)
    found = explore(model, max_states)
    return found, model.latest_known_at - scenario.change_at


def main() -> int:
    """Search all scenarios; return the exit status."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--deeper", type=int, default=0, help="so many more calls may fail")
    arguments.add_argument("--max-states", type=int, default=500_000)
    given = arguments.parse_args()
    scenarios = {
        name: deepened(scenario, given.deeper)
        for name, scenario in (GUARANTEED | NOT_GUARANTEED).items()
    }
    is_broken = False
    with ProcessPoolExecutor(PROCESSES) as pool:
        searches = {
            name: pool.submit(search, scenario, given.max_states)
            for name, scenario in scenarios.items()
        }
        for name, result in searches.items():
            found, latest_s = result.result()
            print(
                f"{name}: {scenarios[name].budget.failures} failures, {found.states} states,"
                f" {found.transitions} transitions, {found.seconds:.1f} s"
                f" ({found.states_per_s:.0f} states/s)"
                f"{'' if found.is_complete else ', NOT ALL'}; latest {latest_s:.2f} s after the change"
            )
            if found.violation:
                is_broken = True
                print(f"  {found.violation}", *found.trace, sep="\n    ")
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
