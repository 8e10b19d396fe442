"""A discovery service that answers one poll after another."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from oakbridge.lab.simulation.event_queue import SECOND_US, EventQueue
from oakbridge.lab.simulation.server import SimulatedServer
from oakbridge.policy.events import Endpoint, EndpointListReceived, Event

MAX_WAIT_US = 2 * SECOND_US  # a poll that would wait longer fails
FAILURE_DELAY_US = 1000  # from a poll to its failure

Deliver = Callable[[int, Event], None]


class SimulatedDiscovery:
    """Answers polls in the order of their arrival, each after ``time_per_poll_us`` of work."""

    def __init__(
        self, events: EventQueue, servers: Mapping[str, SimulatedServer], deliver: Deliver
    ) -> None:
        """``servers``: the listed servers; the mapping may change later."""
        self.polls = 0
        self.failed_polls = 0
        self.time_per_poll_us = 0
        self._free_at_us = 0
        self._events = events
        self._servers = servers
        self._deliver = deliver

    def poll(self, replica: int) -> None:
        """Answer a replica's poll with the complete list, or with a failure."""
        now = self._events.now
        self.polls += 1
        if max(0, self._free_at_us - now) > MAX_WAIT_US:
            self.failed_polls += 1
            failure = EndpointListReceived(failed=True)
            self._events.schedule(now + FAILURE_DELAY_US, lambda: self._deliver(replica, failure))
            return
        self._free_at_us = max(now, self._free_at_us) + self.time_per_poll_us
        endpoints = [
            Endpoint(server.name, started_at=server.started_at_us)
            for server in self._servers.values()
        ]
        response = EndpointListReceived(endpoints)
        self._events.schedule(self._free_at_us, lambda: self._deliver(replica, response))
