"""Slow start: limits on the requests that a recently started server gets while it warms up."""

import random
from dataclasses import dataclass, field

from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.records import Server
from oakbridge.policy.settings import Settings
from oakbridge.policy.throughput import Rate
from oakbridge.policy.timers import SECOND_US

SAFE_OVERLOAD_FRACTION = 0.8  # of the load at which a starting server fails


@dataclass(eq=False)
class SlowStart:
    """Limits requests to starting servers, based on the rate that warm servers have carried."""

    settings: Settings
    random: random.Random
    latency: LatencyAverages
    is_handed_over: bool = False  # the successor sends this node's share to starting servers
    warming: dict[str, Server] = field(default_factory=dict)  # servers that may still be cold
    rate: Rate = field(default_factory=Rate)  # responses of one warm server

    def capacity_share(self, server: Server, now: int) -> float:
        """Return the share of its capacity that a server has at least, above 0 up to 1.

        Before its start, a server counts as just started.
        """
        settings, age = self.settings, now - server.started_at
        if not server.started_at or age >= settings.slow_start_window:
            return 1.0
        warm_fraction = max(0, age) / max(1, settings.slow_start_window)
        return settings.slow_start_minimum + (1 - settings.slow_start_minimum) * warm_fraction

    def is_exhausted(self, server: Server, now: int) -> bool:
        """Whether a cold server has received all requests that this replica may send it now."""
        share = self.capacity_share(server, now)
        if share >= 1 or self.is_handed_over:
            return share < 1
        rate = (
            self.rate.peak
            * share
            * max(1.0, SAFE_OVERLOAD_FRACTION * self.settings.overload_factor)
        )
        if server.tokens_at < 0:
            server.tokens = self.random.random()  # random, so that not all replicas send at once
        else:
            server.tokens = min(1.0, server.tokens + rate * (now - server.tokens_at) / SECOND_US)
        server.tokens_at = now
        return server.tokens < 1

    def update_rate(self, responses: int, servers: int, elapsed: int, now: int) -> None:
        """Update the rate of a warm server; a cold one counts as its lowest share of capacity.

        ``responses``: number since the start; ``servers``: number listed; ``elapsed``: microseconds
        since the last update.
        """
        warming = {
            name: server for name, server in self.warming.items() if server.partition is not None
        }
        shares = {name: self.capacity_share(server, now) for name, server in warming.items()}
        self.warming = {name: server for name, server in warming.items() if shares[name] < 1}
        warm_equivalents = servers - sum(1 - share for share in shares.values() if share < 1)
        # A server that handles one request at a time, shared by all replicas.
        min_rate = SECOND_US / self.latency.mean / self.settings.replica_count
        self.rate.update(
            responses, max(warm_equivalents, self.settings.slow_start_minimum), elapsed, min_rate
        )
