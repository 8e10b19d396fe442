"""The ids of requests that may have run, so that a request that comes again does not run twice."""

from __future__ import annotations

RETENTION_US = 30_000_000
MAX_IDS = 2_048  # some 0.4 MB; the oldest are forgotten first


class RecentIds:
    """Ids with the times at which they are forgotten, in microseconds of the node's clock."""

    def __init__(self) -> None:
        self._forget_at: dict[bytes, int] = {}  # oldest first

    def add(self, request_id: bytes, now: int, time_left: int = RETENTION_US) -> None:
        """Remember an id for so many microseconds, or longer if it is remembered longer already."""
        forget_at = max(now + min(time_left, RETENTION_US), self._forget_at.pop(request_id, now))
        self._forget_at[request_id] = forget_at
        self._forget_old(now)

    def has(self, request_id: bytes, now: int) -> bool:
        """Return whether an id is remembered."""
        return self._forget_at.get(request_id, now) > now

    def time_left(self, request_id: bytes, now: int) -> int:
        """Return for how many microseconds an id is still remembered; 0 if it is not."""
        return max(0, self._forget_at.get(request_id, now) - now)

    def ids(self) -> list[bytes]:
        """Return the remembered ids, oldest first."""
        return list(self._forget_at)

    def _forget_old(self, now: int) -> None:
        while self._forget_at:
            oldest = next(iter(self._forget_at))
            if len(self._forget_at) <= MAX_IDS and self._forget_at[oldest] > now:
                return
            del self._forget_at[oldest]
