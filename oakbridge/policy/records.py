"""Plain records of servers, attempts and requests, which decide nothing."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields

from oakbridge.policy.events import AttemptResult
from oakbridge.policy.settings import Idempotency, RequestClass
from oakbridge.policy.weighted_pool import TieredPool, WeightedItem

SCORE_MIN = -2.0
EJECTION_MIN_US = 1_000_000


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    server: Server
    sent_at: int
    answers_before: int  # answers of all servers until then
    zone: str  # of the server, as it was listed then
    cell: int
    result: AttemptResult | None = None
    cancelled_as_hung: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request between its arrival and its final answer; times in microseconds of the clock."""

    id: int
    klass: RequestClass
    tenant: str
    arrived_at: int
    streamed: bool  # its body is gone once it is sent: it has one attempt
    expires_at: int = 0  # an answer is worth nothing from then on
    objective_at: int = 0  # an answer is late from then on
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0  # attempts without an outcome
    failures: int = 0
    list_version: int = 0  # at its first attempt
    value: float = 0.0  # its worth for the time that a server has it, as a multiple of the usual
    over_quota: bool = False
    queued: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether it may be repeated whatever became of earlier attempts."""
        return self.klass.idempotency == Idempotency.IDEMPOTENT

    @property
    def repeatable(self) -> bool:
        """Whether it may be repeated, if only within bounds, once it may have run."""
        return self.klass.idempotency != Idempotency.NOT_IDEMPOTENT

    @property
    def has_key(self) -> bool:
        """Whether it is idempotent by a key, which servers remember."""
        return self.klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY

    def queue_key(self) -> tuple[str, str, bool]:
        """Return what those that wait in one queue have in common."""
        return self.klass.name, self.tenant, self.over_quota


@dataclass(slots=True, eq=False)
class ServerHistory(WeightedItem):
    """What is learned of a server, and forgotten when it restarts."""

    score: float = SCORE_MIN  # log of the odds that it fails most attempts
    scored_at: int = 0
    ejected_until: int = 0
    ejection_us: int = EJECTION_MIN_US  # next time
    suspicion: float = 0.0  # by peers' reports, 0 to 1
    suspicion_until: int = 0
    failed_at: int = 0
    failed_silently: bool = False  # its last failure was no answer at all
    tokens: float = 0.0  # of slow start
    tokens_at: int = -1
    slowness: float = 1.0  # its latest latencies, as a multiple of the mean
    slowness_at: int = 0
    max_in_flight: float = math.inf  # own attempts that it takes, once it has rejected one


NO_HISTORY = {
    item.name: item.default
    for item in fields(ServerHistory)
    if item.name in ServerHistory.__annotations__
}


@dataclass(slots=True, eq=False)
class Server(ServerHistory):
    """A server: what discovery said of it, own attempts in flight there, and its history."""

    id: str = ""
    started: int = -1
    address: str = ""
    zone: str = ""
    cell: int = 0
    delisted: bool = False  # it is gone from the list, and does not only drain
    listed_since: int = 0  # version of the list since which it has been there without a break
    partition: TieredPool[Server] | None = None  # the subset or the reserve, while it is listed
    in_flight: dict[tuple[int, int], Attempt] = field(default_factory=dict)  # oldest first
    last_sent_at: int = 0
    answered_at: int = 0
    queued: float = 0.0  # requests that wait there, by its last load report
    reported_at: int = 0

    def index_keys(self) -> tuple[str, int, int]:
        """Return the zone, cell and version by which it is found."""
        return self.zone, self.cell, self.listed_since

    def forget_ejections(self) -> None:
        """Have it be ejected no more, and for a short while next time."""
        self.ejected_until = 0
        self.ejection_us = EJECTION_MIN_US

    def forget_history(self) -> None:
        """Begin anew, as a server that has restarted does."""
        for name, value in NO_HISTORY.items():
            setattr(self, name, value)
