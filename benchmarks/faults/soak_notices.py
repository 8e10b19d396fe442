"""The time from which a node of the fault soak counts as notified of a drain.

- A response that discovery has written notifies the node when the response arrives complete.
- Whatever single discovery requests did, a node counts as notified of a change 6 s after discovery
  had the change, or 6 s after the node started.
- Where endpoint lists are pushed to an agent, a node counts as notified at once; 4 s after a reload
  that moved the node to another agent; and 6 s after responses began to be lost.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from discovery_standin import NodeDiscovery, NodeRun
from soak_rules import DrainNotice

NOTICE_LIMIT_S = 6.0
MOVE_NOTICE_LIMIT_S = 4.0
# A node may not have read a change that its agent got this short a time before a move or a fault.
READ_DELAY_S = 0.3


@dataclass(slots=True)
class Drain:
    """The period in which discovery listed a server as draining."""

    server: str
    version: int  # of the endpoint list that first has the server draining
    published_at: float
    ended_at: float = math.inf


def drain_notices(
    node: int, discovery: NodeDiscovery, drains: list[Drain], *, pushed: bool
) -> list[DrainNotice]:
    """Return when a node was notified of each drain, for each of its processes."""
    found = []
    ends = [run.started_at for run in discovery.runs[1:]] + [math.inf]
    for drain in drains:
        for run, ended_at in zip(discovery.runs, ends, strict=True):
            had_at = max(drain.published_at, run.started_at)
            since = _notified_at(discovery, run, drain, had_at, pushed=pushed)
            found.append(
                DrainNotice(
                    node, drain.server, since, min(drain.ended_at, ended_at), drain.published_at
                )
            )
    return found


def _notified_at(
    discovery: NodeDiscovery, run: NodeRun, drain: Drain, had_at: float, *, pushed: bool
) -> float:
    latest_at = had_at + NOTICE_LIMIT_S
    if pushed:
        latest_at = min(latest_at, _latest_from_agent_at(discovery, had_at))
    return max(had_at, min(run.written_at.get(drain.version, math.inf), latest_at))


def _latest_from_agent_at(discovery: NodeDiscovery, had_at: float) -> float:
    latest_at = had_at
    for moved_at in discovery.moved_at:
        if moved_at - READ_DELAY_S <= latest_at < moved_at + MOVE_NOTICE_LIMIT_S:
            latest_at = moved_at + MOVE_NOTICE_LIMIT_S
    for lost_from, _ in discovery.fault_times:
        if lost_from - READ_DELAY_S <= had_at < lost_from + NOTICE_LIMIT_S:
            latest_at = max(latest_at, lost_from + NOTICE_LIMIT_S)
    return latest_at
