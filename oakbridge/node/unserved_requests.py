"""Counts requests that finished without a server's response, by reason, and logs the counts."""

from __future__ import annotations

import logging
from collections import Counter

from oakbridge.policy.actions import UnservedReason

log = logging.getLogger(__name__)

# Under overload, a log line for each request would cost more than the request.
LOG_INTERVAL_US = 1_000_000


class UnservedRequests:
    """The number of requests without a server's response since the process start, by reason."""

    def __init__(self) -> None:
        self.counts: Counter[UnservedReason] = Counter()
        self._logged: Counter[UnservedReason] = Counter()
        self._next_log_at = 0

    def add(self, reason: UnservedReason, now: int) -> None:
        """Count a request; ``now`` is in microseconds.  Log new counts at most once a second."""
        self.counts[reason] += 1
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_US
            self.log_new()

    def log_new(self) -> None:
        """Log the requests counted since the last log lines, one line per reason."""
        new = self.counts - self._logged
        self._logged = self.counts.copy()
        for reason, count in new.items():
            log.info(
                "requests without a server's response: count=%d reason=%s", count, reason.value
            )
