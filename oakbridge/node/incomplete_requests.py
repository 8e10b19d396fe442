"""Decides whose incomplete requests are rejected when a node is short of memory.

An incomplete request has not been taken: no server has seen it, and its client may retry it.  First
are those that are sent more slowly than clients are owed, then, if that is not enough, all others;
among them those that hold the most and have moved the least lately.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

OWED_BODY_BYTES_PER_S = 64_000  # a client may send a body this slowly
OWED_HEAD_US = 2_000_000  # a client may take so long for a head
GRACE_US = 500_000  # age at which a body's rate counts
MAX_REST_US = 1_000_000  # within a body; a longer one is below any rate per second
_US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True, eq=False)
class IncompleteRequest:
    """A request that is being received."""

    held_bytes: int  # memory
    received_bytes: int
    age_us: int  # since its first byte
    idle_us: int  # since its latest byte
    is_in_head: bool

    def is_slower_than_owed(self) -> bool:
        """Return whether its client sends it more slowly than it may."""
        if self.is_in_head:
            return self.age_us > OWED_HEAD_US
        if self.idle_us > MAX_REST_US:
            return True
        owed_bytes = OWED_BODY_BYTES_PER_S * self.age_us // _US_PER_S
        return self.age_us > GRACE_US and self.received_bytes < owed_bytes


def rejection_order(
    requests: Iterable[IncompleteRequest], *, only_slow: bool
) -> list[IncompleteRequest]:
    """Return the requests in the order in which they are rejected.

    ``only_slow``: leave out those that are sent as fast as clients are owed.
    """
    candidates = [
        request
        for request in requests
        if request.held_bytes > 0 and (request.is_slower_than_owed() or not only_slow)
    ]
    return sorted(candidates, key=_rank, reverse=True)


def _rank(request: IncompleteRequest) -> tuple[bool, int]:
    return request.is_slower_than_owed(), request.held_bytes * (request.idle_us + 1)
