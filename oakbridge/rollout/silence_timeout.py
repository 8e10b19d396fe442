"""How long silence lasts before an instance is unknown.  Pure; times are seconds of a clock that never jumps."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class SilenceTimeout:
    """What news is awaited of, and since when."""

    limit: float  # seconds without news after which an instance is unknown
    _since: dict[str, float] = field(default_factory=dict)

    def await_(self, name: str, now: float) -> None:
        """A step went out to it; one that goes out again is not waited for longer."""
        self._since.setdefault(name, now)

    def heard(self, name: str) -> None:
        """Its step has ended."""
        self._since.pop(name, None)

    def awaited(self, name: str) -> bool:
        """Whether news of it is awaited."""
        return name in self._since

    def run_out(self, now: float) -> list[str]:
        """Those whose time is up, in the order of their steps; they are awaited no more."""
        late = [name for name, since in self._since.items() if now - since >= self.limit]
        for name in late:
            del self._since[name]
        return late
