"""A plan for the loss of each site and of each pair, as linear programs (HiGHS, by scipy).  Pure.

For each loss: what arrives at each remaining site (from its own clients, and its share of those of
the lost ones) is divided among the remaining sites, so that the priority weight served is the most
that their capacity allows, less what must stay free; of equal weight the shorter way, then the
evener load.  What does not fit is rejected, least weight for its work first: that follows from the
optimum and is no rule of its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array, vstack

from oakbridge.sites.errors import PlanningError
from oakbridge.sites.plan_file import LossScenario, SitePlan, planned_losses
from oakbridge.sites.topology import Topology

DISTANCE_COST = 1e-3  # of the least weight: what the longest way counts against an answer
IMBALANCE_COST = 1e-4  # of the least weight: what full load counts against an answer
MIN_DISTANCE = 1e-9
MIN_FLOW = 1e-9


class TopologyArrays:
    """A topology's figures as arrays, indexed by site and class."""

    def __init__(self, topology: Topology) -> None:
        """Fill the arrays."""
        self.sites = [site.name for site in topology.sites]
        self.classes = [each.name for each in topology.classes]
        site_index = {name: n for n, name in enumerate(self.sites)}
        class_index = {name: n for n, name in enumerate(self.classes)}
        self.capacity = np.array([s.requests_per_s for s in topology.sites])
        reserved = np.array([s.reserved_fraction for s in topology.sites])
        self.usable = self.capacity * (1 - reserved)
        self.weight = np.array([each.priority_weight for each in topology.classes])
        self.work = np.array([each.work for each in topology.classes])
        self.load = np.zeros((len(self.sites), len(self.classes)))
        for load in topology.loads:
            self.load[site_index[load.site], class_index[load.class_name]] = load.requests_per_s
        self.distance = np.ones((len(self.sites), len(self.sites))) - np.eye(len(self.sites))
        for distance in topology.distances:
            first, second = site_index[distance.first], site_index[distance.second]
            self.distance[first, second] = self.distance[second, first] = distance.cost

    def arrivals(self, lost_sites: Iterable[str]) -> np.ndarray:
        """Return what arrives at each site; clients of lost ones spread as the others' own load."""
        lost = np.array([site in set(lost_sites) for site in self.sites])
        own = np.where(lost[:, None], 0.0, self.load)
        attraction = own.sum(axis=1)
        if not attraction.sum():
            attraction = np.where(lost, 0.0, self.usable)
        if not attraction.sum():
            return own
        moved = np.outer(attraction / attraction.sum(), self.load[lost].sum(axis=0))
        return np.asarray(own + moved)


def compute_plan(topology: Topology) -> SitePlan:
    """Return the plan for all losses.  Raises PlanningError if the solver gives up."""
    figures = TopologyArrays(topology)
    return SitePlan(
        topology.version,
        topology.digest,
        {site.name: site.requests_per_s for site in topology.sites},
        tuple(figures.classes),
        tuple(compute_scenario(figures, lost) for lost in planned_losses(figures.sites)),
    )


def compute_scenario(figures: TopologyArrays, lost_sites: tuple[str, ...]) -> LossScenario:
    """Return the best without these sites.  Raises PlanningError if the solver gives up."""
    program = _RoutingProgram(figures, lost_sites)
    if not program.flows or not program.targets:
        return program.nothing_to_route()
    return program.scenario(program.solve())


class _RoutingProgram:
    """The linear program for one loss.

    One variable for each flow (what arrives at a site in a class) and target (a site that serves),
    and a last one for the highest load of any site.
    """

    def __init__(self, figures: TopologyArrays, lost_sites: tuple[str, ...]) -> None:
        """Find flows and targets."""
        self.figures = figures
        self.lost_sites = lost_sites
        self.arrivals = figures.arrivals(lost_sites)
        self.offered_weight = float((self.arrivals * figures.weight).sum())
        self.remaining = [n for n, name in enumerate(figures.sites) if name not in lost_sites]
        self.targets = [n for n in self.remaining if figures.usable[n] > 0]
        self.flows = [
            (site, each)
            for site in self.remaining
            for each in range(len(figures.classes))
            if self.arrivals[site, each] > 0
        ]

    def nothing_to_route(self) -> LossScenario:
        """Return the scenario without any flow, or without any site to serve it."""
        rejected = {name: 1.0 for name in self.figures.classes if not self.targets}
        return LossScenario(self.lost_sites, {}, rejected, {}, 0.0, self.offered_weight)

    def solve(self) -> np.ndarray:
        """Return the requests a second of each flow at each target."""
        found = linprog(self._costs(), **self._constraints(), bounds=(0, None), method="highs")
        if found.x is None:
            raise PlanningError(self.lost_sites, found.message)
        by_flow = found.x[:-1].reshape(len(self.flows), len(self.targets))
        routed: np.ndarray = np.maximum(by_flow, 0.0)
        return routed

    @property
    def _flow_sites(self) -> np.ndarray:
        return np.array([site for site, _ in self.flows])

    @property
    def _flow_classes(self) -> np.ndarray:
        return np.array([each for _, each in self.flows])

    def _costs(self) -> np.ndarray:
        figures = self.figures
        least_weight = min((weight for weight in figures.weight if weight > 0), default=1.0)
        farthest = max(figures.distance.max(), MIN_DISTANCE)
        distances = figures.distance[self._flow_sites][:, self.targets]
        weights = figures.weight[self._flow_classes, None]
        costs = (DISTANCE_COST * least_weight * distances / farthest - weights).ravel()
        total_work = float((self.arrivals * figures.work).sum())
        return np.append(costs, IMBALANCE_COST * least_weight * total_work)

    def _constraints(self) -> dict[str, Any]:
        """Serve no more than arrives, and than there is capacity for; bound the highest load."""
        target_count = len(self.targets)
        variables = np.arange(len(self.flows) * target_count)
        flow, target = variables // target_count, variables % target_count
        highest_load = len(variables)
        work = self.figures.work[self._flow_classes][flow]
        usable = self.figures.usable[self.targets]
        flow_shape = (len(self.flows), len(variables) + 1)
        target_shape = (target_count, len(variables) + 1)
        served = coo_array((np.ones(len(variables)), (flow, variables)), shape=flow_shape)
        carried = coo_array((work, (target, variables)), shape=target_shape)
        rows = np.append(target, np.arange(target_count))
        columns = np.append(variables, np.full(target_count, highest_load))
        balanced = coo_array((np.append(work, -usable), (rows, columns)), shape=target_shape)
        arriving = self.arrivals[self._flow_sites, self._flow_classes]
        return {
            "A_ub": vstack([served, carried, balanced], format="csr"),
            "b_ub": np.concatenate([arriving, usable, np.zeros(target_count)]),
        }

    def scenario(self, routed: np.ndarray) -> LossScenario:
        """Return what the solution means."""
        figures = self.figures
        served = np.zeros((len(figures.sites), len(figures.classes)))
        served[self._flow_sites, self._flow_classes] = routed.sum(axis=1)
        return LossScenario(
            self.lost_sites,
            self._routing(routed),
            self._rejected_fractions(served),
            self._utilization(routed),
            float((served * figures.weight).sum()),
            self.offered_weight,
        )

    def _routing(self, routed: np.ndarray) -> dict[str, dict[str, float]]:
        figures = self.figures
        routing = {}
        for site in self.remaining:
            from_site = self._flow_sites == site
            work = figures.work[self._flow_classes[from_site], None]
            by_target = (routed[from_site] * work).sum(axis=0)
            if by_target.sum() > 0:
                routing[figures.sites[site]] = {
                    figures.sites[target]: float(amount / by_target.sum())
                    for target, amount in zip(self.targets, by_target, strict=True)
                    if amount > MIN_FLOW
                }
        return routing

    def _rejected_fractions(self, served: np.ndarray) -> dict[str, float]:
        arrived = self.arrivals.sum(axis=0)
        return {
            name: float(min(1.0, max(0.0, 1 - served[:, n].sum() / arrived[n])))
            for n, name in enumerate(self.figures.classes)
            if arrived[n] > 0
        }

    def _utilization(self, routed: np.ndarray) -> dict[str, float]:
        figures = self.figures
        work = figures.work[self._flow_classes]
        return {
            figures.sites[target]: float((routed[:, n] * work).sum() / figures.capacity[target])
            for n, target in enumerate(self.targets)
        }
