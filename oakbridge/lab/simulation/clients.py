"""Clients that send requests at random times and retry those that were rejected."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from functools import partial

from oakbridge.lab.simulation.event_queue import SECOND_US, EventQueue
from oakbridge.policy.events import RequestReceived
from oakbridge.policy.settings import RequestClass

MIN_RETRY_DELAY_US = 50_000
RETRY_JITTER = (0.9, 1.3)  # range of the random factor on the delay


class Outcome(Enum):
    """The result of one try of a request."""

    SERVED = auto()
    LATE = auto()  # served after the class's latency objective
    REJECTED = auto()
    FAILED = auto()


@dataclass
class ClientRequest:
    """The current try of a request, as the client sees it."""

    request_class: RequestClass
    number: int
    first_sent_us: int
    sent_us: int  # time of the current try
    tries: int = 1


@dataclass
class SecondTotals:
    """Totals of the requests that clients sent in one second of simulated time."""

    offered_weight: float = 0.0  # priority weight of the requests first sent in this second
    served_weight: float = 0.0  # of these, served within the objective since the first try
    tries: int = 0  # requests sent in this second, including retries


class SimulatedClients:
    """All clients of a fleet, with counts of the results of their requests."""

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        classes: Sequence[RequestClass],
        replica_count: int,
        replica_loads: Sequence[float],
        max_retries: int,
        *,
        with_keys: bool,
        deliver: Callable[[int, RequestReceived], None],
    ) -> None:
        """``replica_loads``: each replica's relative load, empty if all are equal.

        ``with_keys``: requests carry a key, which is the same in their retries.
        """
        self.sent = 0  # requests, not counting retries
        self.outcomes: Counter[Outcome] = Counter()  # of each try
        # A late response counts as SERVED here.
        self.by_replica: Counter[tuple[int, Outcome]] = Counter()
        self.by_second: dict[int, SecondTotals] = {}
        self._events = events
        self._random = rng
        self._classes = {request_class.name: request_class for request_class in classes}
        self._replicas = range(replica_count)
        self._replica_loads = replica_loads
        self._max_retries = max_retries
        self._with_keys = with_keys
        self._deliver = deliver
        self._ids = itertools.count(1)
        self._pending: dict[tuple[int, int], ClientRequest] = {}  # by replica and request

    def schedule_requests(self, per_second: float, seconds: float, class_name: str) -> None:
        """Schedule requests as a Poisson process, each to a random replica."""
        begin_us = self._events.now
        rate_per_us = per_second / SECOND_US
        at_us = begin_us + self._random.expovariate(rate_per_us)
        while at_us < begin_us + seconds * SECOND_US:
            replica = self._choose_replica()
            self._events.schedule(at_us, partial(self.send_request, replica, class_name))
            at_us += self._random.expovariate(rate_per_us)

    def _choose_replica(self) -> int:
        if self._replica_loads:
            return self._random.choices(self._replicas, self._replica_loads)[0]
        return self._random.randrange(len(self._replicas))

    def send_request(self, replica: int, class_name: str) -> None:
        """Send a new request to a replica."""
        now = self._events.now
        self.sent += 1
        request_class = self._classes[class_name]
        self._totals_at(now).offered_weight += request_class.priority_weight
        self._send(replica, ClientRequest(request_class, self.sent, now, now))

    def _send(self, replica: int, request: ClientRequest) -> None:
        request_id = next(self._ids)
        self._pending[replica, request_id] = request
        self._totals_at(self._events.now).tries += 1
        key = str(request.number) if self._with_keys else ""
        request_class = request.request_class
        self._deliver(
            replica,
            RequestReceived(request_id, request_class.name, request_class.deadline, key=key),
        )

    def is_pending(self, replica: int, request_id: int) -> bool:
        """Return whether the request is not finished yet."""
        return (replica, request_id) in self._pending

    def finish(
        self, replica: int, request_id: int, outcome: Outcome, retry_after_us: int = 0
    ) -> None:
        """Count the result of a try, and schedule the client's retry if the request was rejected.

        Raises KeyError if the request is finished already.
        """
        request = self._pending.pop((replica, request_id))
        self.by_replica[replica, outcome] += 1
        now = self._events.now
        objective = request.request_class.latency_objective
        if outcome is Outcome.SERVED and now - request.first_sent_us <= objective:
            weight = request.request_class.priority_weight
            self._totals_at(request.first_sent_us).served_weight += weight
        if outcome is Outcome.REJECTED and request.tries <= self._max_retries:
            self._schedule_retry(request, retry_after_us)
        if outcome is Outcome.SERVED and now - request.sent_us > objective:
            outcome = Outcome.LATE
        self.outcomes[outcome] += 1

    def _schedule_retry(self, request: ClientRequest, retry_after_us: int) -> None:
        now = self._events.now
        delay_us = max(MIN_RETRY_DELAY_US, retry_after_us) * self._random.uniform(*RETRY_JITTER)
        replica = self._random.randrange(len(self._replicas))
        retry = ClientRequest(
            request.request_class,
            request.number,
            request.first_sent_us,
            sent_us=now,
            tries=request.tries + 1,
        )
        self._events.schedule(now + delay_us, lambda: self._send(replica, retry))

    def _totals_at(self, at_us: int) -> SecondTotals:
        return self.by_second.setdefault(at_us // SECOND_US, SecondTotals())
