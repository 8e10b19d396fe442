"""Counts violations of rules that must hold for every request, at run time.

A violation is a fault of this program: it is logged as an error, with its details, and counted.  It
also counts where the check prevents the effect, as with a second attempt that is then not sent.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)


class Invariant(Enum):
    """A rule that holds for every request; the value describes its violation for the log."""

    SENT_AFTER_END = "an attempt for a finished request, or beside another attempt"
    UNANSWERED_IN_TIME = "a request without a response at its deadline"
    CLOSED_UNANSWERED = "a connection closed by this node before the response to its request"
    RESPONSE_CUT_SHORT = "a response that was not completely written when the process exited"


class InvariantCounters:
    """How often each invariant was violated since the start of the process."""

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
        """Log all counts when the process exits."""
        counts = ", ".join(f"{invariant.name}={count}" for invariant, count in self._counts.items())
        log.info("invariant violations: %d%s", self.total(), f" ({counts})" if counts else "")
