"""Admission: the limit of attempts in flight, and the order of the requests that wait for it."""

from collections import deque
from dataclasses import dataclass, field

from oakbridge.policy.records import OpenRequest
from oakbridge.policy.settings import Settings
from oakbridge.policy.throughput import MovingMean, ResultWindow
from oakbridge.policy.timers import SECOND_US
from oakbridge.policy.waiting_queues import WaitingQueues

TIER_HEADROOM = 1.6  # headroom of the limit over the capacity, divided among the tiers behind
MIN_HEADROOM = 0.8  # lowest headroom, whatever the number of tiers behind
BURST_ATTEMPTS = 4.0  # a lower limit holds on average only; see AdmissionControl.admits
MAX_CREDIT_S = 2  # credit that can be saved up, as seconds at the limit
OVERDRAFT_MIN_VALUE = 2.0  # requests of at least this multiple of the mean value may overdraw
# The newest request of a queue goes first once the oldest has waited for this fraction of the time
# to its latency objective.
LIFO_AFTER_FRACTION = 0.2
MAX_WAITING_FRACTION = 0.5  # of the limit; more waiting requests would not get their turn in time
WINDOW_RESULTS = 32  # results between two updates of the limit
START_WINDOW_RESULTS = 8  # the same at the start, where replicas outnumber servers
START_LIMIT_PER_SERVER = 12.0  # attempts, until the capacity is known
CROWDED_START_LIMIT_PER_SERVER = 3.5  # the same where replicas outnumber servers
MIN_LIMIT_PER_SERVER = 2.0  # attempts


@dataclass(eq=False)
class AdmissionControl:
    """A limit of attempts in flight that follows server capacity, and queues for the rest."""

    settings: Settings
    limit: float = 0.0
    min_limit: float = 0.0
    in_flight: int = 0
    credit: float = 0.1  # attempt seconds below the limit, for limits below BURST_ATTEMPTS
    credit_updated_at: int = 0
    capacity: float = 0.0  # attempts in flight that carry the peak rate at the lowest latency
    latency_ratio: float = 0.5  # mean of latency / target latency
    mean_value: MovingMean = field(default_factory=MovingMean)  # weight per time of requests
    window: ResultWindow = field(default_factory=ResultWindow)  # since the last update of the limit
    window_size: int = START_WINDOW_RESULTS  # results until the next update of the limit
    is_limiting: bool = False  # whether the limit has held back a request in this window
    waiting: WaitingQueues[OpenRequest] = field(default_factory=WaitingQueues)

    def resize(self, old_count: int, new_count: int) -> None:
        """Scale the limit with the number of servers, so that replacements do not lower it."""
        change = max(1, new_count) / max(1, old_count)
        self.capacity *= change
        self.limit *= change
        servers_per_replica = new_count / self.settings.replica_count
        self.min_limit = MIN_LIMIT_PER_SERVER * servers_per_replica
        if not self.capacity:  # limits the first requests, most where there are many replicas
            self.limit = servers_per_replica * (
                START_LIMIT_PER_SERVER
                if servers_per_replica >= 1
                else CROWDED_START_LIMIT_PER_SERVER
            )
            self.window_size = START_WINDOW_RESULTS if servers_per_replica < 1 else WINDOW_RESULTS

    def record(self, latency: int, min_mean: float, target: float, served: bool, now: int) -> None:
        """Record a result; update the limit after a window of them.

        ``min_mean``: lowest mean latency of the class; ``target``: latency up to which servers do
        not count as overloaded.
        """
        self.window.add(now, self.in_flight)
        if served:
            self.window.served += 1
            self.window.served_us += min_mean
            self.latency_ratio += 0.03 * (latency / target - self.latency_ratio)
        if self.window.results > max(self.window_size, self.in_flight):
            self._set_limit(now)

    def _set_limit(self, now: int) -> None:
        window, self.window = self.window, ResultWindow()
        is_on_target = self.latency_ratio <= 1
        # If the limit held the rate down and responses were in time, the capacity may be higher.
        kept_fraction = (
            0.9 if not window.served else 1.0 if self.is_limiting and is_on_target else 0.98
        )
        self.capacity = max(kept_fraction * self.capacity, window.concurrency(now))
        if is_on_target and window.served >= 0.8 * window.results:
            # The headroom covers time in the next tier, and attempts slower than the lowest mean.
            tiers_behind = self.settings.tier_count - self.settings.tier
            limit = (1 + max(MIN_HEADROOM, TIER_HEADROOM / tiers_behind)) * self.capacity
            self.window_size = self.window_size if self.is_limiting else WINDOW_RESULTS
        else:
            limit = 0.85 * min(self.limit, max(window.peak_in_flight, BURST_ATTEMPTS))
            self.window_size = WINDOW_RESULTS
        self.limit = max(self.min_limit, limit)
        self.is_limiting = False

    def change_in_flight(self, change: int, now: int) -> None:
        """Change the number of attempts in flight; the credit grows while it is below the limit."""
        credit_change = (self.limit - self.in_flight) * (now - self.credit_updated_at) / SECOND_US
        self.credit = max(
            -BURST_ATTEMPTS, min(MAX_CREDIT_S * self.limit, self.credit + credit_change)
        )
        self.credit_updated_at = now
        self.in_flight += change

    def credit_delay_us(self) -> float:
        """Return the time until there is credit again with none in flight, in microseconds."""
        return SECOND_US * (max(0.0, -self.credit) / self.limit if self.limit > 0 else 1)

    def admits(self, value: float, now: int) -> bool:
        """Whether a request of this value may be sent now.

        Hundreds of replicas would overload servers if each could always have one attempt in flight,
        so a limit below ``BURST_ATTEMPTS`` holds on average.  Valuable requests may overdraw the
        credit, as a replica with few requests has no queue that would put them first.
        """
        self.change_in_flight(0, now)
        has_credit = self.credit > (-self.limit if value >= OVERDRAFT_MIN_VALUE else 0)
        is_admitted = self.in_flight < max(self.limit, BURST_ATTEMPTS) and (
            self.limit >= BURST_ATTEMPTS or has_credit
        )
        self.is_limiting = self.is_limiting or not is_admitted
        return is_admitted

    def next_request(self, now: int) -> OpenRequest | None:
        """Remove and return the waiting request of the highest priority, if one is admitted."""
        if not self.waiting.count:
            return None
        queue = max(self.waiting.queues(), key=self._priority)
        if not self.admits(queue[0].value, now):
            return None
        # Newest first once the oldest has waited long; oldest first would make all of them late.
        oldest = queue[0]
        newest_first = now - oldest.arrived_at > LIFO_AFTER_FRACTION * (
            oldest.objective_at - oldest.arrived_at
        )
        return self.waiting.pop(queue, newest=newest_first)

    def excess_request(self) -> OpenRequest | None:
        """Return the oldest request of the lowest priority, if too many wait to get their turn."""
        max_waiting = max(2 * BURST_ATTEMPTS, MAX_WAITING_FRACTION * self.limit)
        if self.waiting.count <= max_waiting or self.in_flight < self.limit:
            return None
        queues = sorted(self.waiting.queues(), key=self._priority)
        waiting = (request for queue in queues for request in queue)
        return next((item for item in waiting if item.is_queued and not item.attempts), None)

    def _priority(self, queue: deque[OpenRequest]) -> float:
        factor = self.settings.over_quota_weight if queue[0].is_over_quota else 1.0
        return queue[0].klass.priority_weight * factor
