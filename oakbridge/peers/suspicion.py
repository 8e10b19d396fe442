"""How long a suspected member has to refute the suspicion.

Lifeguard's rule: long at first, so that one accuser that is itself slow does no harm, and shorter
with each further member that suspects it independently, down to SWIM's time-out.  Source:
A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection", 2017, section IV-B.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

ALPHA = 4.0  # the shortest time-out is alpha log10(n) probe intervals
BETA = 6.0  # the longest one is beta times the shortest
MAX_CONFIRMATIONS = 3  # independent accusers after whom the shortest time-out holds


def min_timeout_us(members: int, probe_interval_us: int) -> int:
    """Return SWIM's time-out: a suspicion reaches all, and a refutation comes back."""
    return round(ALPHA * max(1.0, math.log10(max(1, members))) * probe_interval_us)


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member."""

    started_us: int
    min_us: int
    max_us: int
    accusers: set[str] = field(default_factory=set)
    confirmations_needed: int = MAX_CONFIRMATIONS
    failure_reported: bool = False  # another member declared it failed: the shortest time-out holds

    @property
    def is_confirmed(self) -> bool:
        """Return whether as many members suspect it as count."""
        return len(self.accusers) > self.confirmations_needed

    def confirm(self, accuser: str) -> bool:
        """Return whether this accuser is a new one that counts."""
        if accuser in self.accusers or self.is_confirmed:
            return False
        self.accusers.add(accuser)
        return True

    def report_failure(self) -> None:
        """Shorten the time-out to the least: another member has declared the target failed."""
        self.confirmations_needed = 0
        self.failure_reported = True

    def deadline_us(self) -> int:
        """Return when the time to refute is over, by the accusers so far."""
        confirmations = max(0, len(self.accusers) - 1)
        if self.confirmations_needed <= 0 or confirmations >= self.confirmations_needed:
            return self.started_us + self.min_us
        elapsed_part = math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
        timeout_us = round(self.max_us - (self.max_us - self.min_us) * elapsed_part)
        return self.started_us + max(self.min_us, timeout_us)
