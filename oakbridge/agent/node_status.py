"""The fields of a node's status that its agent uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The fields of a node's status that its agent uses."""

    pid: int | None
    ready: bool
    config_digest: str | None  # SHA-256 of the configuration file that the node was started with
    source_problem: str  # "refused" or "held" if the node's server file is; else ""

    @classmethod
    def from_json(cls, raw: dict[str, Any]) -> NodeStatus:
        """Return the status in a node's response; fields that it leaves out are unknown."""
        source = raw.get("source", {})
        problems = [problem for problem in ("refused", "held") if source.get(problem)]
        return cls(
            pid=raw.get("pid"),
            ready=bool(raw.get("ready")),
            config_digest=raw.get("config_digest"),
            source_problem=problems[0] if problems else "",
        )
