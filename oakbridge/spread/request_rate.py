"""A replica's own request rate, as it reports it to the others.  Pure.

It is reported in coarse steps that hardly ever change: the others lay their arcs by it, and where
two hold different rates of many, their arcs drift apart.
"""

from __future__ import annotations

import math

MEAN_US = 60_000_000  # over which the rate is a mean
STEPS_PER_DOUBLING = 2
MIN_RATE = 0.05  # requests a second: a replica without any has a share, too
REPORT_S = 10  # what is reported is requests in so long
US_PER_S = 1e6


class ReportedRate:
    """The requests of this node, in the steps in which they are reported."""

    def __init__(self) -> None:
        """Begin without counts."""
        self.per_s = 0.0
        self._count = 0
        self._counted_at_us: int | None = None
        self._step: int | None = None

    def update(self, now_us: int, count: int) -> int:
        """Take in the requests since the process began; return what to report, at least 1."""
        if self._counted_at_us is not None and now_us > self._counted_at_us:
            elapsed_us = now_us - self._counted_at_us
            rate = US_PER_S * (count - self._count) / elapsed_us
            self.per_s += (rate - self.per_s) * (1 - math.exp(-elapsed_us / MEAN_US))
        self._count = count
        self._counted_at_us = now_us
        step = STEPS_PER_DOUBLING * math.log2(max(MIN_RATE, self.per_s))
        # A whole step away: from the middle of one to the next.
        if self._step is None or abs(step - self._step) > 1:
            self._step = round(step)
        return max(1, round(REPORT_S * 2 ** (self._step / STEPS_PER_DOUBLING)))
