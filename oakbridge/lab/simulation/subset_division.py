"""Deterministic subsetting in a simulated fleet."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from oakbridge.lab.simulation.event_queue import EventQueue
from oakbridge.peers.view_state import ClusterView, ViewState
from oakbridge.policy.balancer import Balancer
from oakbridge.policy.events import Event, SubsetAssignment
from oakbridge.policy.view import server_sizes
from oakbridge.spread.subset_assigner import Replica, SubsetAssigner

LOAD_SCALE = 100  # factor from a relative load to the integer that a replica reports


class SubsetDivision:
    """Assigns each replica's subset by the reported loads of all replicas."""

    def __init__(
        self,
        events: EventQueue,
        balancers: Sequence[Balancer],
        homes: Sequence[str],
        loads: Sequence[float],
        rings: int,
        deliver: Callable[[int, Event], None],
    ) -> None:
        """``homes``, ``loads``: each replica's site and relative load; no loads: equal ones."""
        self._events = events
        self._balancers = balancers
        self._deliver = deliver
        self._assigners = [
            SubsetAssigner(f"n{replica}", balancer.members.local_zone, rings)
            for replica, balancer in enumerate(balancers)
        ]
        self._replicas = {
            f"n{replica}": Replica(home, max(1, round(LOAD_SCALE * load)))
            for replica, (home, load) in enumerate(
                zip(homes, loads or [1.0] * len(homes), strict=True)
            )
        }

    def assign_all(self) -> None:
        """Assign every replica's subset."""
        for replica in range(len(self._balancers)):
            self.assign(replica)

    def assign(self, replica: int) -> None:
        """Assign one replica's subset of the servers in its endpoint list."""
        complete_view = ClusterView(ViewState.COMPLETE, known=len(self._replicas), unreachable=0)
        weights = self._assigners[replica].update(
            self._events.now, complete_view, self._replicas, server_sizes(self._balancers[replica])
        )
        if weights is not None:
            self._deliver(replica, SubsetAssignment(weights))
