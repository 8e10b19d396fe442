"""Which servers this replica uses, and by which weights: those of zones and of its assignment."""

import math
import random
from dataclasses import dataclass, field

from oakbridge.policy.events import ZoneWeights
from oakbridge.policy.membership import Membership
from oakbridge.policy.records import SCORE_MIN, Server
from oakbridge.policy.settings import Settings
from oakbridge.policy.timers import SECOND_US

SUBSETS_PER_SERVER = 5  # members of subsets for each server, over all replicas
MIN_SIZE = 4
WIDEN_LOAD = 1.0  # own attempts in flight for each member
NARROW_LOAD = 0.25
WIDEN_FAILURE_RATE = 0.1
MIN_ZONE_WEIGHT = 0.01  # never nothing, as draws are by weight
CLOSED_US = 3600 * SECOND_US


@dataclass(eq=False)
class Subset:
    """Widens, narrows and weighs the subset; a zone of no weight is closed, but for probes."""

    settings: Settings
    random: random.Random
    members: Membership
    assignment: dict[str, float] = field(default_factory=dict)  # if replicas divide the servers
    zone_weights: dict[str, float] = field(default_factory=dict)  # of zones that get less than all
    closed_zones: set[str] = field(default_factory=set)
    probe_targets: list[Server] = field(default_factory=list)  # in these, each for one request

    def min_size(self) -> int:
        """Return the least size at which all replicas together cover every server evenly."""
        servers = self.members.servers
        if self.assignment:
            return sum(name in servers for name in self.assignment)
        cover = math.ceil(SUBSETS_PER_SERVER * len(servers) / self.settings.replica_count)
        return min(len(servers), max(MIN_SIZE, cover))

    def widen(self, now: int) -> None:
        """Take a random server in; half are local, where crossing zones has a price."""
        subset, reserve = self.members.subset, self.members.reserve
        local = subset.near.count + subset.near_inactive.count
        if self.members.local_zone and 2 * local <= len(subset) and reserve.near.count:
            server = reserve.near.draw(self.random)
        else:
            ejected = not self.closed_zones or not (reserve.near.count or reserve.far.count)
            server = reserve.draw(self.random, with_inactive=ejected)
        self.members.move(server, subset, now)

    def fill(self, now: int) -> None:
        """Widen up to the least size."""
        while len(self.members.reserve) and len(self.members.subset) < self.min_size():
            self.widen(now)

    def review(self, in_flight: int, failure_rate: float, now: int) -> None:
        """Widen by one server when attempts pile up or fail, narrow by one when quiet."""
        subset, reserve = self.members.subset, self.members.reserve
        load = in_flight / max(1, len(subset))
        if (load > WIDEN_LOAD or failure_rate > WIDEN_FAILURE_RATE) and len(reserve):
            self.widen(now)
        elif load < NARROW_LOAD and len(subset) > self.min_size():
            server = subset.draw(self.random, with_inactive=True)
            if server.id not in self.assignment:
                self.members.move(server, reserve, now)

    def assign(self, weights: dict[str, float], now: int) -> None:
        """Use these servers by these weights; with none of them, those in use stay."""
        members, before, self.assignment = self.members, self.assignment, weights
        for name in dict.fromkeys([*before, *weights]):
            if server := members.servers.get(name):
                weight = server.weight / before.get(name, 1.0) * weights.get(name, 1.0)
                members.reweight(server, weight, now)
                if name in weights and server.partition is not members.subset:
                    members.move(server, members.subset, now)
        for server in members.subset.items(with_inactive=True) if weights else ():
            if server.id not in weights:
                members.move(server, members.reserve, now)

    def weigh_zones(self, event: ZoneWeights, now: int) -> None:
        """Take other weights of zones, replace what the subset loses, and choose whom to probe."""
        less = {zone: weight for zone, weight in event.weights.items() if weight < 1}
        before, was_closed, lost = self.zone_weights, self.closed_zones, 0
        self.zone_weights = {zone: max(MIN_ZONE_WEIGHT, weight) for zone, weight in less.items()}
        self.closed_zones = {zone for zone, weight in less.items() if weight <= 0}
        for zone in before.keys() | less.keys():
            for server in list(self.members.by_zone.get(zone, {}).values()):
                weight = server.weight / before.get(zone, 1.0) * self.zone_weights.get(zone, 1.0)
                self.members.reweight(server, weight, now)
                if zone in self.closed_zones:
                    lost += zone not in was_closed and server.partition is self.members.subset
                    self.keep_out(server, now)
                elif zone in was_closed:
                    server.forget_ejections()
                    server.score = SCORE_MIN
                    server.max_in_flight = 1.0  # it may be cold: more as attempts are answered
                    self.members.update_ejection(server, now)
        for _ in range(min(lost, len(self.members.reserve))):
            self.widen(now)
        closed = [zone for zone in event.probe_zones if zone in self.closed_zones]
        members = [list(self.members.by_zone.get(zone, {}).values()) for zone in closed]
        self.probe_targets = [self.random.choice(servers) for servers in members if servers]

    def keep_out(self, server: Server, now: int) -> None:
        """Keep a server of a closed zone out of all draws."""
        if server.ejected_until < now + CLOSED_US // 2:  # once, however often it is said
            server.ejected_until = now + CLOSED_US
            self.members.update_ejection(server, now)
