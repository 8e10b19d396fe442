"""When a request's answer is late, when it is worth nothing, and when it must be sent for either."""

from dataclasses import dataclass

from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.records import OpenRequest
from oakbridge.policy.settings import Settings


@dataclass(eq=False)
class RequestTimes:
    """Sets and reads the times of requests, in microseconds."""

    settings: Settings
    latency: LatencyAverages
    share: float  # of a class's times: inner tiers leave the rest to their callers

    def set(self, request: OpenRequest, time_left: int, now: int) -> None:
        """Set when an answer is late, and when it is worth nothing: waiting only wastes work."""
        klass = request.klass
        useful = klass.deadline if klass.late_weight > 0 else klass.latency_objective
        left = min(time_left, int(useful * self.share)) - 2 * self.settings.tick
        request.expires_at = now + max(0, left)
        request.objective_at = now + int(klass.latency_objective * self.share)

    def latest_dispatch(self, request: OpenRequest) -> int:
        """Return when a request must go to meet its objective, or if tried before, to be served."""
        latency = self.latency[request.klass.name]
        if self.settings.tier or request.attempts:
            return request.expires_at - int(latency.mean)
        return request.objective_at - int(latency.mean + latency.deviation)
