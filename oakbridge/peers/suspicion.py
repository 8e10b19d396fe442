"""Computes how long a suspected member has to refute the suspicion.

Lifeguard's rule: the timeout is long at first, so that a single reporter that is slow itself does
no harm.  Each further member that suspects independently shortens it, down to SWIM's timeout.

Source: A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate
Failure Detection", 2017, section IV-B.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

ALPHA = 4.0  # the shortest timeout is alpha log10(n) probe intervals
BETA = 6.0  # the longest timeout is beta times the shortest one
MAX_CONFIRMATIONS = 3  # further independent reporters after which the shortest timeout applies


def min_timeout_us(members: int, probe_interval_us: int) -> int:
    """Return SWIM's timeout: time for a suspicion to reach all and a refutation to come back."""
    return round(ALPHA * max(1.0, math.log10(max(1, members))) * probe_interval_us)


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member."""

    started_at_us: int
    shortest_timeout_us: int
    longest_timeout_us: int
    reporters: set[str] = field(default_factory=set)
    confirmations_needed: int = MAX_CONFIRMATIONS
    is_failure_reported: bool = False  # another member declared it failed

    @property
    def is_confirmed(self) -> bool:
        """Return whether the suspicion has all confirmations that shorten its timeout."""
        return len(self.reporters) > self.confirmations_needed

    def confirm(self, reporter: str) -> bool:
        """Add a reporter; return whether it is a new one that shortens the timeout."""
        if reporter in self.reporters or self.is_confirmed:
            return False
        self.reporters.add(reporter)
        return True

    def report_failure(self) -> None:
        """Apply the shortest timeout, as another member has declared the suspected one failed."""
        self.confirmations_needed = 0
        self.is_failure_reported = True

    def deadline_us(self) -> int:
        """Return when the suspicion expires, given the reporters so far."""
        confirmations = max(0, len(self.reporters) - 1)
        if self.confirmations_needed <= 0 or confirmations >= self.confirmations_needed:
            return self.started_at_us + self.shortest_timeout_us
        shortened_fraction = math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
        timeout_us = round(
            self.longest_timeout_us
            - (self.longest_timeout_us - self.shortest_timeout_us) * shortened_fraction
        )
        return self.started_at_us + max(self.shortest_timeout_us, timeout_us)
