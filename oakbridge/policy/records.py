"""Records of servers, attempts and requests, without decisions.  Times are microseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields

from oakbridge.policy.events import AttemptResult
from oakbridge.policy.settings import Idempotency, RequestClass
from oakbridge.policy.weighted_pool import TieredPool, WeightedItem

MIN_SCORE = -2.0
MIN_EJECTION_US = 1_000_000


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    server: Server
    sent_at: int
    responses_before: int  # responses of all servers before it was sent
    zone: str  # the server's zone when it was sent
    cell: int  # the server's cell when it was sent
    result: AttemptResult | None = None
    cancelled_as_hung: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request from its arrival to its final response."""

    id: int
    klass: RequestClass
    tenant: str
    arrived_at: int
    is_streamed: bool  # its body is not kept for a retry, so it has one attempt only
    body_bytes: int = 0  # of a body that is kept for a retry
    expires_at: int = 0  # deadline after which a response is useless
    objective_at: int = 0  # time after which a response misses the latency objective
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0  # attempts without a result
    failures: int = 0  # failed attempts
    list_version: int = 0  # version of the endpoint list at its first attempt
    value: float = 0.0  # weight per server time, as a multiple of the mean over requests
    is_over_quota: bool = False
    is_queued: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether it may be retried whatever the results of earlier attempts."""
        return self.klass.idempotency == Idempotency.IDEMPOTENT

    @property
    def is_retryable(self) -> bool:
        """Whether it may be retried, at least within limits, after an attempt that may have run."""
        return self.klass.idempotency != Idempotency.NOT_IDEMPOTENT

    @property
    def has_key(self) -> bool:
        """Whether it carries an idempotency key, by which servers drop duplicates."""
        return self.klass.idempotency == Idempotency.IDEMPOTENT_WITH_KEY

    def queue_key(self) -> tuple[str, str, bool]:
        """Return the key of the queue in which it waits."""
        return self.klass.name, self.tenant, self.is_over_quota


@dataclass(slots=True, eq=False)
class ServerHistory(WeightedItem):
    """What a replica has learned about a server; reset when the server restarts."""

    score: float = MIN_SCORE  # log odds that it fails most attempts
    scored_at: int = 0
    ejected_until: int = 0
    ejection_us: int = MIN_EJECTION_US  # length of the next ejection
    suspicion: float = 0.0  # strength of peers' failure reports, 0 to 1
    suspicion_until: int = 0
    failed_at: int = 0
    failed_without_response: bool = False  # last failure: timeout, hang or slower than the mean
    tokens: float = 0.0  # attempts that slow start allows now
    tokens_at: int = -1  # time of the last change of tokens; -1: none
    slowness: float = 1.0  # its recent latencies, as a multiple of the mean
    slowness_at: int = 0
    max_in_flight: float = math.inf  # limit of own attempts after it has rejected one


NO_HISTORY = {
    item.name: item.default
    for item in fields(ServerHistory)
    if item.name in ServerHistory.__annotations__
}


@dataclass(slots=True, eq=False)
class Server(ServerHistory):
    """A server: its entry in the endpoint list, own attempts in flight there, and its history."""

    id: str = ""
    started_at: int = -1
    address: str = ""
    zone: str = ""
    cell: int = 0
    delisted: bool = False  # removed from the list, not only draining
    listed_since: int = 0  # version of the list since which it has been listed continuously
    partition: TieredPool[Server] | None = None  # the subset or the reserve; None: not listed
    in_flight: dict[tuple[int, int], Attempt] = field(default_factory=dict)  # oldest first
    last_sent_at: int = 0
    responded_at: int = 0
    reported_queued: float = 0.0  # requests queued there, from its last load report
    reported_at: int = 0

    def index_keys(self) -> tuple[str, int, int]:
        """Return its keys in the indexes by zone, cell and version."""
        return self.zone, self.cell, self.listed_since

    def forget_ejections(self) -> None:
        """End its ejection, and make the next one short again."""
        self.ejected_until = 0
        self.ejection_us = MIN_EJECTION_US

    def forget_history(self) -> None:
        """Reset the history, as the server has restarted."""
        for name, value in NO_HISTORY.items():
            setattr(self, name, value)
