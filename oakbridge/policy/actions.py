"""The actions that :meth:`oakbridge.policy.balancer.Balancer.handle` returns.

The caller carries them out in order, at the time of the event that it passed in.  Times are whole
microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class UnservedReason(Enum):
    """Why a request finished without a server's response."""

    SHED = "shed by the plan for all replicas"
    QUEUE_FULL = "more requests waited than would have had a turn"
    WAITED_TOO_LONG = "no server was free in time"
    OUT_OF_TIME = "its time was up"
    NO_TIME_FOR_RETRY = "an attempt failed, and no time was left for another"
    RETRY_UNSAFE = "an attempt failed, and another is not allowed or not safe"
    RETRY_BUDGET = "an attempt failed, and the retry budget was spent"
    PINNED_SERVERS_REMOVED = "no server is left of the list that it keeps to"
    UNKNOWN_CLASS = "its class is not known"
    MEMORY_LIMIT = "the node's memory limit was reached"


@dataclass(slots=True)
class SendAttempt:
    """Start an attempt.  The attempts of a request are numbered from 0 in the order of sending."""

    request_id: int
    server: str
    timeout: int
    start_within: int = 0  # limit until the first byte is sent, connecting included; 0: none


@dataclass(slots=True)
class RejectRequest:
    """Send the final response: the request is rejected, and the client may safely retry it."""

    request_id: int
    retry_after: int = 0
    reason: UnservedReason = UnservedReason.WAITED_TOO_LONG


@dataclass(slots=True)
class FailRequest:
    """Send the final response: the request failed, and may or may not have taken effect."""

    request_id: int
    reason: UnservedReason = UnservedReason.OUT_OF_TIME


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt.  Its result is still reported by an ``AttemptEnded``."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a :class:`oakbridge.policy.events.TimerFired` with this token after the delay."""

    delay: int
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Request the endpoint list from discovery; it arrives as an ``EndpointListReceived``."""

    on: bool = True


Action = SendAttempt | RejectRequest | FailRequest | CancelAttempt | SetTimer | WatchEndpoints
