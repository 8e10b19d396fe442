"""How many attempts this replica may have in flight, and which waiting request goes next."""

from collections import deque
from dataclasses import dataclass, field

from oakbridge.policy.records import OpenRequest
from oakbridge.policy.settings import Settings
from oakbridge.policy.throughput import OutcomeWindow, UsualValue
from oakbridge.policy.timers import SECOND_US
from oakbridge.policy.waiting_queues import WaitingQueues

HEADROOM = 1.6  # of the limit above the capacity seen, by the tiers behind this one
MIN_HEADROOM = 0.8
BURST = 4.0  # attempts: a limit below that holds on average; see AdmissionControl.admits
CREDIT_S = 2  # over so long
URGENT_VALUE = 2.0  # a request of so many times the usual value may overdraw
LIFO_AFTER = 0.2  # newest first, once the oldest has waited for this share of its time
MAX_WAITING = 0.5  # for each that may be in flight: more would have no turn in time
WINDOW = 32  # outcomes between two looks at the limit,
START_WINDOW = 8  # fewer at the start
START_LIMIT = 12.0  # attempts a server at the start,
CROWDED_START_LIMIT = 3.5  # where replicas outnumber servers
MIN_LIMIT = 2.0  # attempts a server


@dataclass(eq=False)
class AdmissionControl:
    """A limit that follows what servers carry, and queues for what exceeds it."""

    settings: Settings
    limit: float = 0.0
    min_limit: float = 0.0
    in_flight: int = 0
    credit: float = 0.1  # of a limit below BURST
    credited_at: int = 0
    capacity: float = 0.0  # in flight, to carry the highest rate seen at the least latency seen
    latency_ratio: float = 0.5  # latency by what is still well inside the objective
    usual_value: UsualValue = field(default_factory=UsualValue)  # worth for the time of a request
    window: OutcomeWindow = field(default_factory=OutcomeWindow)  # since the limit was last set
    window_size: int = START_WINDOW  # outcomes
    limited: bool = False  # whether the limit has held a request back since then
    waiting: WaitingQueues[OpenRequest] = field(default_factory=WaitingQueues)

    def resize(self, before: int, after: int) -> None:
        """Follow the number of servers, up and down: replaced one by one, it must not fade."""
        change = max(1, after) / max(1, before)
        self.capacity *= change
        self.limit *= change
        share = after / self.settings.replica_count
        self.min_limit = MIN_LIMIT * share
        if not self.capacity:  # no rush at the start, least of all where replicas are many
            self.limit = share * (START_LIMIT if share >= 1 else CROWDED_START_LIMIT)
            self.window_size = START_WINDOW if share < 1 else WINDOW

    def record(self, latency: int, least: float, calm: float, served: bool, now: int) -> None:
        """Take an outcome in, beside the least mean and a calm latency; then set the limit."""
        self.window.add(now, self.in_flight)
        if served:
            self.window.served += 1
            self.window.served_us += least
            self.latency_ratio += 0.03 * (latency / calm - self.latency_ratio)
        if self.window.outcomes > max(self.window_size, self.in_flight):
            self._set_limit(now)

    def _set_limit(self, now: int) -> None:
        window, self.window = self.window, OutcomeWindow()
        fast = self.latency_ratio <= 1
        # A rate that the limit held down, with answers in good time, says nothing against more.
        kept = 0.9 if not window.served else 1.0 if self.limited and fast else 0.98
        self.capacity = max(kept * self.capacity, window.concurrency(now))
        if fast and window.served >= 0.8 * window.outcomes:
            # By the next tier's part of the time, and room for what takes longer than the least.
            tiers_behind = self.settings.tier_count - self.settings.tier
            limit = (1 + max(MIN_HEADROOM, HEADROOM / tiers_behind)) * self.capacity
            self.window_size = self.window_size if self.limited else WINDOW
        else:
            limit = 0.85 * min(self.limit, max(window.peak, BURST))
            self.window_size = WINDOW
        self.limit = max(self.min_limit, limit)
        self.limited = False

    def change_in_flight(self, change: int, now: int) -> None:
        """Count attempts; credit grows by the limit and shrinks by what is in flight."""
        gained = (self.limit - self.in_flight) * (now - self.credited_at) / SECOND_US
        self.credit = max(-BURST, min(CREDIT_S * self.limit, self.credit + gained))
        self.credited_at = now
        self.in_flight += change

    def time_to_credit(self) -> float:
        """Return when one is admitted again, in microseconds, if none is in flight."""
        return SECOND_US * (max(0.0, -self.credit) / self.limit if self.limit > 0 else 1)

    def admits(self, value: float, now: int) -> bool:
        """Whether a request of this value may go out.

        Hundreds of replicas would fill servers if each could always have one attempt in flight, so
        a small limit holds on average.  Valuable requests may overdraw: no queue puts them first.
        """
        self.change_in_flight(0, now)
        enough = self.credit > (-self.limit if value >= URGENT_VALUE else 0)
        may = self.in_flight < max(self.limit, BURST) and (self.limit >= BURST or enough)
        self.limited = self.limited or not may
        return may

    def next_request(self, now: int) -> OpenRequest | None:
        """Take the waiting request of the highest priority, if one may go out."""
        if not self.waiting.count:
            return None
        queue = max(self.waiting.queues(), key=self._priority)
        if not self.admits(queue[0].value, now):
            return None
        oldest = queue[0]  # once it has waited long the newest is first: else all would be late
        lifo = now - oldest.arrived_at > LIFO_AFTER * (oldest.objective_at - oldest.arrived_at)
        return self.waiting.pop(queue, newest=lifo)

    def excess_request(self) -> OpenRequest | None:
        """Return the oldest of least priority, if more wait than will have a turn."""
        max_waiting = max(2 * BURST, MAX_WAITING * self.limit)
        if self.waiting.count <= max_waiting or self.in_flight < self.limit:
            return None
        queues = sorted(self.waiting.queues(), key=self._priority)
        waiting = (request for queue in queues for request in queue)
        return next((r for r in waiting if r.queued and not r.attempts), None)

    def _priority(self, queue: deque[OpenRequest]) -> float:
        share = self.settings.over_quota_weight if queue[0].over_quota else 1.0
        return queue[0].klass.priority_weight * share
