"""A discovery service that answers one poll after another."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from oakbridge.lab.simulation.event_queue import SECOND_US, EventQueue
from oakbridge.lab.simulation.server import SimulatedServer
from oakbridge.policy.events import Endpoint, EndpointListReceived, Event

MAX_WAIT_US = 2 * SECOND_US
FAILURE_DELAY_US = 1000

Deliver = Callable[[int, Event], None]


class SimulatedDiscovery:
    """Poll times are in sequence; a poll that would wait for longer than two seconds fails."""

    def __init__(
        self, events: EventQueue, servers: Mapping[str, SimulatedServer], deliver: Deliver
    ) -> None:
        """``servers``: all that are listed, also those that come later."""
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
        endpoints = [Endpoint(s.name, started_at=s.started_at_us) for s in self._servers.values()]
        answer = EndpointListReceived(endpoints)
        self._events.schedule(self._free_at_us, lambda: self._deliver(replica, answer))
