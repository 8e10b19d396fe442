"""Proportional routing, the rule without a plan: a baseline to compare plans with.  No I/O.

Each site serves the requests that arrive there, most priority weight for their work first.  It
divides the rest among the sites in proportion to their free capacity.
"""

from __future__ import annotations

import numpy as np

from oakbridge.sites.planning import TopologyArrays


def proportional_served_weight(arrays: TopologyArrays, lost_sites: tuple[str, ...]) -> float:
    """Return the priority weight a second that proportional routing serves."""
    lost = np.array([site in lost_sites for site in arrays.sites])
    free_capacity = np.where(lost, 0.0, arrays.usable)
    arrivals = arrays.arrivals(lost_sites)
    most_weight_first = np.argsort(-arrays.weight / arrays.work, kind="stable")
    served_weight = 0.0
    unserved = np.zeros_like(arrays.weight)
    for site in range(len(free_capacity)):
        for class_index in most_weight_first:
            served = min(
                arrivals[site, class_index], free_capacity[site] / arrays.work[class_index]
            )
            free_capacity[site] -= served * arrays.work[class_index]
            served_weight += served * arrays.weight[class_index]
            unserved[class_index] += arrivals[site, class_index] - served
    if free_capacity.sum() <= 0:
        return float(served_weight)
    for fraction in free_capacity / free_capacity.sum():
        remaining = fraction * free_capacity.sum()
        for class_index in most_weight_first:
            served = min(unserved[class_index] * fraction, remaining / arrays.work[class_index])
            remaining -= served * arrays.work[class_index]
            served_weight += served * arrays.weight[class_index]
    return float(served_weight)
