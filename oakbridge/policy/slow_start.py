"""How much a server that has started lately is sent, while it warms up."""

import random
from dataclasses import dataclass, field

from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.records import Server
from oakbridge.policy.settings import Settings
from oakbridge.policy.throughput import Rate
from oakbridge.policy.timers import SECOND_US

OVERLOAD_SHARE = 0.8  # of what pushes a cold server over


@dataclass(eq=False)
class SlowStart:
    """Bounds on what servers get while they warm up, by what a warm one was seen to carry."""

    settings: Settings
    random: random.Random
    latency: LatencyAverages
    is_handed_over: bool = False  # the process that took over has this one's part of cold servers
    warming: dict[str, Server] = field(default_factory=dict)  # servers that may still warm up
    rate: Rate = field(default_factory=Rate)  # answers of a warm server

    def capacity_share(self, server: Server, now: int) -> float:
        """Return the least share of its capacity that a server can have, also before its start."""
        settings, age = self.settings, now - server.started
        if not server.started or age >= settings.slow_start_window:
            return 1.0
        warmed = max(0, age) / max(1, settings.slow_start_window)
        return settings.slow_start_minimum + (1 - settings.slow_start_minimum) * warmed

    def is_exhausted(self, server: Server, now: int) -> bool:
        """Whether a cold server has had this replica's part of most that it bears."""
        share = self.capacity_share(server, now)
        if share >= 1 or self.is_handed_over:
            return share < 1
        rate = self.rate.peak * share * max(1.0, OVERLOAD_SHARE * self.settings.overload_factor)
        if server.tokens_at < 0:
            server.tokens = self.random.random()  # not all replicas send at once
        else:
            server.tokens = min(1.0, server.tokens + rate * (now - server.tokens_at) / SECOND_US)
        server.tokens_at = now
        return server.tokens < 1

    def update_rate(self, answers: int, servers: int, elapsed: int, now: int) -> None:
        """Take in what servers carried; a cold one counts as little as it may be able to."""
        warming = {name: s for name, s in self.warming.items() if s.partition is not None}
        shares = {name: self.capacity_share(server, now) for name, server in warming.items()}
        self.warming = {name: server for name, server in warming.items() if shares[name] < 1}
        able = servers - sum(1 - share for share in shares.values() if share < 1)
        least = SECOND_US / self.latency.mean / self.settings.replica_count  # one request at a time
        self.rate.update(answers, max(able, self.settings.slow_start_minimum), elapsed, least)
