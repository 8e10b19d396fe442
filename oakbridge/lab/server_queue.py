"""The workers and the queue of one stand-in server, and how fast it is.  Pure: times in seconds."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from oakbridge.lab.plan import ServersTable

Job = TypeVar("Job")


class ServerQueue(Generic[Job]):
    """Jobs in work and jobs that wait, both bounded."""

    def __init__(self, plan: ServersTable, size: float, seed: str) -> None:
        """``size``: the server's speed as a multiple of the plan's."""
        self.speed = 1.0  # a further multiple, which faults change
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
        """Take in a job; return its work in seconds, 0 if it waits, None if it is rejected."""
        if self._busy_workers < self._plan.workers:
            return self._begin_work(now_s)
        if len(self._waiting) >= self._plan.queue:
            return None
        self._waiting.append(job)
        return 0.0

    def complete(
        self, now_s: float, is_cancelled: Callable[[Job], bool]
    ) -> tuple[Job, float] | None:
        """End a job; return the next one and its work in seconds, None if none waits.

        Waiting jobs that were cancelled meanwhile are dropped.
        """
        self._busy_workers -= 1
        while self._waiting:
            job = self._waiting.popleft()
            if not is_cancelled(job):
                return job, self._begin_work(now_s)
        return None

    def clear_waiting(self) -> None:
        """Drop all waiting jobs."""
        self._waiting.clear()

    def _begin_work(self, now_s: float) -> float:
        self._busy_workers += 1
        mean_s = self._plan.time / 1e6 / (self._size * self.speed * self.warmth(now_s))
        return self._random.expovariate(1 / mean_s)
