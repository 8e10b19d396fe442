"""How a plan divides a node's requests among the remaining sites.  Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from oakbridge.sites.plan_file import SitePlan

MIN_PLANNED_WEIGHT = 0.05  # a zone that is there is never given up for a plan's sake


def planned_weights(
    plan: SitePlan, home: str, lost_sites: Iterable[str], fractions: Mapping[str, float]
) -> dict[str, float]:
    """Return zones' weights by the plan; ``fractions``: what each may have at most."""
    scenario = plan.scenario(lost_sites)
    routing = scenario.routing.get(home, {}) if scenario is not None else {}
    by_capacity = {
        name: routing.get(name, 0.0) / plan.capacities[name]
        for name in fractions
        if plan.capacities.get(name)
    }
    greatest = max((w for name, w in by_capacity.items() if fractions[name] > 0), default=0.0)
    weights = dict(fractions)
    if greatest > 0:
        for name, weight in by_capacity.items():
            weights[name] *= min(1.0, max(MIN_PLANNED_WEIGHT, weight / greatest))
    return weights
