"""How much other members' reports of failing servers weigh.  Pure.

Each member has one vote, which it divides: one that names many servers is likelier ill itself, or
cut off, than all of them are.  A lone vote counts for nothing, so no single member, lying or ill,
changes what another one does.  And all votes together only set where a node's own outlier detection
begins once a call of its own has failed: at even odds at most, so that one failure is enough where
it takes two.  Without a failure of its own nothing changes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from oakbridge.peers.messages import NodeReport
from oakbridge.peers.view_state import FAILURE_REPORTS, Reaction, ViewState

MAX_AGE_US = 10_000_000  # an older report says nothing of the present
FULL_VOTE_SERVERS = 2  # that a member may name and still give each its full vote
FULL_WEIGHT_VOTES = 2.0  # beyond the first one, for the full weight


@dataclass(frozen=True, slots=True)
class FailureReports:
    """What other members report about one failing server."""

    weight: float  # 0 to 1
    votes: float  # each member's at most 1
    reporters: tuple[str, ...] = ()


def weigh_failure_reports(
    state: ViewState, reports: Iterable[tuple[NodeReport, int]], own_name: str
) -> dict[str, FailureReports]:
    """Return what is reported of each server that other members find failing.

    ``reports`` are the members' last ones, each with its age in microseconds; ``own_name`` is this
    member, whose own report is no hearsay.
    """
    if FAILURE_REPORTS.reaction(state) != Reaction.USE:
        return {}
    votes: defaultdict[str, dict[str, float]] = defaultdict(dict)
    for report, age_us in reports:
        if report.name == own_name or age_us > MAX_AGE_US:
            continue
        servers = dict.fromkeys(report.failing_servers)
        for server in servers:
            votes[server][report.name] = min(1.0, FULL_VOTE_SERVERS / len(servers))
    return {server: _weigh(by_reporter) for server, by_reporter in votes.items()}


def _weigh(votes: dict[str, float]) -> FailureReports:
    total = sum(votes.values())
    weight = min(1.0, max(0.0, total - 1.0) / FULL_WEIGHT_VOTES)
    return FailureReports(weight, total, tuple(sorted(votes)))
