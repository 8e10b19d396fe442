"""Zone weights by which a node divides its requests among the remaining sites of a plan.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from oakbridge.sites.plan_file import SitePlan

MIN_PLANNED_WEIGHT = 0.05  # a plan lowers a zone's weight at most to this fraction, never to 0


def planned_weights(
    plan: SitePlan, home: str, lost_sites: Iterable[str], fractions: Mapping[str, float]
) -> dict[str, float]:
    """Return each zone's weight by the plan.

    ``home``: the node's own site; ``fractions``: the greatest weight of each zone.
    """
    scenario = plan.scenario(lost_sites)
    routing = scenario.routing.get(home, {}) if scenario is not None else {}
    by_capacity = {
        name: routing.get(name, 0.0) / plan.capacities[name]
        for name in fractions
        if plan.capacities.get(name)
    }
    greatest = max(
        (value for name, value in by_capacity.items() if fractions[name] > 0), default=0.0
    )
    weights = dict(fractions)
    if greatest > 0:
        for name, weight in by_capacity.items():
            weights[name] *= min(1.0, max(MIN_PLANNED_WEIGHT, weight / greatest))
    return weights
