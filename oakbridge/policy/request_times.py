"""A request's latency objective and deadline, and the latest time to dispatch it."""

from dataclasses import dataclass

from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.records import OpenRequest
from oakbridge.policy.settings import RequestClass, Settings
from oakbridge.policy.timers import SECOND_US

INITIAL_MEAN_DIVISOR = 5  # latency objective / mean latency assumed before the first response
UPLOAD_TIMEOUT_US = 600 * SECOND_US  # for a streamed body of the longest size at 64 kB a second
TARGET_MULTIPLE = 2.0  # target latency as a multiple of the lowest mean latency
TARGET_FRACTION = 0.45  # the same as a fraction of the latency objective; the higher one applies
BACKOFF_DIVISOR = 100  # latency objective / delay of the first retry, before jitter of 0.5 to 1.5


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

    def initial_mean(self, klass: RequestClass) -> float:
        """Return the mean latency that is assumed before the first response."""
        return klass.latency_objective / INITIAL_MEAN_DIVISOR * self.time_fraction

    def target_latency(self, request: OpenRequest, min_mean: float) -> float:
        """Return the latency up to which servers do not count as overloaded.

        ``min_mean``: the lowest mean latency of the request's class.
        """
        objective = TARGET_FRACTION * request.klass.latency_objective * self.time_fraction
        return max(TARGET_MULTIPLE * min_mean, objective)

    def backoff(self, request: OpenRequest) -> float:
        """Return the delay of the next retry, before jitter; it doubles with each failure."""
        return (
            request.klass.latency_objective / BACKOFF_DIVISOR * float(2 ** (request.failures - 1))
        )

    def latest_dispatch(self, request: OpenRequest) -> int:
        """Return the latest time to send a request.

        It is set by the latency objective; for inner tiers and retries, by the deadline.
        """
        latency = self.latency[request.klass.name]
        if self.settings.tier or request.attempts:
            return request.expires_at - int(latency.mean)
        return request.objective_at - int(latency.mean + latency.deviation)
