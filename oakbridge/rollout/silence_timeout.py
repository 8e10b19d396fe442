"""How long a rollout waits for the end of a step before the instance is unknown.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class SilenceTimeout:
    """Which instances are awaited, and since when; times are seconds of a monotonic clock."""

    timeout_s: float
    _started_s: dict[str, float] = field(default_factory=dict)

    def start(self, name: str, now_s: float) -> None:
        """Wait for this instance; a wait that has begun is not extended."""
        self._started_s.setdefault(name, now_s)

    def cancel(self, name: str) -> None:
        """Stop waiting for this instance."""
        self._started_s.pop(name, None)

    def is_pending(self, name: str) -> bool:
        """Return whether this instance is awaited."""
        return name in self._started_s

    def pop_expired(self, now_s: float) -> list[str]:
        """Return the instances whose time is up, oldest wait first, and stop waiting for them."""
        expired = [
            name
            for name, started_s in self._started_s.items()
            if now_s - started_s >= self.timeout_s
        ]
        for name in expired:
            del self._started_s[name]
        return expired
