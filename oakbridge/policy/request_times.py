"""A request's latency objective and deadline, and the latest time to dispatch it."""

from dataclasses import dataclass

from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.records import OpenRequest
from oakbridge.policy.settings import Settings


@dataclass(eq=False)
class RequestTimes:
    """Sets and reads the times of requests, in microseconds."""

    settings: Settings
    latency: LatencyAverages
    time_fraction: float  # of a class's times; inner tiers leave the rest to their clients

    def set(self, request: OpenRequest, time_left: int, now: int) -> None:
        """Set the latency objective and the deadline, after which an attempt only wastes work."""
        klass = request.klass
        max_time = klass.deadline if klass.late_weight > 0 else klass.latency_objective
        remaining = min(time_left, int(max_time * self.time_fraction)) - 2 * self.settings.tick
        request.expires_at = now + max(0, remaining)
        request.objective_at = now + int(klass.latency_objective * self.time_fraction)

    def latest_dispatch(self, request: OpenRequest) -> int:
        """Return the latest time to send a request.

        It is set by the latency objective; for inner tiers and retries, by the deadline.
        """
        latency = self.latency[request.klass.name]
        if self.settings.tier or request.attempts:
            return request.expires_at - int(latency.mean)
        return request.objective_at - int(latency.mean + latency.deviation)
