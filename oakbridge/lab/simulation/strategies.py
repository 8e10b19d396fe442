"""Textbook strategies of server selection, to compare the balancer with in simulated time.

They take the balancer's events and return its actions, retry a failed attempt once, and have no
limits, no health and no retry budget: they serve to compare the distribution of load alone.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from oakbridge.policy.actions import Action, FailRequest, SendAttempt
from oakbridge.policy.events import (
    AttemptEnded,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestReceived,
)

MAX_ATTEMPTS = 2
RETRY_TIMEOUT_US = 1_000_000

Strategy = Callable[["StrategyReplica"], str]  # returns a server's name


@dataclass
class TrackedRequest:
    """The servers of a request's attempts, in order."""

    attempts: list[str] = field(default_factory=list)


class StrategyReplica:
    """One replica that selects servers by a strategy."""

    def __init__(self, select: Strategy, seed: int) -> None:
        """``seed``: of its random draws, and its offset in round robin."""
        self.random = random.Random(seed)
        self.servers: list[str] = []
        self.requests: dict[int, TrackedRequest] = {}
        self.in_flight: Counter[str] = Counter()  # by server
        self.subset: list[str] = []  # empty: to be drawn
        self.round_robin_position = seed
        self._select = select

    def handle(self, now: int, event: Event) -> list[Action]:  # noqa: ARG002 - the balancer's form
        """Take one event and return what to do."""
        match event:
            case EndpointListReceived():
                self._apply_endpoint_list(event)
            case RequestReceived():
                self.requests[event.request_id] = TrackedRequest()
                return [self._send_attempt(event.request_id, event.time_left)]
            case AttemptEnded() if event.request_id in self.requests:
                return self._end_attempt(event)
        return []

    def _apply_endpoint_list(self, event: EndpointListReceived) -> None:
        self.subset = []
        if event.complete:
            self.servers = [endpoint.id for endpoint in event.endpoints]
            return
        gone = {e.id for e in event.endpoints if e.state != EndpointState.UP}
        added = [
            e.id
            for e in event.endpoints
            if e.state == EndpointState.UP and e.id not in self.servers
        ]
        self.servers = [*(name for name in self.servers if name not in gone), *added]

    def _end_attempt(self, event: AttemptEnded) -> list[Action]:
        self.in_flight[event.server] -= 1
        if event.request_finished:
            del self.requests[event.request_id]
            return []
        if len(self.requests[event.request_id].attempts) >= MAX_ATTEMPTS:
            del self.requests[event.request_id]
            return [FailRequest(event.request_id)]
        return [self._send_attempt(event.request_id, RETRY_TIMEOUT_US)]

    def _send_attempt(self, request_id: int, timeout_us: int) -> SendAttempt:
        server = self._select(self)
        self.requests[request_id].attempts.append(server)
        self.in_flight[server] += 1
        return SendAttempt(request_id, server, timeout_us)


def select_random(replica: StrategyReplica) -> str:
    """Select any server."""
    return replica.random.choice(replica.servers)


def select_round_robin(replica: StrategyReplica) -> str:
    """Select each server in turn."""
    replica.round_robin_position += 1
    return replica.servers[replica.round_robin_position % len(replica.servers)]


def select_least_loaded(replica: StrategyReplica) -> str:
    """Select a random one of the servers with the fewest own attempts in flight."""
    fewest = min(replica.in_flight[name] for name in replica.servers)
    least_loaded = [name for name in replica.servers if replica.in_flight[name] == fewest]
    return replica.random.choice(least_loaded)


def select_from_random_subset(size: int) -> Strategy:
    """Return a strategy: the better of two random servers of a subset that each replica draws."""

    def select(replica: StrategyReplica) -> str:
        if not replica.subset:
            count = min(size, len(replica.servers))
            replica.subset = replica.random.sample(replica.servers, count)
        candidates = replica.random.sample(replica.subset, min(2, len(replica.subset)))
        return min(candidates, key=lambda name: replica.in_flight[name])

    return select
