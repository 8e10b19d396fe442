"""What goes into :meth:`oakbridge.policy.balancer.Balancer.handle`.

All times are whole microseconds on one clock that only moves forward.  Events go in with the time at which they
happened.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from oakbridge.policy.settings import Settings


class AttemptResult(IntEnum):
    """How an attempt ended."""

    OK = 10
    ERROR = 20  # the server reported a failure; it may have run
    REJECTED = 30  # the server had no capacity; it never ran
    TIMEOUT = 40  # no response in time; it may have run
    CONNECT_FAILED = 50  # never ran
    RESET = 60  # the connection broke; it may have run
    CANCELLED = 70  # it may have run
    NOT_SENT = 80  # never ran


NEVER_RAN = frozenset(
    {AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT}
)


class EndpointState(StrEnum):
    """What discovery says of an endpoint."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True)
class Endpoint:
    """One server as an endpoint list names it."""

    id: str
    state: EndpointState = EndpointState.UP
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: int = 0  # 0: long ago
    address: str = ""  # ``host:port``: another address under one id is another process


@dataclass(slots=True)
class SubsetAssignment:
    """The servers to use where replicas divide them, each with the share of its weight that counts here, up to 1.

    Without any, each replica draws a subset of its own.
    """

    weights: dict[str, float]


@dataclass(slots=True)
class PeerFailureReports:
    """Servers that other replicas find failing, and how strong the evidence is, 0 to 1."""

    suspicions: dict[str, float]


@dataclass(slots=True)
class ZoneWeights:
    """The share of their usual requests that zones get from now on, 0 to 1; zones not named get all.

    A zone of weight 0 gets nothing; of each of ``probe_zones`` one server is tried now, by one idempotent request.
    """

    weights: dict[str, float]
    probe_zones: tuple[str, ...] = ()


@dataclass(slots=True)
class LoadSheddingLevel:
    """The fraction of each class's requests that all replicas reject alike from now on.

    ``over_quota_fraction`` does so for requests beyond their tenants' quotas, of any class.
    """

    class_fractions: dict[str, float]
    over_quota_fraction: float = 0.0
    salt: int = 0  # with the request's key: which ones; requests without a key are drawn at random each time


@dataclass(slots=True)
class EndpointListReceived:
    """Discovery's view: the complete list, or changes to the current one; or that a poll or watch failed."""

    endpoints: list[Endpoint] = field(default_factory=list)
    complete: bool = True
    failed: bool = False
    cached: bool = False  # the list as it was before this replica started, maybe old
    more_follow: bool = False  # further changes follow: all of them are one version of the list
    restored: bool = False  # servers that operators had taken out of service and use again
    waited: int = 0  # of a failed poll: how long it took; 0: an open watch broke
    staleness: int = 0  # of a failed poll: how long ago the list was last known to be up to date


@dataclass(slots=True)
class SettingsChanged:
    """Other settings count from now on; a request in progress keeps its class as it was."""

    settings: Settings


@dataclass(slots=True)
class PredecessorInFlight:
    """How many attempts the other process of this node has in flight from now on, during a hot restart."""

    count: int


@dataclass(slots=True)
class EndpointsAnnounced:
    """Endpoints that the next list will name: records are made ahead, so that taking the list is quick."""

    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class RequestReceived:
    """A request was accepted; it must get one final response within ``time_left``."""

    request_id: int
    class_name: str
    time_left: int
    tenant: str = ""
    client_retry: bool = False  # the client says that it has tried before
    key: str = ""  # what it is about; requests with one key go together
    expected_work: int = 0  # roughly; 0: not told
    write: bool = False
    streamed: bool = (
        False  # its body is forwarded as it comes: one attempt, timed from RequestBodySent
    )


@dataclass(slots=True)
class RequestBodySent:
    """The last of a streamed body is written; the response is due within ``time_left``."""

    request_id: int
    attempt: int
    time_left: int


@dataclass(slots=True)
class ResponseStarted:
    """The response has begun; the attempt that it comes from now belongs to the client."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The one result of one attempt.  ``request_finished``: its request is over, too."""

    request_id: int
    attempt: int
    server: str
    result: AttemptResult
    latency: int
    request_finished: bool = False
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has left; its request needs no response any more."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer that was set has come due."""

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
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
)
