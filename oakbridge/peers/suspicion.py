"""How long a suspected member has to refute it.

Lifeguard's rule: long at first, so that one accuser who is himself slow does no harm, and shorter with each further
member that says the same on its own, down to SWIM's time.  Source: A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local
Health Awareness for More Accurate Failure Detection", 2017, section IV-B.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

ALPHA, BETA = 4.0, 6.0  # the least time is alpha log10(n) periods, the longest beta times that
ENOUGH = 3  # independent accusers, after whom the least time holds


def least(members: int, period: int) -> int:
    """SWIM's time-out, microseconds: long enough for the news to reach all and the refutation to come back."""
    return round(ALPHA * max(1.0, math.log10(max(1, members))) * period)


@dataclass(slots=True)
class Suspicion:
    """One member's, from when it was first suspected."""

    began: int  # microseconds
    shortest: int
    longest: int
    accusers: set[str] = field(default_factory=set)
    enough: int = ENOUGH
    accused: bool = False  # somebody's verdict was heard, which it has the shortest time to refute

    def confirm(self, accuser: str) -> bool:
        """Whether this accuser is a new one that counts; no more than enough are kept."""
        if accuser in self.accusers or len(self.accusers) > self.enough:
            return False
        self.accusers.add(accuser)
        return True

    def ends(self) -> int:
        """When it is over, by the accusers so far."""
        confirmed = max(0, len(self.accusers) - 1)
        if self.enough <= 0 or confirmed >= self.enough:
            return self.began + self.shortest
        part = math.log(confirmed + 1) / math.log(self.enough + 1)
        return self.began + max(self.shortest, round(self.longest - (self.longest - self.shortest) * part))
