"""A replica's own request rate, as it reports it to other replicas.  No I/O.

The rate is reported in coarse steps that seldom change.  All replicas compute arcs from the
reported rates; if two replicas hold different rates of many others, their arcs differ.
"""

from __future__ import annotations

import math

MEAN_TIME_CONSTANT_US = 60_000_000  # time constant of the rate's exponential moving average
STEPS_PER_DOUBLING = 2
MIN_RATE_PER_S = 0.05  # lower rates count as this; a replica without requests has a share, too
REPORT_PERIOD_S = 10  # the report gives the requests in this time
US_PER_S = 1e6


class ReportedRate:
    """The request rate of this node, and the step in which it is reported."""

    def __init__(self) -> None:
        """Begin without counts."""
        self.per_s = 0.0
        self._count = 0
        self._counted_at_us: int | None = None
        self._step: int | None = None

    def update(self, now_us: int, count: int) -> int:
        """Update the rate; return the requests in ``REPORT_PERIOD_S`` to report, at least 1.

        ``count``: all requests since the process started.
        """
        if self._counted_at_us is not None and now_us > self._counted_at_us:
            elapsed_us = now_us - self._counted_at_us
            rate = US_PER_S * (count - self._count) / elapsed_us
            self.per_s += (rate - self.per_s) * (1 - math.exp(-elapsed_us / MEAN_TIME_CONSTANT_US))
        self._count = count
        self._counted_at_us = now_us
        step = STEPS_PER_DOUBLING * math.log2(max(MIN_RATE_PER_S, self.per_s))
        # The reported step changes only once the rate is more than a whole step away from it.
        if self._step is None or abs(step - self._step) > 1:
            self._step = round(step)
        return max(1, round(REPORT_PERIOD_S * 2 ** (self._step / STEPS_PER_DOUBLING)))
