"""The subset of servers that this replica uses, and their weights by zone and by assignment."""

import math
import random
from dataclasses import dataclass, field

from oakbridge.policy.events import ZoneWeights
from oakbridge.policy.membership import Membership
from oakbridge.policy.records import MIN_SCORE, Server
from oakbridge.policy.settings import Settings
from oakbridge.policy.timers import SECOND_US

SUBSETS_PER_SERVER = 5  # average number of replicas whose subset contains a server
MIN_SUBSET_SIZE = 4
WIDEN_LOAD = 1.0  # own attempts in flight per subset member above which the subset is widened
NARROW_LOAD = 0.25  # own attempts in flight per subset member below which the subset is narrowed
WIDEN_FAILURE_RATE = 0.1
MIN_ZONE_WEIGHT = 0.01  # above 0, as servers are drawn by weight
CLOSED_ZONE_EJECTION_US = 3600 * SECOND_US


@dataclass(eq=False)
class Subset:
    """Sizes and weights the subset; a zone of weight 0 is closed and gets probes only."""

    settings: Settings
    random: random.Random
    members: Membership
    assignment: dict[str, float] = field(default_factory=dict)  # empty: a random subset
    zone_weights: dict[str, float] = field(default_factory=dict)  # of zones with a weight below 1
    closed_zones: set[str] = field(default_factory=set)
    probe_targets: list[Server] = field(default_factory=list)  # each gets one request as a probe

    def min_size(self) -> int:
        """Return the lowest size at which the subsets of all replicas cover every server evenly."""
        servers = self.members.servers
        if self.assignment:
            return sum(name in servers for name in self.assignment)
        size = math.ceil(SUBSETS_PER_SERVER * len(servers) / self.settings.replica_count)
        return min(len(servers), max(MIN_SUBSET_SIZE, size))

    def widen(self, now: int) -> None:
        """Add a random server of the reserve; with a local zone, half of the subset is local."""
        subset, reserve = self.members.subset, self.members.reserve
        local_count = subset.near.count + subset.near_inactive.count
        if self.members.local_zone and 2 * local_count <= len(subset) and reserve.near.count:
            server = reserve.near.draw(self.random)
        else:
            with_ejected = not self.closed_zones or not (reserve.near.count or reserve.far.count)
            server = reserve.draw(self.random, with_inactive=with_ejected)
        self.members.move(server, subset, now)

    def fill(self, now: int) -> None:
        """Widen the subset to its lowest size."""
        while len(self.members.reserve) and len(self.members.subset) < self.min_size():
            self.widen(now)

    def adjust_size(self, in_flight: int, failure_rate: float, now: int) -> None:
        """Add a server under high load or many failures, and remove one under low load."""
        subset, reserve = self.members.subset, self.members.reserve
        load = in_flight / max(1, len(subset))
        if (load > WIDEN_LOAD or failure_rate > WIDEN_FAILURE_RATE) and len(reserve):
            self.widen(now)
        elif load < NARROW_LOAD and len(subset) > self.min_size():
            server = subset.draw(self.random, with_inactive=True)
            if server.id not in self.assignment:
                self.members.move(server, reserve, now)

    def assign(self, weights: dict[str, float], now: int) -> None:
        """Use these servers with these weights; if empty, keep the subset, at full weights."""
        members, old_weights, self.assignment = self.members, self.assignment, weights
        for name in dict.fromkeys([*old_weights, *weights]):
            if server := members.servers.get(name):
                weight = server.weight / old_weights.get(name, 1.0) * weights.get(name, 1.0)
                members.set_weight(server, weight, now)
                if name in weights and server.partition is not members.subset:
                    members.move(server, members.subset, now)
        for server in members.subset.items(with_inactive=True) if weights else ():
            if server.id not in weights:
                members.move(server, members.reserve, now)

    def set_zone_weights(self, event: ZoneWeights, now: int) -> None:
        """Apply new zone weights, replace excluded subset members, and choose servers to probe."""
        reduced = {zone: weight for zone, weight in event.weights.items() if weight < 1}
        old_weights, was_closed, excluded_count = self.zone_weights, self.closed_zones, 0
        self.zone_weights = {zone: max(MIN_ZONE_WEIGHT, weight) for zone, weight in reduced.items()}
        self.closed_zones = {zone for zone, weight in reduced.items() if weight <= 0}
        for zone in old_weights.keys() | reduced.keys():
            for server in list(self.members.by_zone.get(zone, {}).values()):
                weight = (
                    server.weight / old_weights.get(zone, 1.0) * self.zone_weights.get(zone, 1.0)
                )
                self.members.set_weight(server, weight, now)
                if zone in self.closed_zones:
                    excluded_count += (
                        zone not in was_closed and server.partition is self.members.subset
                    )
                    self.exclude(server, now)
                elif zone in was_closed:
                    server.forget_ejections()
                    server.score = MIN_SCORE
                    server.max_in_flight = 1.0  # it may be cold; each response raises the limit
                    self.members.update_ejection(server, now)
        for _ in range(min(excluded_count, len(self.members.reserve))):
            self.widen(now)
        closed = [zone for zone in event.probe_zones if zone in self.closed_zones]
        members = [list(self.members.by_zone.get(zone, {}).values()) for zone in closed]
        self.probe_targets = [self.random.choice(servers) for servers in members if servers]

    def exclude(self, server: Server, now: int) -> None:
        """Eject a server of a closed zone for a long time, so that it is not drawn."""
        # Renews the ejection only once half of it is over, however often this is called.
        if server.ejected_until < now + CLOSED_ZONE_EJECTION_US // 2:
            server.ejected_until = now + CLOSED_ZONE_EJECTION_US
            self.members.update_ejection(server, now)
