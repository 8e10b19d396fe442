"""What a node observes itself: its zones, its requests a second, its overload, their mix.  Pure."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from oakbridge.policy.view import ZoneView

WINDOW_US = 2_000_000  # over which requests and rejections are counted
MIN_WINDOW_S = 0.1
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class LocalObservations:
    """What this node observes itself."""

    zones: Sequence[ZoneView]
    calls_per_s: float  # without those that load shedding rejected
    overload: float  # fraction of them that was rejected for want of capacity
    class_mix: Mapping[str, float]  # fraction of all requests by class


@dataclass(frozen=True, slots=True)
class RequestCounts:
    """What a node and its balancer have counted since their start."""

    at_us: int
    served: int
    rejected: int
    failed: int
    shed: int  # of the rejected ones, those by the load-shedding level
    arrived: dict[str, int]  # by class


class RequestRates:
    """A node's requests a second, what became of them and their mix, over the last seconds."""

    def __init__(self) -> None:
        """Begin without counts."""
        self._counts = deque[RequestCounts]()

    def update(self, counts: RequestCounts, zones: Sequence[ZoneView]) -> LocalObservations:
        """Take in the counts of this moment; return what the node observes now."""
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
        before = earlier.arrived
        arrived = {name: count - before.get(name, 0) for name, count in counts.arrived.items()}
        total = max(1, sum(arrived.values()))
        return LocalObservations(
            zones,
            calls_per_s=admitted / seconds,
            overload=without_capacity / admitted if admitted else 0.0,
            class_mix={name: count / total for name, count in arrived.items()},
        )
