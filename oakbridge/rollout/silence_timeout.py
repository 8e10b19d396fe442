"""The timeout after which an instance without a step result is unknown.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class SilenceTimeout:
    """Since when the result of each instance is awaited; times are seconds of a monotonic clock."""

    timeout_s: float
    _started_s: dict[str, float] = field(default_factory=dict)

    def start(self, name: str, now_s: float) -> None:
        """Start the timeout of an instance; one that is running is not extended."""
        self._started_s.setdefault(name, now_s)

    def cancel(self, name: str) -> None:
        """Cancel the timeout of an instance."""
        self._started_s.pop(name, None)

    def is_pending(self, name: str) -> bool:
        """Return whether the timeout of an instance is running."""
        return name in self._started_s

    def pop_expired(self, now_s: float) -> list[str]:
        """Return the instances whose timeout has expired, oldest first, and remove them."""
        expired = [
            name
            for name, started_s in self._started_s.items()
            if now_s - started_s >= self.timeout_s
        ]
        for name in expired:
            del self._started_s[name]
        return expired
