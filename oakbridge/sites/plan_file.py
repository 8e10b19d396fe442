"""A plan for lost sites as it is kept in a file: read whole and checked, or not used at all.

The names of the file's fields are mapped here, and only here, to the program's own terms.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from oakbridge.sites.errors import SitePlanError
from oakbridge.sites.topology import Topology
from oakbridge.sources.atomic_file import write_atomically

MAX_SITES_LOST = 2  # at once, that are planned for
TOLERANCE = 1e-6
SUM_TOLERANCE = 1e-3


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
    """What to do while these sites are lost."""

    lost_sites: tuple[str, ...]
    routing: dict[str, dict[str, float]]  # by where requests arrive and where they go; sums to 1
    rejected_fractions: dict[str, float]  # of each class, all sites together
    utilization: dict[str, float]  # of each site's capacity
    served_weight: float  # priority weight a second
    offered_weight: float


class SitePlan(
    msgspec.Struct,
    frozen=True,
    rename={"source_digest": "source", "capacities": "sites"},
):
    """All scenarios."""

    version: int
    source_digest: str  # of the sites.toml that it was computed from
    capacities: dict[str, float]  # requests a second of each site
    classes: tuple[str, ...]
    scenarios: tuple[LossScenario, ...]

    def is_made_from(self, topology: Topology) -> bool:
        """Return whether the plan was computed from this file's content."""
        return (self.version, self.source_digest) == (topology.version, topology.digest)

    def scenario(self, lost_sites: Iterable[str]) -> LossScenario | None:
        """Return the one for exactly these sites; sites that the plan does not know don't count."""
        wanted = tuple(sorted(set(lost_sites) & self.capacities.keys()))
        return next((s for s in self.scenarios if s.lost_sites == wanted), None)


def planned_losses(sites: Iterable[str], max_lost: int = MAX_SITES_LOST) -> list[tuple[str, ...]]:
    """Return what is planned for: nothing lost, each site, each pair; never all."""
    names = sorted(sites)
    sizes = range(min(max_lost, len(names) - 1) + 1)
    return [lost for size in sizes for lost in itertools.combinations(names, size)]


def decode_plan(data: bytes) -> SitePlan:
    """Read and check a plan.  Raises SitePlanError with every mistake."""
    try:
        plan = msgspec.json.decode(data, type=SitePlan)
    except msgspec.DecodeError as error:
        raise SitePlanError([f"expected a plan made by `oakbridge sites plan`: {error}"]) from None
    if mistakes := check_plan(plan):
        raise SitePlanError(mistakes)
    return plan


def save_plan(path: Path, plan: SitePlan) -> None:
    """Write the file whole.  Raises OSError."""
    write_atomically(path, msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n")


def check_plan(plan: SitePlan, topology: Topology | None = None) -> list[str]:
    """Return all mistakes of a plan, in itself and against the topology that it is to come from."""
    mistakes = []
    if topology is not None and not plan.is_made_from(topology):
        expected = f"expected {topology.version} with this content"
        mistakes.append(f"version: made from version {plan.version}, {expected}")
    wanted = planned_losses(plan.capacities)
    if sorted(s.lost_sites for s in plan.scenarios) != sorted(wanted):
        found = f"got {len(plan.scenarios)}"
        mistakes.append(f"scenarios: expected one for each of {len(wanted)} losses, {found}")
    for scenario in plan.scenarios:
        name = " and ".join(scenario.lost_sites) or "nothing lost"
        mistakes += [f"scenario {name}: {mistake}" for mistake in _check_scenario(plan, scenario)]
    return mistakes


def _check_scenario(plan: SitePlan, scenario: LossScenario) -> Iterator[str]:
    for name, targets in scenario.routing.items():
        gone = [s for s in targets if s not in plan.capacities or s in scenario.lost_sites]
        if gone:
            yield f"shares of {name}: expected sites that are there, got {', '.join(gone)}"
        total = sum(targets.values())
        if not _are_fractions(targets) or abs(total - 1) > SUM_TOLERANCE:
            yield f"shares of {name}: expected parts of 1, got {total:.4f} in all"
    if not _are_fractions(scenario.rejected_fractions):
        yield "refused: expected parts from 0 to 1"
    if set(scenario.rejected_fractions) - set(plan.classes):
        yield "refused: expected classes of the plan"
    if any(used > 1 + TOLERANCE for used in scenario.utilization.values()):
        yield "used: expected at most the whole of each site"


def _are_fractions(values: dict[str, float]) -> bool:
    return all(0 <= value <= 1 + TOLERANCE for value in values.values())
