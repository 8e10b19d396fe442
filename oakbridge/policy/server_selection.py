"""Server selection: two random servers as candidates, of which the less loaded is used."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from oakbridge.policy.membership import Membership
from oakbridge.policy.outlier_detection import OutlierDetection
from oakbridge.policy.records import MIN_SCORE, OpenRequest, Server
from oakbridge.policy.retry_safety import RetrySafety
from oakbridge.policy.slow_start import SlowStart
from oakbridge.policy.subset import Subset
from oakbridge.policy.throughput import decayed
from oakbridge.policy.timers import SECOND_US
from oakbridge.policy.weighted_pool import SCAN_LENGTH, TieredPool, weighted_shuffle

QUICK_DRAWS = 6  # enough that two of the drawn servers are nearly always usable
QUEUED_WEIGHT = 0.5  # load of a request that a server reports as queued; 1 is an own attempt
CROSS_ZONE_LOAD_FACTOR = 2.0  # factor on the load of a server in another zone
MAX_EJECTED_FRACTION = 0.34  # with more servers ejected, ejected ones are used if need be
DEFAULT_SLOWNESS = 0.9  # to which the slowness of a server without new latencies decays
SLOWNESS_DECAY_US = 8 * SECOND_US
MAX_SLOWNESS = 6.0

AllowedServers = list[Server] | None  # all that a request may use; None: too many to list


@dataclass(eq=False)
class ServerSelection:
    """Chooses candidates for a request and compares their load."""

    random: random.Random
    members: Membership
    subset: Subset
    safety: RetrySafety
    outliers: OutlierDetection
    slow_start: SlowStart

    def choose_candidates(self, request: OpenRequest, in_flight: int, now: int) -> list[Server]:
        """Return two random servers that a request may use, or fewer if there are no more."""
        subset, reserve = self.members.subset, self.members.reserve
        self.members.end_ejections(now)
        targets = self.subset.probe_targets
        while targets and not request.attempts and request.is_idempotent:
            if (server := targets.pop()).partition is not None and not server.in_flight:
                return [server]
        fair_share = math.ceil((in_flight + 1) / max(1, len(subset)))
        if not request.attempts and not self.members.local_zone and subset.near.count:
            draws = (subset.near.draw(self.random) for _ in range(QUICK_DRAWS))
            pair, _ = self._pick_pair(draws, request, fair_share, now)
            if len(pair) == 2:
                return pair
        allowed_servers = self._allowed_servers(request) if request.attempts else None
        # Servers above their fair share of own attempts are skipped while others are below theirs.
        pair, skipped_busy = self._pick_pair(
            self._random_order(subset, allowed_servers), request, fair_share, now
        )
        if not pair and skipped_busy:
            pair, _ = self._pick_pair(
                self._random_order(subset, allowed_servers), request, math.inf, now
            )
        if not pair:
            pair, _ = self._pick_pair(
                self._random_order(reserve, allowed_servers), request, math.inf, now
            )
        return pair or self._last_resort(request, allowed_servers, now)

    def _pick_pair(
        self, servers: Iterable[Server], request: OpenRequest, max_load: float, now: int
    ) -> tuple[list[Server], bool]:
        """Return the first two usable servers, and whether servers at ``max_load`` were skipped."""
        tried = {attempt.server.id for attempt in request.attempts} if request.attempts else ()
        pair: list[Server] = []
        skipped_busy = False
        for server in servers:
            if server.id in tried:
                continue
            if tried and not self.safety.allows_attempt(request, server, now):
                continue
            if self.weighted_in_flight(server, now) >= max_load:
                skipped_busy = True
            elif server not in pair and self.is_usable(server, request, now):
                pair.append(server)
                if len(pair) == 2:
                    break
        return pair, skipped_busy

    def _last_resort(
        self, request: OpenRequest, allowed_servers: AllowedServers, now: int
    ) -> list[Server]:
        """Return an ejected or already tried server, where that is better than none."""
        closed = self.subset.closed_zones
        closed_count = sum(len(self.members.by_zone.get(zone, ())) for zone in closed)
        max_ejected = MAX_EJECTED_FRACTION * (len(self.members.servers) - closed_count)
        if not request.attempts and self.members.ejected_count() - closed_count <= max_ejected:
            return []
        for server in self._random_order(self.members.subset, allowed_servers, with_ejected=True):
            allowed = self.safety.allows_attempt(request, server, now)
            usable = allowed and not self.slow_start.is_exhausted(server, now)
            if usable and server.zone not in closed:
                return [server]
        return []

    def _random_order(
        self,
        servers: TieredPool[Server],
        allowed_servers: AllowedServers,
        with_ejected: bool = False,
    ) -> Iterable[Server]:
        """Return servers in weighted random order."""
        if allowed_servers is not None:
            return weighted_shuffle(
                [server for server in allowed_servers if server.partition is servers], self.random
            )
        local_first = bool(self.members.local_zone)
        return servers.candidates(self.random, near_first=local_first, with_inactive=with_ejected)

    def _allowed_servers(self, request: OpenRequest) -> AllowedServers:
        """Return the servers that a request may use, if they are too few to be found by drawing."""
        klass, version = request.klass, request.list_version
        ran = self.safety.may_have_run(request) if request.has_key else []
        if ran and klass.dedup_scope != "all":
            servers = self.members.deduplication_group(ran[0], klass.dedup_scope)
            if len(servers) <= SCAN_LENGTH:
                return list(servers.values())
        if self.safety.settings.pin_endpoint_list and version < self.members.version:
            candidates = self.members.servers_since(version)
            return candidates if len(candidates) <= SCAN_LENGTH else None
        return None

    def is_usable(self, server: Server, request: OpenRequest, now: int) -> bool:
        """Whether this server can take this request now."""
        if server.ejected_until:  # afterwards, one retryable request tests it
            is_risky = not request.is_retryable and self.safety.settings.has_retryable_class
            if now < server.ejected_until or server.in_flight or is_risky:
                return False
        if server.started_at and self.slow_start.is_exhausted(server, now):
            return False
        if not server.in_flight:
            return True
        has_room = len(server.in_flight) < server.max_in_flight
        return has_room and not self.outliers.is_hung(server, now)

    def load(self, server: Server, now: int) -> tuple[float, float]:
        """Return the load, and a tie-breaker: of equal servers the longest idle sorts first."""
        own_load = float(len(server.in_flight))
        if server.score > MIN_SCORE:
            own_load += self.outliers.score(server, now) - MIN_SCORE
        if server.started_at:
            own_load /= self.slow_start.capacity_share(server, now)
        if server.reported_queued:  # reports are old and noisy, so they count less with age
            freshness = max(0.0, 1 - (now - server.reported_at) / (2 * SECOND_US))
            own_load += QUEUED_WEIGHT * server.reported_queued * freshness
        load = (own_load + server.weight) / server.weight * self.slowness(server, now)
        if self.members.local_zone and server.zone != self.members.local_zone:
            load *= CROSS_ZONE_LOAD_FACTOR
        return load, (server.last_sent_at - now) * server.weight

    def slowness(self, server: Server, now: int) -> float:
        """Return recent latency, or half the oldest attempt's age if higher, in mean latencies."""
        elapsed = now - server.slowness_at
        slowness = decayed(server.slowness, DEFAULT_SLOWNESS, elapsed, SLOWNESS_DECAY_US)
        if not server.in_flight:
            return slowness
        oldest = next(iter(server.in_flight.values()))
        return max(slowness, (now - oldest.sent_at) / (2 * self.outliers.latency.mean))

    def record_latency(self, server: Server, latency: float, served: bool, now: int) -> None:
        """Record a latency in mean latencies; an unserved attempt would have taken longer."""
        latency, slowness = min(latency, MAX_SLOWNESS), self.slowness(server, now)
        if served or latency > slowness:
            server.slowness = slowness + 0.25 * (latency - slowness)
            server.slowness_at = now

    def weighted_in_flight(self, server: Server, now: int) -> float:
        """Return the own attempts in flight; each counts more on a much slower server."""
        if not server.in_flight:
            return 0.0
        return len(server.in_flight) * max(1.0, self.slowness(server, now) - 1)
