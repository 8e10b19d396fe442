"""Site plans: what to do while sites are lost, and the JSON file that a plan is kept in.

A plan is used only if all of it is read and valid.  Only this module maps the code's names to the
file's keys.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from oakbridge.sites.errors import SitePlanError
from oakbridge.sites.topology import Topology
from oakbridge.sources.atomic_file import write_atomically

MAX_SITES_LOST = 2  # sites lost at once that a plan covers
FRACTION_TOLERANCE = 1e-6  # a fraction may exceed 1 by this
SUM_TOLERANCE = 1e-3  # a site's routing fractions may miss a sum of 1 by this


class LossScenario(
    msgspec.Struct,
    frozen=True,
    rename={
        "lost_sites": "lost",
        "routing": "shares",
        "rejected_fractions": "refused",
        "utilization": "used",
        "served_weight": "worth",
        "offered_weight": "offered",
    },
):
    """What to do while ``lost_sites`` are lost."""

    lost_sites: tuple[str, ...]
    routing: dict[str, dict[str, float]]  # by arrival site: serving sites' fractions; sum to 1
    rejected_fractions: dict[str, float]  # by class, over all sites
    utilization: dict[str, float]  # by site: used fraction of its capacity
    served_weight: float  # priority weight of the served requests a second
    offered_weight: float  # priority weight of all arriving requests a second


class SitePlan(
    msgspec.Struct,
    frozen=True,
    rename={"source_digest": "source", "capacities": "sites"},
):
    """The scenarios for all losses that are planned for."""

    version: int  # of the sites.toml that the plan was computed from
    source_digest: str  # digest of that file
    capacities: dict[str, float]  # by site: requests a second
    classes: tuple[str, ...]
    scenarios: tuple[LossScenario, ...]

    def is_computed_from(self, topology: Topology) -> bool:
        """Return whether the plan was computed from this topology's file."""
        return (self.version, self.source_digest) == (topology.version, topology.digest)

    def scenario(self, lost_sites: Iterable[str]) -> LossScenario | None:
        """Return the scenario for exactly these lost sites, without those unknown to the plan."""
        wanted = tuple(sorted(set(lost_sites) & self.capacities.keys()))
        return next((each for each in self.scenarios if each.lost_sites == wanted), None)


def planned_losses(sites: Iterable[str], max_lost: int = MAX_SITES_LOST) -> list[tuple[str, ...]]:
    """Return the losses that a plan covers: none, each site, each pair; never all sites."""
    names = sorted(sites)
    sizes = range(min(max_lost, len(names) - 1) + 1)
    return [lost for size in sizes for lost in itertools.combinations(names, size)]


def decode_plan(data: bytes) -> SitePlan:
    """Decode and check a plan.  Raises SitePlanError with every mistake."""
    try:
        plan = msgspec.json.decode(data, type=SitePlan)
    except msgspec.DecodeError as error:
        raise SitePlanError([f"expected a plan made by `oakbridge sites plan`: {error}"]) from None
    if mistakes := check_plan(plan):
        raise SitePlanError(mistakes)
    return plan


def save_plan(path: Path, plan: SitePlan) -> None:
    """Write the plan's file atomically.  Raises OSError."""
    write_atomically(path, msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n")


def check_plan(plan: SitePlan, topology: Topology | None = None) -> list[str]:
    """Return all mistakes of a plan, in itself and, if given, against its ``topology``."""
    mistakes = []
    if topology is not None and not plan.is_computed_from(topology):
        expected = f"expected {topology.version} with this content"
        mistakes.append(f"version: made from version {plan.version}, {expected}")
    wanted = planned_losses(plan.capacities)
    if sorted(each.lost_sites for each in plan.scenarios) != sorted(wanted):
        found = f"got {len(plan.scenarios)}"
        mistakes.append(f"scenarios: expected one for each of {len(wanted)} losses, {found}")
    for scenario in plan.scenarios:
        name = " and ".join(scenario.lost_sites) or "nothing lost"
        mistakes += [f"scenario {name}: {mistake}" for mistake in _check_scenario(plan, scenario)]
    return mistakes


def _check_scenario(plan: SitePlan, scenario: LossScenario) -> Iterator[str]:
    for name, targets in scenario.routing.items():
        unavailable = [
            target
            for target in targets
            if target not in plan.capacities or target in scenario.lost_sites
        ]
        if unavailable:
            yield f"shares of {name}: expected sites that are there, got {', '.join(unavailable)}"
        total = sum(targets.values())
        if not _are_fractions(targets) or abs(total - 1) > SUM_TOLERANCE:
            yield f"shares of {name}: expected parts of 1, got {total:.4f} in all"
    if not _are_fractions(scenario.rejected_fractions):
        yield "refused: expected parts from 0 to 1"
    if set(scenario.rejected_fractions) - set(plan.classes):
        yield "refused: expected classes of the plan"
    if any(fraction > 1 + FRACTION_TOLERANCE for fraction in scenario.utilization.values()):
        yield "used: expected at most the whole of each site"


def _are_fractions(values: dict[str, float]) -> bool:
    return all(0 <= value <= 1 + FRACTION_TOLERANCE for value in values.values())
