"""The rule that holds without a plan, to compare plans with.  Pure.

Each site serves what arrives there, most weight for its work first, and passes the rest on by free
capacity.
"""

from __future__ import annotations

import numpy as np

from oakbridge.sites.planning import TopologyArrays


def proportional_served_weight(figures: TopologyArrays, lost_sites: tuple[str, ...]) -> float:
    """Return the priority weight a second that is served without a plan."""
    lost = np.array([site in lost_sites for site in figures.sites])
    free = np.where(lost, 0.0, figures.usable)
    arrivals = figures.arrivals(lost_sites)
    most_weight_first = np.argsort(-figures.weight / figures.work, kind="stable")
    served_weight = 0.0
    unserved = np.zeros_like(figures.weight)
    for site in range(len(free)):
        for each in most_weight_first:
            served = min(arrivals[site, each], free[site] / figures.work[each])
            free[site] -= served * figures.work[each]
            served_weight += served * figures.weight[each]
            unserved[each] += arrivals[site, each] - served
    if free.sum() <= 0:
        return float(served_weight)
    for fraction in free / free.sum():
        left = fraction * free.sum()
        for each in most_weight_first:
            served = min(unserved[each] * fraction, left / figures.work[each])
            left -= served * figures.work[each]
            served_weight += served * figures.weight[each]
    return float(served_weight)
