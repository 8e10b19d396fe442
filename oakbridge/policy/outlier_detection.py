"""Outlier detection: ejects servers that fail or hang, and the other servers of a failing zone."""

import math
from dataclasses import dataclass, field

from oakbridge.policy.events import AttemptResult, PeerFailureReports
from oakbridge.policy.latency import LatencyAverages
from oakbridge.policy.membership import Membership
from oakbridge.policy.records import MIN_SCORE, Attempt, Server
from oakbridge.policy.throughput import decayed
from oakbridge.policy.timers import SECOND_US

MIN_OUTLIER_FAILURE_RATE = 0.7  # lowest failure rate that an outlier is assumed to have
MIN_FAILURE_RATE = 0.01  # bounds of the failure rate of all servers that scores compare with
MAX_FAILURE_RATE = 0.95
EJECTION_SCORE = 2.5  # score above which a server is ejected
MAX_SCORE = 5.0
SCORE_DECAY_US = 8 * SECOND_US
MAX_EJECTION_US = 16 * SECOND_US
MAX_SUSPICION_AGE_US = 5 * SECOND_US  # peers repeat their reports every 2 s
# A server with an attempt in flight hangs if it has not responded for this multiple of the mean
# latency, while all servers together have given this many responses since the attempt was sent.
HUNG_LATENCY_MULTIPLE = 4.0
HUNG_MIN_RESPONSES = 8
# A zone fails if this many of its servers fail within the window without a response in between, and
# if so many independent failures have at most this probability.
ZONE_MIN_FAILING_SERVERS = 3
ZONE_FAILURE_WINDOW_US = 3 * SECOND_US
ZONE_MAX_PROBABILITY = 0.01


@dataclass(eq=False)
class OutlierDetection:
    """Scores each server by the log odds that it fails most attempts, unlike servers in general."""

    members: Membership
    latency: LatencyAverages
    failure_rate: float = MIN_FAILURE_RATE  # of all servers; if all fail, none is an outlier
    recent_failure_rate: float = 0.0  # of all servers, over fewer attempts
    responses: int = 0  # successful attempts since the start
    # By zone, the servers that have failed since its last response, and when.
    failures_by_zone: dict[str, dict[str, int]] = field(default_factory=dict)

    def record(self, server: Server, result: AttemptResult, latency: int, now: int) -> None:
        """Record the result of an attempt, and eject its server or its zone if it fails."""
        failed = result != AttemptResult.OK
        self.recent_failure_rate += 0.05 * (failed - self.recent_failure_rate)
        # A server that rejects, or refuses connections while it responds, is full, not an outlier.
        # It gets no more attempts than it has, and each response raises that limit.  With none in
        # flight it would look idle and attract requests, so it is ejected.
        is_responding = bool(server.in_flight) and now - server.responded_at < SECOND_US
        if result == AttemptResult.REJECTED or (
            result == AttemptResult.CONNECT_FAILED and is_responding
        ):
            server.max_in_flight = max(1.0, min(server.max_in_flight, float(len(server.in_flight))))
            if not server.in_flight:
                self.eject(server, now)
            self.failures_by_zone.pop(server.zone, None)
            return
        # A failed connect counts twice, as the server is down.
        for _ in range(1 + (result == AttemptResult.CONNECT_FAILED)):
            self.update_score(server, failed, now)
        if failed:
            server.failed_at = now
            server.failed_without_response = (
                result == AttemptResult.TIMEOUT or latency > self.latency.mean
            )
        else:
            self.responses += 1
            server.responded_at = now
            server.max_in_flight += 0.5 / server.max_in_flight
        # Either result shows that the zone is reachable.
        if result in (AttemptResult.OK, AttemptResult.ERROR):
            self.failures_by_zone.pop(server.zone, None)
        else:
            self._suspect_zone(server, now)

    def update_score(self, server: Server, failed: bool, now: int) -> None:
        """Update the score with a result; eject the server if the score exceeds the limit."""
        score = self.score(server, now)
        server.scored_at = now
        base_rate = min(max(self.failure_rate, MIN_FAILURE_RATE), MAX_FAILURE_RATE)
        outlier_rate = max(MIN_OUTLIER_FAILURE_RATE, base_rate)
        self.failure_rate += 0.02 * (failed - self.failure_rate)
        if failed:
            if now < server.suspicion_until:  # with peer reports, fewer own failures suffice
                score = max(score, MIN_SCORE * (1 - server.suspicion))
            server.score = min(score + math.log(outlier_rate / base_rate), MAX_SCORE)
            if server.score > EJECTION_SCORE:
                self.eject(server, now)
            return
        if score > MIN_SCORE and outlier_rate > base_rate:
            score += math.log((1 - outlier_rate) / (1 - base_rate))
        server.score = max(score, MIN_SCORE)
        if server.score <= 0:
            server.forget_ejections()

    @staticmethod
    def score(server: Server, now: int) -> float:
        """Return the score now; it decays, so that an unused server gets requests again."""
        if server.score <= MIN_SCORE:
            return server.score
        return decayed(server.score, MIN_SCORE, now - server.scored_at, SCORE_DECAY_US)

    @staticmethod
    def eject(server: Server, now: int) -> None:
        """Eject a server, each time for longer.

        Failures of an ejected server do not count, as their attempts were sent before the ejection.
        """
        if now >= server.ejected_until:
            server.ejected_until = now + server.ejection_us
            server.ejection_us = min(2 * server.ejection_us, MAX_EJECTION_US)

    def _suspect_zone(self, server: Server, now: int) -> None:
        """Record a failed server; eject its whole zone if several fail and none responds."""
        failed_at = self.failures_by_zone.setdefault(server.zone, {})
        failed_at[server.id] = now
        base_rate = min(max(self.failure_rate, MIN_FAILURE_RATE), MAX_FAILURE_RATE)
        min_failing = max(
            ZONE_MIN_FAILING_SERVERS, math.log(ZONE_MAX_PROBABILITY) / math.log(base_rate)
        )
        failing = sum(at >= now - ZONE_FAILURE_WINDOW_US for at in failed_at.values())
        if failing < min_failing or len(self.members.by_zone) < 2:
            return
        del self.failures_by_zone[server.zone]
        for neighbor in list(self.members.by_zone.get(server.zone, {}).values()):
            if now >= neighbor.ejected_until:
                self.eject(neighbor, now)
                self.members.update_ejection(neighbor, now)

    def apply_peer_reports(self, now: int, event: PeerFailureReports) -> None:
        """Let fewer own failures eject the reported servers; reports alone eject none."""
        for name, suspicion in event.suspicions.items():
            if server := self.members.servers.get(name):
                server.suspicion = min(1.0, suspicion)
                server.suspicion_until = now + MAX_SUSPICION_AGE_US

    def is_hung(self, server: Server, now: int) -> bool:
        """Whether its oldest attempt takes far too long while other attempts are answered."""
        oldest = next(iter(server.in_flight.values()))
        is_late = (
            now - max(oldest.sent_at, server.responded_at)
            > HUNG_LATENCY_MULTIPLE * self.latency.mean
        )
        return is_late and self.responses - oldest.responses_before >= HUNG_MIN_RESPONSES

    def eject_if_hung(self, attempt: Attempt, now: int) -> bool:
        """Eject the server of an attempt if it hangs; return whether to cancel the attempt."""
        server = attempt.server
        is_late = now - attempt.sent_at > HUNG_LATENCY_MULTIPLE * self.latency.mean
        if attempt.cancelled_as_hung or not is_late or not self.is_hung(server, now):
            return False
        attempt.cancelled_as_hung = True
        server.failed_at = now
        server.failed_without_response = True
        self._suspect_zone(server, now)
        self.eject(server, now)
        self.members.update_ejection(server, now)
        return True
