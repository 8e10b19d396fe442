"""Which servers a request may go to: two random ones, of which the less busy gets it."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from oakbridge.policy.membership import Membership
from oakbridge.policy.outlier_detection import OutlierDetection
from oakbridge.policy.records import SCORE_MIN, OpenRequest, Server
from oakbridge.policy.retry_safety import RetrySafety
from oakbridge.policy.slow_start import SlowStart
from oakbridge.policy.subset import Subset
from oakbridge.policy.throughput import faded
from oakbridge.policy.timers import SECOND_US
from oakbridge.policy.weighted_pool import RING_STEP, TieredPool, weighted_shuffle

QUICK_DRAWS = 6  # nearly always two of these may be used
QUEUED_WEIGHT = 0.5  # of a request that a server reports as waiting, against an own one in flight
CROSS_ZONE_LOAD = 2.0  # a server in another zone counts as so many times as busy
MAX_EJECTED_SHARE = 0.34  # with more out, an ejected server is better than none
QUIET_SLOWNESS = 0.9  # of a server without news
SLOWNESS_FADE_US = 8 * SECOND_US
SLOWNESS_MAX = 6.0

Confined = list[Server] | None  # all servers that a request may go to, if these are few


@dataclass(eq=False)
class ServerSelection:
    """Chooses candidates and compares how busy they are."""

    random: random.Random
    members: Membership
    subset: Subset
    safety: RetrySafety
    outliers: OutlierDetection
    slow_start: SlowStart

    def choose_candidates(self, request: OpenRequest, in_flight: int, now: int) -> list[Server]:
        """Return two random servers that a request may go to; fewer, where there are no others."""
        subset, reserve = self.members.subset, self.members.reserve
        self.members.readmit(now)
        targets = self.subset.probe_targets
        while targets and not request.attempts and request.idempotent:
            if (server := targets.pop()).partition is not None and not server.in_flight:
                return [server]
        even = math.ceil((in_flight + 1) / max(1, len(subset)))
        if not request.attempts and not self.members.local_zone and subset.near.count:
            draws = (subset.near.draw(self.random) for _ in range(QUICK_DRAWS))
            pair, _ = self._first_two(draws, request, even, now)
            if len(pair) == 2:
                return pair
        confined = self._confined_to(request) if request.attempts else None
        # One with more than its even part of own attempts is passed over while others have less.
        pair, passed_over = self._first_two(self._offer(subset, confined), request, even, now)
        if not pair and passed_over:
            pair, _ = self._first_two(self._offer(subset, confined), request, math.inf, now)
        if not pair:
            pair, _ = self._first_two(self._offer(reserve, confined), request, math.inf, now)
        return pair or self._last_resort(request, confined, now)

    def _first_two(
        self, servers: Iterable[Server], request: OpenRequest, busy_at: float, now: int
    ) -> tuple[list[Server], bool]:
        """Return the first two that may be used, and whether busy ones were passed over."""
        tried = {a.server.id for a in request.attempts} if request.attempts else ()
        pair: list[Server] = []
        passed_over = False
        for server in servers:
            if server.id in tried:
                continue
            if tried and not self.safety.allows_attempt(request, server, now):
                continue
            if self.weighted_in_flight(server, now) >= busy_at:
                passed_over = True
            elif server not in pair and self.is_usable(server, request, now):
                pair.append(server)
                if len(pair) == 2:
                    break
        return pair, passed_over

    def _last_resort(self, request: OpenRequest, confined: Confined, now: int) -> list[Server]:
        """Return an ejected or tried server, where that is better than none."""
        closed = self.subset.closed_zones
        closed_count = sum(len(self.members.by_zone.get(zone, ())) for zone in closed)
        max_ejected = MAX_EJECTED_SHARE * (len(self.members.servers) - closed_count)
        if not request.attempts and self.members.ejected_count() - closed_count <= max_ejected:
            return []
        for server in self._offer(self.members.subset, confined, with_ejected=True):
            allowed = self.safety.allows_attempt(request, server, now)
            usable = allowed and not self.slow_start.is_exhausted(server, now)
            if usable and server.zone not in closed:
                return [server]
        return []

    def _offer(
        self, servers: TieredPool[Server], confined: Confined, with_ejected: bool = False
    ) -> Iterable[Server]:
        """Return servers in random order."""
        if confined is not None:
            return weighted_shuffle([s for s in confined if s.partition is servers], self.random)
        local_first = bool(self.members.local_zone)
        return servers.candidates(self.random, near_first=local_first, with_inactive=with_ejected)

    def _confined_to(self, request: OpenRequest) -> Confined:
        """Return the few servers that a request is confined to: draws from all may miss them."""
        klass, version = request.klass, request.list_version
        ran = self.safety.may_have_run(request) if request.has_key else []
        if ran and klass.dedup_scope != "all":
            group = self.members.deduplicating(ran[0], klass.dedup_scope)
            if len(group) <= RING_STEP:
                return list(group.values())
        if self.safety.settings.pin_endpoint_list and version < self.members.version:
            since = self.members.servers_since(version)
            return since if len(since) <= RING_STEP else None
        return None

    def is_usable(self, server: Server, request: OpenRequest, now: int) -> bool:
        """Whether this request may go to this server now."""
        if server.ejected_until:  # later one request that may be repeated tries it
            risky = not request.repeatable and self.safety.settings.any_repeatable
            if now < server.ejected_until or server.in_flight or risky:
                return False
        if server.started and self.slow_start.is_exhausted(server, now):
            return False
        if not server.in_flight:
            return True
        free = len(server.in_flight) < server.max_in_flight
        return free and not self.outliers.is_hung(server, now)

    def load(self, server: Server, now: int) -> tuple[float, float]:
        """Return how busy it counts; of two that are equal, the one that rested longer is less."""
        own = float(len(server.in_flight))
        if server.score > SCORE_MIN:
            own += self.outliers.score(server, now) - SCORE_MIN
        if server.started:
            own /= self.slow_start.capacity_share(server, now)
        if server.queued:  # its last report is old and noisy: a correction that fades
            fade = max(0.0, 1 - (now - server.reported_at) / (2 * SECOND_US))
            own += QUEUED_WEIGHT * server.queued * fade
        load = (own + server.weight) / server.weight * self.slowness(server, now)
        if self.members.local_zone and server.zone != self.members.local_zone:
            load *= CROSS_ZONE_LOAD
        return load, (server.last_sent_at - now) * server.weight

    def slowness(self, server: Server, now: int) -> float:
        """Return its latest latencies, which fade, or half of how long one is out, by the mean."""
        elapsed = now - server.slowness_at
        slowness = faded(server.slowness, QUIET_SLOWNESS, elapsed, SLOWNESS_FADE_US)
        if not server.in_flight:
            return slowness
        oldest = next(iter(server.in_flight.values()))
        return max(slowness, (now - oldest.sent_at) / (2 * self.outliers.latency.mean))

    def record_latency(self, server: Server, latency: float, served: bool, now: int) -> None:
        """Take a latency in, by the mean; what was cancelled would have taken longer."""
        latency, slowness = min(latency, SLOWNESS_MAX), self.slowness(server, now)
        if served or latency > slowness:
            server.slowness = slowness + 0.25 * (latency - slowness)
            server.slowness_at = now

    def weighted_in_flight(self, server: Server, now: int) -> float:
        """Return own attempts in flight; on a much slower server each counts for several."""
        if not server.in_flight:
            return 0.0
        return len(server.in_flight) * max(1.0, self.slowness(server, now) - 1)
