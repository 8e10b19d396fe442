"""What comes out of :meth:`oakbridge.policy.balancer.Balancer.handle`.

Each call returns the actions to carry out at the time of its event, in order.  Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class UnservedReason(Enum):
    """Why a request ended without a server's response."""

    SHED = "shed by the plan for all replicas"
    QUEUE_FULL = "more requests waited than would have had a turn"
    WAITED_TOO_LONG = "no server was free in time"
    OUT_OF_TIME = "its time was up"
    NO_TIME_FOR_RETRY = "an attempt failed, and no time was left for another"
    RETRY_UNSAFE = "an attempt failed, and another is not allowed or not safe"
    RETRY_BUDGET = "an attempt failed, and the retry budget was spent"
    PINNED_SERVERS_REMOVED = "no server is left of the list that it keeps to"
    UNKNOWN_CLASS = "its class is not known"


@dataclass(slots=True)
class SendAttempt:
    """Start an attempt; attempts of a request count from 0 in the order in which they are sent."""

    request_id: int
    server: str
    timeout: int
    start_within: int = 0  # its first byte may go no later, a slow connect included; 0: no limit


@dataclass(slots=True)
class RejectRequest:
    """Final response: the request was rejected, and trying again is harmless."""

    request_id: int
    retry_after: int = 0
    reason: UnservedReason = UnservedReason.WAITED_TOO_LONG


@dataclass(slots=True)
class FailRequest:
    """Final response: the request failed, with no promise about its effect."""

    request_id: int
    reason: UnservedReason = UnservedReason.OUT_OF_TIME


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt; it still gets its result."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a :class:`oakbridge.policy.events.TimerFired`."""

    delay: int
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list; answered by ``EndpointListReceived``."""

    on: bool = True


Action = SendAttempt | RejectRequest | FailRequest | CancelAttempt | SetTimer | WatchEndpoints
