"""The workers, the queue and the speed of one stand-in server.  No I/O; times in seconds."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from oakbridge.lab.plan import ServersTable

Job = TypeVar("Job")


class ServerQueue(Generic[Job]):
    """A bounded number of workers, and a bounded queue of waiting jobs."""

    def __init__(self, plan: ServersTable, size: float, seed: str) -> None:
        """``size``: the server's speed factor from the plan."""
        self.speed = 1.0  # a further speed factor, which faults change
        self.cold_since_s: float | None = None  # None: warm
        self._plan = plan
        self._size = size
        self._busy_workers = 0
        self._waiting: deque[Job] = deque()
        self._random = random.Random(seed)

    def warmth(self, now_s: float) -> float:
        """Return the speed now as a fraction of that of a warm server."""
        warm_up_s = self._plan.cold_for / 1e6
        if self.cold_since_s is None or not warm_up_s:
            return 1.0
        progress = min(1.0, (now_s - self.cold_since_s) / warm_up_s)
        return self._plan.cold + (1 - self._plan.cold) * progress

    def add(self, job: Job, now_s: float) -> float | None:
        """Add a job; return its processing time, 0 if it waits, None if it is rejected."""
        if self._busy_workers < self._plan.workers:
            return self._start_work(now_s)
        if len(self._waiting) >= self._plan.queue:
            return None
        self._waiting.append(job)
        return 0.0

    def complete(
        self, now_s: float, is_cancelled: Callable[[Job], bool]
    ) -> tuple[Job, float] | None:
        """Finish a job; return the next one and its processing time in seconds, None if none waits.

        Waiting jobs that were cancelled in the meantime are dropped.
        """
        self._busy_workers -= 1
        while self._waiting:
            job = self._waiting.popleft()
            if not is_cancelled(job):
                return job, self._start_work(now_s)
        return None

    def clear_waiting(self) -> None:
        """Drop all waiting jobs."""
        self._waiting.clear()

    def _start_work(self, now_s: float) -> float:
        self._busy_workers += 1
        mean_s = self._plan.time / 1e6 / (self._size * self.speed * self.warmth(now_s))
        return self._random.expovariate(1 / mean_s)
