"""Compute plans for the loss of each site and pair by linear programs (HiGHS, by scipy).  No I/O.

Each program divides the requests that arrive at the remaining sites (from their own clients, and
from clients of the lost sites) among the remaining sites.  It maximizes the served priority weight
within their capacity, less the reserved fraction; among equal solutions it prefers short distances,
then even load.  Requests beyond the capacity are rejected; as a property of the optimum, those with
the least priority weight for their work are rejected first.
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

# Costs in the objective, as fractions of the least priority weight of a request.
DISTANCE_COST = 1e-3  # cost of a request that is served at the longest distance
IMBALANCE_COST = 1e-4  # cost of full load at the busiest site, for each unit of arriving work
MIN_DISTANCE = 1e-9  # avoids a division by zero where all distances are 0
MIN_FLOW = 1e-9  # smaller flows are left out of a plan


class TopologyArrays:
    """A topology as arrays, indexed by site and class."""

    def __init__(self, topology: Topology) -> None:
        """Fill the arrays."""
        self.sites = [site.name for site in topology.sites]
        self.classes = [demand.name for demand in topology.classes]
        site_index = {name: index for index, name in enumerate(self.sites)}
        class_index = {name: index for index, name in enumerate(self.classes)}
        self.capacity = np.array([each.requests_per_s for each in topology.sites])
        reserved = np.array([each.reserved_fraction for each in topology.sites])
        self.usable = self.capacity * (1 - reserved)
        self.weight = np.array([demand.priority_weight for demand in topology.classes])
        self.work = np.array([demand.work for demand in topology.classes])
        self.load = np.zeros((len(self.sites), len(self.classes)))
        for load in topology.loads:
            self.load[site_index[load.site], class_index[load.class_name]] = load.requests_per_s
        self.distance = np.ones((len(self.sites), len(self.sites))) - np.eye(len(self.sites))
        for distance in topology.distances:
            first, second = site_index[distance.first], site_index[distance.second]
            self.distance[first, second] = self.distance[second, first] = distance.cost

    def arrivals(self, lost_sites: Iterable[str]) -> np.ndarray:
        """Return the requests a second that arrive at each site in each class.

        Clients of lost sites move to the remaining sites in proportion to these sites' own load,
        or to their usable capacity if they have no load.
        """
        lost = np.array([site in set(lost_sites) for site in self.sites])
        own = np.where(lost[:, None], 0.0, self.load)
        proportions = own.sum(axis=1)
        if not proportions.sum():
            proportions = np.where(lost, 0.0, self.usable)
        if not proportions.sum():
            return own
        moved = np.outer(proportions / proportions.sum(), self.load[lost].sum(axis=0))
        return np.asarray(own + moved)


def compute_plan(topology: Topology) -> SitePlan:
    """Return the plan for all losses.  Raises PlanningError if the solver fails."""
    arrays = TopologyArrays(topology)
    return SitePlan(
        topology.version,
        topology.digest,
        {site.name: site.requests_per_s for site in topology.sites},
        tuple(arrays.classes),
        tuple(compute_scenario(arrays, lost) for lost in planned_losses(arrays.sites)),
    )


def compute_scenario(arrays: TopologyArrays, lost_sites: tuple[str, ...]) -> LossScenario:
    """Return the best scenario for this loss.  Raises PlanningError if the solver fails."""
    program = _RoutingProgram(arrays, lost_sites)
    if not program.flows or not program.targets:
        return program.scenario_without_routing()
    return program.scenario(program.solve())


class _RoutingProgram:
    """The linear program for one loss.

    It has one variable for each flow (the requests of a class that arrive at a site) and target (a
    site that serves), and a last one for the highest load of any target.
    """

    def __init__(self, arrays: TopologyArrays, lost_sites: tuple[str, ...]) -> None:
        """Find flows and targets."""
        self.arrays = arrays
        self.lost_sites = lost_sites
        self.arrivals = arrays.arrivals(lost_sites)
        self.offered_weight = float((self.arrivals * arrays.weight).sum())
        self.remaining = [
            index for index, name in enumerate(arrays.sites) if name not in lost_sites
        ]
        self.targets = [index for index in self.remaining if arrays.usable[index] > 0]
        self.flows = [
            (site, class_index)
            for site in self.remaining
            for class_index in range(len(arrays.classes))
            if self.arrivals[site, class_index] > 0
        ]

    def scenario_without_routing(self) -> LossScenario:
        """Return the scenario if there are no flows or no targets."""
        rejected = {name: 1.0 for name in self.arrays.classes if not self.targets}
        return LossScenario(self.lost_sites, {}, rejected, {}, 0.0, self.offered_weight)

    def solve(self) -> np.ndarray:
        """Return the requests a second of each flow at each target."""
        result = linprog(self._costs(), **self._constraints(), bounds=(0, None), method="highs")
        if result.x is None:
            raise PlanningError(self.lost_sites, result.message)
        by_flow = result.x[:-1].reshape(len(self.flows), len(self.targets))
        routed: np.ndarray = np.maximum(by_flow, 0.0)
        return routed

    @property
    def _flow_sites(self) -> np.ndarray:
        return np.array([site for site, _ in self.flows])

    @property
    def _flow_classes(self) -> np.ndarray:
        return np.array([class_index for _, class_index in self.flows])

    def _costs(self) -> np.ndarray:
        arrays = self.arrays
        least_weight = min((weight for weight in arrays.weight if weight > 0), default=1.0)
        farthest = max(arrays.distance.max(), MIN_DISTANCE)
        distances = arrays.distance[self._flow_sites][:, self.targets]
        weights = arrays.weight[self._flow_classes, None]
        costs = (DISTANCE_COST * least_weight * distances / farthest - weights).ravel()
        total_work = float((self.arrivals * arrays.work).sum())
        return np.append(costs, IMBALANCE_COST * least_weight * total_work)

    def _constraints(self) -> dict[str, Any]:
        """Return the constraints: arrivals by flow, capacity by target, and the highest load."""
        target_count = len(self.targets)
        variables = np.arange(len(self.flows) * target_count)
        flow, target = variables // target_count, variables % target_count
        highest_load = len(variables)
        work = self.arrays.work[self._flow_classes][flow]
        usable = self.arrays.usable[self.targets]
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
        """Return the scenario of a solution; ``routed`` is that of :meth:`solve`."""
        arrays = self.arrays
        served = np.zeros((len(arrays.sites), len(arrays.classes)))
        served[self._flow_sites, self._flow_classes] = routed.sum(axis=1)
        return LossScenario(
            self.lost_sites,
            self._routing(routed),
            self._rejected_fractions(served),
            self._utilization(routed),
            float((served * arrays.weight).sum()),
            self.offered_weight,
        )

    def _routing(self, routed: np.ndarray) -> dict[str, dict[str, float]]:
        arrays = self.arrays
        routing = {}
        for site in self.remaining:
            from_site = self._flow_sites == site
            work = arrays.work[self._flow_classes[from_site], None]
            by_target = (routed[from_site] * work).sum(axis=0)
            if by_target.sum() > 0:
                routing[arrays.sites[site]] = {
                    arrays.sites[target]: float(amount / by_target.sum())
                    for target, amount in zip(self.targets, by_target, strict=True)
                    if amount > MIN_FLOW
                }
        return routing

    def _rejected_fractions(self, served: np.ndarray) -> dict[str, float]:
        arrived = self.arrivals.sum(axis=0)
        return {
            name: float(min(1.0, max(0.0, 1 - served[:, index].sum() / arrived[index])))
            for index, name in enumerate(self.arrays.classes)
            if arrived[index] > 0
        }

    def _utilization(self, routed: np.ndarray) -> dict[str, float]:
        arrays = self.arrays
        work = arrays.work[self._flow_classes]
        return {
            arrays.sites[target]: float((routed[:, index] * work).sum() / arrays.capacity[target])
            for index, target in enumerate(self.targets)
        }
