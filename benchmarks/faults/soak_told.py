"""When a node of the fault soak counts as told of a drain, by the users' terms.

- What discovery has written counts as told when it arrives whole.
- Whatever single calls did, a change counts as told 6 s after discovery had it, or after the node
  began.
- What an agent has, to which lists are pushed, counts as told at once; 4 s after a reload that moved
  the node to another agent; and 6 s after answers began to be lost.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from discovery_standin import NodeDiscovery, NodeRun
from soak_rules import Told

TOLD_S = 6.0
TOLD_AFTER_MOVE_S = 4.0
# A change that an agent had so shortly before a move may not have been read from it.
READ_S = 0.3


@dataclass(slots=True)
class Drain:
    """That a server was listed as draining, from one time to another."""

    server: str
    version: int  # of the list
    published_at: float
    ended_at: float = math.inf


def told_of_drains(
    node: int, discovery: NodeDiscovery, drains: list[Drain], *, pushed: bool
) -> list[Told]:
    """Return when a node was told of each drain, for each of its processes."""
    found = []
    ends = [run.started_at for run in discovery.runs[1:]] + [math.inf]
    for drain in drains:
        for run, ended_at in zip(discovery.runs, ends, strict=True):
            had_at = max(drain.published_at, run.started_at)
            since = _told_at(discovery, run, drain, had_at, pushed=pushed)
            found.append(
                Told(node, drain.server, since, min(drain.ended_at, ended_at), drain.published_at)
            )
    return found


def _told_at(
    discovery: NodeDiscovery, run: NodeRun, drain: Drain, had_at: float, *, pushed: bool
) -> float:
    told_by = had_at + TOLD_S
    if pushed:
        told_by = min(told_by, _told_by_agent_at(discovery, had_at))
    return max(had_at, min(run.written_at.get(drain.version, math.inf), told_by))


def _told_by_agent_at(discovery: NodeDiscovery, had_at: float) -> float:
    told_at = had_at
    for moved_at in discovery.moved_at:
        if moved_at - READ_S <= told_at < moved_at + TOLD_AFTER_MOVE_S:
            told_at = moved_at + TOLD_AFTER_MOVE_S
    for lost_from, _ in discovery.fault_times:
        if lost_from - READ_S <= had_at < lost_from + TOLD_S:
            told_at = max(told_at, lost_from + TOLD_S)
    return told_at
