"""Common strategies of server selection, to compare with the balancer in simulated time.

A replica with such a strategy handles the balancer's events, returns its actions, and retries a
failed attempt once.  It has no limits, health checks or retry budget, so that only the distribution
of load can be compared.
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
        """``seed``: of the random draws, and the first position in round robin."""
        self.random = random.Random(seed)
        self.servers: list[str] = []
        self.requests: dict[int, TrackedRequest] = {}
        self.in_flight: Counter[str] = Counter()  # by server
        self.subset: list[str] = []  # empty: not drawn yet
        self.round_robin_position = seed
        self._select = select

    def handle(self, now: int, event: Event) -> list[Action]:  # noqa: ARG002 - interface
        """Handle one event; return the actions to carry out."""
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
        removed = {entry.id for entry in event.endpoints if entry.state != EndpointState.UP}
        added = [
            entry.id
            for entry in event.endpoints
            if entry.state == EndpointState.UP and entry.id not in self.servers
        ]
        self.servers = [*(name for name in self.servers if name not in removed), *added]

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
    """Select a random server."""
    return replica.random.choice(replica.servers)


def select_round_robin(replica: StrategyReplica) -> str:
    """Select each server in turn."""
    replica.round_robin_position += 1
    return replica.servers[replica.round_robin_position % len(replica.servers)]


def select_least_loaded(replica: StrategyReplica) -> str:
    """Select a random one of the servers with the fewest attempts in flight from this replica."""
    fewest = min(replica.in_flight[name] for name in replica.servers)
    least_loaded = [name for name in replica.servers if replica.in_flight[name] == fewest]
    return replica.random.choice(least_loaded)


def select_from_random_subset(size: int) -> Strategy:
    """Return the strategy of two random choices within a random subset of each replica.

    The candidate with fewer attempts in flight is selected.
    """

    def select(replica: StrategyReplica) -> str:
        if not replica.subset:
            count = min(size, len(replica.servers))
            replica.subset = replica.random.sample(replica.servers, count)
        candidates = replica.random.sample(replica.subset, min(2, len(replica.subset)))
        return min(candidates, key=lambda name: replica.in_flight[name])

    return select
