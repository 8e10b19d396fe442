"""Which servers fail or hang: they are ejected for a while, and so is the rest of a bad zone."""

import math
from dataclasses import dataclass, field

from oakbridge.policy.events import AttemptResult, PeerFailureReports
from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.membership import Membership
from oakbridge.policy.records import SCORE_MIN, Attempt, Server
from oakbridge.policy.throughput import faded
from oakbridge.policy.timers import SECOND_US

OUTLIER_RATE = 0.7  # of failures, at least
MIN_RATE = 0.01  # of failures of all servers, as it counts here
MAX_RATE = 0.95
EJECTION_SCORE = 2.5
SCORE_MAX = 5.0
SCORE_FADE_US = 8 * SECOND_US
EJECTION_MAX_US = 16 * SECOND_US
SUSPICION_US = 5 * SECOND_US  # a peer's report holds for so long; it comes anew every two seconds
HUNG_MEANS = 4.0  # an attempt in flight for so many mean latencies,
HUNG_ANSWERS = 8  # while so many newer ones elsewhere were answered, is a hang
ZONE_FAILURES = 3  # servers of a zone that fail in a row,
ZONE_FAILURES_US = 3 * SECOND_US  # within so long,
ZONE_CHANCE = 0.01  # and are hardly as many by chance


@dataclass(eq=False)
class OutlierDetection:
    """The log of the odds that a server fails most attempts, against the rate of all servers."""

    members: Membership
    latency: LatencyAverages
    failure_rate: float = MIN_RATE  # of all servers: if all fail, none is an outlier
    recent_failure_rate: float = 0.0
    answers: int = 0
    failing: dict[str, dict[str, int]] = field(default_factory=dict)  # by zone: servers, and when

    def record(self, server: Server, result: AttemptResult, latency: int, now: int) -> None:
        """Take the outcome of an attempt in."""
        failed = result != AttemptResult.OK
        self.recent_failure_rate += 0.05 * (failed - self.recent_failure_rate)
        # One that rejects, or takes no more connections while it answers, is full and no outlier:
        # it gets no more than it had, more with each answer.  If it had none it looks idle.
        busy = bool(server.in_flight) and now - server.answered_at < SECOND_US
        if result == AttemptResult.REJECTED or (result == AttemptResult.CONNECT_FAILED and busy):
            server.max_in_flight = max(1.0, min(server.max_in_flight, float(len(server.in_flight))))
            if not server.in_flight:
                self.eject(server, now)
            self.failing.pop(server.zone, None)
            return
        for _ in range(1 + (result == AttemptResult.CONNECT_FAILED)):  # it counts twice: it is down
            self.update_score(server, failed, now)
        if failed:
            server.failed_at = now
            server.failed_silently = result == AttemptResult.TIMEOUT or latency > self.latency.mean
        else:
            self.answers += 1
            server.answered_at = now
            server.max_in_flight += 0.5 / server.max_in_flight
        if result in (AttemptResult.OK, AttemptResult.ERROR):  # whatever it said, its zone is there
            self.failing.pop(server.zone, None)
        else:
            self._suspect_zone(server, now)

    def update_score(self, server: Server, failed: bool, now: int) -> None:
        """Take one outcome in; ejects once failing is far likelier than not."""
        score = self.score(server, now)
        server.scored_at = now
        usual = min(max(self.failure_rate, MIN_RATE), MAX_RATE)
        outlier = max(OUTLIER_RATE, usual)
        self.failure_rate += 0.02 * (failed - self.failure_rate)
        if failed:
            if now < server.suspicion_until:  # by peers, too: fewer own failures eject it
                score = max(score, SCORE_MIN * (1 - server.suspicion))
            server.score = min(score + math.log(outlier / usual), SCORE_MAX)
            if server.score > EJECTION_SCORE:
                self.eject(server, now)
            return
        if score > SCORE_MIN and outlier > usual:
            score += math.log((1 - outlier) / (1 - usual))
        server.score = max(score, SCORE_MIN)
        if server.score <= 0:
            server.forget_ejections()

    @staticmethod
    def score(server: Server, now: int) -> float:
        """Return the score now; it fades, so that an unused server is tried again."""
        if server.score <= SCORE_MIN:
            return server.score
        return faded(server.score, SCORE_MIN, now - server.scored_at, SCORE_FADE_US)

    @staticmethod
    def eject(server: Server, now: int) -> None:
        """Eject for a growing while; what fails while it is ejected was sent before."""
        if now >= server.ejected_until:
            server.ejected_until = now + server.ejection_us
            server.ejection_us = min(2 * server.ejection_us, EJECTION_MAX_US)

    def _suspect_zone(self, server: Server, now: int) -> None:
        """Eject the rest of a zone of which several servers failed in a row and none answered."""
        failing = self.failing.setdefault(server.zone, {})
        failing[server.id] = now
        usual = min(max(self.failure_rate, MIN_RATE), MAX_RATE)
        wanted = max(ZONE_FAILURES, math.log(ZONE_CHANCE) / math.log(usual))
        recent = sum(at >= now - ZONE_FAILURES_US for at in failing.values())
        if recent < wanted or len(self.members.by_zone) < 2:
            return
        del self.failing[server.zone]
        for other in list(self.members.by_zone.get(server.zone, {}).values()):
            if now >= other.ejected_until:
                self.eject(other, now)
                self.members.update_ejection(other, now)

    def take_peer_reports(self, now: int, event: PeerFailureReports) -> None:
        """Have fewer own failures eject what peers find failing; reports alone eject nothing."""
        for name, suspicion in event.suspicions.items():
            if server := self.members.servers.get(name):
                server.suspicion = min(1.0, suspicion)
                server.suspicion_until = now + SUSPICION_US

    def is_hung(self, server: Server, now: int) -> bool:
        """Whether its oldest attempt is in flight far too long, while others are answered."""
        oldest = next(iter(server.in_flight.values()))
        late = now - max(oldest.sent_at, server.answered_at) > HUNG_MEANS * self.latency.mean
        return late and self.answers - oldest.answers_before >= HUNG_ANSWERS

    def eject_if_hung(self, attempt: Attempt, now: int) -> bool:
        """Eject the server of an attempt if it hangs; returns whether to cancel the attempt."""
        server = attempt.server
        late = now - attempt.sent_at > HUNG_MEANS * self.latency.mean
        if attempt.cancelled_as_hung or not late or not self.is_hung(server, now):
            return False
        attempt.cancelled_as_hung = True
        server.failed_at = now
        server.failed_silently = True
        self._suspect_zone(server, now)
        self.eject(server, now)
        self.members.update_ejection(server, now)
        return True
