"""Counts requests that ended without a server's response, by reason, and logs the counts."""

from __future__ import annotations

import logging
from collections import Counter

from oakbridge.policy.actions import UnservedReason

log = logging.getLogger(__name__)

LOG_INTERVAL_US = (
    1_000_000  # under overload a line for each request would cost more than the request
)


class UnservedRequests:
    """How many requests ended without a server's response, and why, since the start."""

    def __init__(self) -> None:
        self.counts: Counter[UnservedReason] = Counter()
        self._logged: Counter[UnservedReason] = Counter()
        self._next_log_at = 0

    def add(self, reason: UnservedReason, now: int) -> None:
        """Count a request; ``now`` in microseconds.  At most one line is logged a second."""
        self.counts[reason] += 1
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_US
            self.log_new()

    def log_new(self) -> None:
        """Log what has been counted since the last line, if anything."""
        new = self.counts - self._logged
        self._logged = self.counts.copy()
        for reason, count in new.items():
            log.info("requests without a server's response: %d: %s", count, reason.value)
