"""What an agent reads in a node's status."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The part of a node's status that its agent acts on."""

    pid: int | None
    ready: bool
    config_digest: str | None  # SHA-256 of the configuration file that it was started with
    source_problem: str  # "refused" or "held", if its server file is; else ""

    @classmethod
    def from_json(cls, raw: dict[str, Any]) -> NodeStatus:
        """Return the status that a node's answer tells; what it leaves out is not known."""
        source = raw.get("source", {})
        problems = [word for word in ("refused", "held") if source.get(word)]
        return cls(
            pid=raw.get("pid"),
            ready=bool(raw.get("ready")),
            config_digest=raw.get("config_digest"),
            source_problem=problems[0] if problems else "",
        )
