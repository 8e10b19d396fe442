"""One stand-in server's workers and queue, and how fast it is.  Pure: seconds in, seconds out."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from oakbridge.lab.plan import ServersTable

Job = TypeVar("Job")


class Bench(Generic[Job]):
    """What a server has in work, and what waits."""

    def __init__(self, plan: ServersTable, size: float, seed: str) -> None:
        """``size``: times as fast as the plan's mean time tells."""
        self.plan, self.size, self.speed = plan, size, 1.0
        self.cold_since: float | None = None  # seconds; None: warm
        self.busy = 0
        self.waiting: deque[Job] = deque()
        self._random = random.Random(seed)

    def warmth(self, now: float) -> float:
        """Its speed now, against what it will be."""
        lasts = self.plan.cold_for / 1e6
        if self.cold_since is None or not lasts:
            return 1.0
        return self.plan.cold + (1 - self.plan.cold) * min(1.0, (now - self.cold_since) / lasts)

    def come(self, job: Job, now: float) -> float | None:
        """A job comes: for how long it is worked on from now, 0 if it waits, None if it is turned away."""
        if self.busy < self.plan.workers:
            return self._work(now)
        if len(self.waiting) >= self.plan.queue:
            return None
        self.waiting.append(job)
        return 0.0

    def done(self, now: float, given_up: Callable[[Job], bool]) -> tuple[Job, float] | None:
        """One is done: which one follows, and for how long; those that were given up meanwhile are passed over."""
        self.busy -= 1
        while self.waiting:
            job = self.waiting.popleft()
            if not given_up(job):
                return job, self._work(now)
        return None

    def _work(self, now: float) -> float:
        self.busy += 1
        mean = self.plan.time / 1e6 / (self.size * self.speed * self.warmth(now))
        return self._random.expovariate(1 / mean)
