"""Counts at run time each break of a rule that holds for every request, wherever it is noticed.

A violation is a fault of this program: it is logged as an error, with the reason, and counted.
Where the guard could still prevent the effect, as in a second attempt that is not sent, it counts
all the same: something asked for it.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)


class Invariant(Enum):
    """A rule that holds for every request."""

    SENT_AFTER_END = "an attempt for a request that is over, or beside another attempt"
    UNANSWERED_IN_TIME = "a request without a response at the end of its time"
    CLOSED_UNANSWERED = "a connection closed by this node while a response was owed"
    RESPONSE_CUT_SHORT = "a response that was not written whole when the process ended"


class InvariantCounters:
    """How often each invariant was violated, since the start."""

    def __init__(self) -> None:
        self._counts: Counter[Invariant] = Counter()

    def violated(self, invariant: Invariant, detail: str) -> None:
        """Count and log a violation."""
        self._counts[invariant] += 1
        log.error("invariant violated: %s: %s", invariant.value, detail)

    def total(self) -> int:
        """Return the number of violations."""
        return self._counts.total()

    def log_summary(self) -> None:
        """Log all counts, at the end of the process."""
        counts = ", ".join(f"{one.name}={number}" for one, number in self._counts.items())
        log.info("invariant violations: %d%s", self.total(), f" ({counts})" if counts else "")
