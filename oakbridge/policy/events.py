"""The events that :meth:`oakbridge.policy.balancer.Balancer.handle` takes.

All times are whole microseconds of one monotonic clock.  Each event is passed in with the time at
which it happened.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from oakbridge.policy.settings import Settings


class AttemptResult(IntEnum):
    """How an attempt ended."""

    OK = 10
    ERROR = 20  # the server reported a failure; the request may have run
    REJECTED = 30  # the server had no capacity; the request did not run
    TIMEOUT = 40  # no response in time; the request may have run
    CONNECT_FAILED = 50  # the request did not run
    RESET = 60  # the connection was reset; the request may have run
    CANCELLED = 70  # the request may have run
    NOT_SENT = 80  # the request did not run


NEVER_RAN = frozenset(
    {AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT}
)


class EndpointState(StrEnum):
    """The state of an endpoint in an endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True)
class Endpoint:
    """One server's entry in an endpoint list."""

    id: str
    state: EndpointState = EndpointState.UP
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: int = 0  # 0: long ago
    address: str = ""  # ``host:port``; a new address under the same id is a new process


@dataclass(slots=True)
class SubsetAssignment:
    """The servers that this replica uses, when the replicas divide the servers among themselves.

    Each server comes with the fraction of its weight that this replica uses, above 0 up to 1.
    Without an assignment each replica draws a random subset.
    """

    weights: dict[str, float]


@dataclass(slots=True)
class PeerFailureReports:
    """Servers that other replicas report as failing, by the strength of the evidence, 0 to 1."""

    suspicions: dict[str, float]


@dataclass(slots=True)
class ZoneWeights:
    """The fraction of its usual requests that each zone gets, 0 to 1; zones not named get all.

    A zone of weight 0 gets no requests, except probes: in each of ``probe_zones`` one server is
    probed with one idempotent request.
    """

    weights: dict[str, float]
    probe_zones: tuple[str, ...] = ()


@dataclass(slots=True)
class LoadSheddingLevel:
    """The fraction of each class's requests that all replicas reject.

    ``over_quota_fraction`` applies to requests of any class that exceed their tenant's quota.
    """

    class_fractions: dict[str, float]
    over_quota_fraction: float = 0.0
    salt: int = 0  # hashed with a request's key; requests without a key are rejected at random


@dataclass(slots=True)
class EndpointListReceived:
    """An endpoint list or changes to the current one; or the failure of a poll or watch."""

    endpoints: list[Endpoint] = field(default_factory=list)
    complete: bool = True
    failed: bool = False
    cached: bool = False  # a list saved before this replica started, which may be out of date
    more_follow: bool = False  # further changes of the same version follow
    restored: bool = False  # operators have put these servers back into service
    waited: int = 0  # how long the failed poll took; 0: an open watch was interrupted
    staleness: int = 0  # how long before the failure the list was last known to be up to date


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply; open requests keep the class settings that they arrived with."""

    settings: Settings


@dataclass(slots=True)
class PredecessorInFlight:
    """The number of attempts that the predecessor still has in flight during a hot restart."""

    count: int


@dataclass(slots=True)
class EndpointsAnnounced:
    """Endpoints of the next list, sent ahead so that records exist and the list applies quickly."""

    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class RequestReceived:
    """A request was accepted; it must get one final response within ``time_left``."""

    request_id: int
    class_name: str
    time_left: int
    tenant: str = ""
    client_retry: bool = False  # the client marked the request as a retry
    key: str = ""  # names the request's subject; requests with the same key are shed alike
    expected_work: int = 0  # a rough estimate; 0: unknown
    write: bool = False
    # The body is forwarded as it arrives: there is one attempt, and TimeLeftChanged sets the deadline.
    streamed: bool = False
    body_bytes: int = 0  # of a body that is kept for a retry


@dataclass(slots=True)
class RequestBodySent:
    """The end of a streamed body was sent; the response is due within ``time_left``."""

    request_id: int
    attempt: int
    time_left: int


@dataclass(slots=True)
class TimeLeftChanged:
    """The response is due within ``time_left``, as the end of a streamed body has arrived.

    If 0, the time is up, maybe before the end has arrived.
    """

    request_id: int
    time_left: int


@dataclass(slots=True)
class ResponseStarted:
    """The response is being streamed to the client; the request is over for the balancer."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The result of an attempt; ``request_finished``: its request is finished, too."""

    request_id: int
    attempt: int
    server: str
    result: AttemptResult
    latency: int
    request_finished: bool = False
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected; its request needs no response."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer set by a ``SetTimer`` action has fired."""

    token: int


Event = (
    EndpointListReceived
    | SettingsChanged
    | SubsetAssignment
    | PeerFailureReports
    | ZoneWeights
    | LoadSheddingLevel
    | PredecessorInFlight
    | EndpointsAnnounced
    | RequestReceived
    | RequestBodySent
    | TimeLeftChanged
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
)
