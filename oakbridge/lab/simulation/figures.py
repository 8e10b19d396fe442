"""Figures over all replicas of a simulated fleet."""

from __future__ import annotations

from bisect import bisect_left

from oakbridge.lab.simulation.event_queue import SECOND_US
from oakbridge.lab.simulation.fleet import SimulatedFleet
from oakbridge.lab.simulation.server_pool import MEAN_WORK_US

OVERLOAD_WINDOW_US = 3 * SECOND_US


def max_warming_overload(fleet: SimulatedFleet, window_us: int = OVERLOAD_WINDOW_US) -> float:
    """Return the highest ratio of attempts to capacity of any server in a window of its slow start.

    The capacity is workers * mean speed * window / mean work.  Attempts count when they are sent.
    """
    worst = 0.0
    pool = fleet.pool
    for server in fleet.servers.values():
        for index, first_us in enumerate(server.sent_at_us):
            if not server.started_at_us or pool.speed(server, first_us) >= 1:
                break
            end_us = first_us + window_us
            count = bisect_left(server.sent_at_us, end_us) - index
            mean_speed = (pool.speed(server, first_us) + pool.speed(server, end_us)) / 2
            capacity = server.workers * mean_speed * window_us / MEAN_WORK_US
            worst = max(worst, count / capacity)
    return worst


def ejected_fraction(fleet: SimulatedFleet) -> float:
    """Return the fraction of servers that do not hang but are ejected, averaged over replicas."""
    hung = {name for name, server in fleet.servers.items() if server.is_hung}
    views = [
        view
        for balancer in fleet.balancers
        for view in balancer.servers.values()
        if view.id not in hung
    ]
    return sum(view.ejected_until > fleet.now for view in views) / len(views)


def connections_per_server(fleet: SimulatedFleet) -> list[int]:
    """Return the number of replicas' connections at each listed server, in ascending order."""
    listed = fleet.balancers[0].servers
    return sorted(sum(fleet.servers[name].connections.values()) for name in listed)
