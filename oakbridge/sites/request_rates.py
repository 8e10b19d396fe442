"""A node's own observations: zones, admitted requests a second, overload, classes.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from oakbridge.policy.view import ZoneView

WINDOW_US = 2_000_000  # rates and fractions are computed over this time
MIN_WINDOW_S = 0.1  # rates are divided by at least this time
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class LocalObservations:
    """One node's own observations."""

    zones: Sequence[ZoneView]
    admitted_per_s: float  # requests a second without those that the load-shedding level rejected
    overload: float  # fraction of the admitted requests that was rejected for lack of capacity
    class_fractions: Mapping[str, float]  # by class: fraction of all requests


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """The requests that a node and its balancer have counted since their start."""

    at_us: int
    served: int
    rejected: int
    failed: int
    shed: int  # part of ``rejected``: those that the load-shedding level rejected
    arrived: dict[str, int]  # by class


class RequestRates:
    """A node's request rate, overload and classes over the last ``WINDOW_US``."""

    def __init__(self) -> None:
        """Begin without counts."""
        self._counts = deque[RequestCounts]()

    def update(self, counts: RequestCounts, zones: Sequence[ZoneView]) -> LocalObservations:
        """Add the present counts; return the node's observations, with ``zones`` as given."""
        self._counts.append(counts)
        while len(self._counts) > 2 and self._counts[1].at_us <= counts.at_us - WINDOW_US:
            self._counts.popleft()
        earlier = self._counts[0]
        seconds = max(MIN_WINDOW_S, (counts.at_us - earlier.at_us) / US_PER_S)
        shed = counts.shed - earlier.shed
        without_capacity = max(0, counts.rejected - earlier.rejected - shed)
        served = counts.served - earlier.served
        failed = counts.failed - earlier.failed
        admitted = served + failed + without_capacity
        earlier_arrived = earlier.arrived
        arrived = {
            name: count - earlier_arrived.get(name, 0) for name, count in counts.arrived.items()
        }
        total = max(1, sum(arrived.values()))
        return LocalObservations(
            zones,
            admitted_per_s=admitted / seconds,
            overload=without_capacity / admitted if admitted else 0.0,
            class_fractions={name: count / total for name, count in arrived.items()},
        )
