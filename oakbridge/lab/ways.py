"""Plain ways to choose a server, to set the module beside: in simulated time, with the module's own events and actions.

They retry a failed attempt once, elsewhere, and have no limits, no health and no budget: for evenness alone.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from oakbridge.policy.actions import Action, FailRequest, SendAttempt
from oakbridge.policy.events import AttemptEnded, EndpointListReceived, EndpointState, Event, RequestReceived

TRIES = 2


@dataclass
class Call:
    """A request's attempts."""

    attempts: list[str] = field(default_factory=list)


class Plain:
    """One copy that goes by ``choose``."""

    def __init__(self, choose: Callable[[Plain], str], seed: int) -> None:
        self.choose, self.random = choose, random.Random(seed)
        self.servers: list[str] = []
        self.requests: dict[int, Call] = {}
        self.out: Counter[str] = Counter()
        self.turn = seed  # of round robin: each copy begins elsewhere
        self.subset: list[str] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event; returns what to do."""
        match event:
            case EndpointListReceived():
                gone = {s.id for s in event.endpoints if s.state != EndpointState.UP}
                new = [
                    s.id for s in event.endpoints if s.state == EndpointState.UP and s.id not in self.servers
                ]
                kept = [] if event.complete else [s for s in self.servers if s not in gone]
                self.servers = [*kept, *(new if not event.complete else [s.id for s in event.endpoints])]
                self.subset = []
            case RequestReceived():
                self.requests[event.request_id] = Call()
                return [self._send(event.request_id, event.time_left)]
            case AttemptEnded() if event.request_id in self.requests:
                self.out[event.server] -= 1
                call = self.requests[event.request_id]
                if event.request_finished or len(call.attempts) >= TRIES:
                    del self.requests[event.request_id]
                    return [] if event.request_finished else [FailRequest(event.request_id)]
                return [self._send(event.request_id, 1_000_000)]
        return []

    def _send(self, request: int, left: int) -> SendAttempt:
        server = self.choose(self)
        self.requests[request].attempts.append(server)
        self.out[server] += 1
        return SendAttempt(request, server, left)


def at_random(copy: Plain) -> str:
    """Any server."""
    return copy.random.choice(copy.servers)


def round_robin(copy: Plain) -> str:
    """Each in turn."""
    copy.turn += 1
    return copy.servers[copy.turn % len(copy.servers)]


def least_loaded(copy: Plain) -> str:
    """Of all, one with the fewest own calls out."""
    least = min(copy.out[s] for s in copy.servers)
    return copy.random.choice([s for s in copy.servers if copy.out[s] == least])


def random_subset(many: int) -> Callable[[Plain], str]:
    """The less busy of two of a subset that each copy draws once."""

    def choose(copy: Plain) -> str:
        if not copy.subset:
            copy.subset = copy.random.sample(copy.servers, min(many, len(copy.servers)))
        return min(copy.random.sample(copy.subset, min(2, len(copy.subset))), key=lambda s: copy.out[s])

    return choose
