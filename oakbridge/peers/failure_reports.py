"""Weighs other members' reports of failing servers.  No I/O.

Each member votes for the servers that it reports.  The more servers beyond FULL_VOTE_SERVERS a
member names, the less each of its votes counts: it is more likely to be faulty or cut off itself
than all of these servers are.  A single vote has no weight, so no single faulty or lying member
changes what another one does.  All votes together only change the starting point of a node's own
outlier detection after one of its own requests has failed: the prior becomes even odds at most, so
that one failure ejects where otherwise two are needed.  Without a failed request of its own nothing
changes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from oakbridge.peers.messages import NodeReport
from oakbridge.peers.view_state import FAILURE_REPORTS, Reaction, ViewState

MAX_REPORT_AGE_US = 10_000_000  # older reports say nothing about the present and are ignored
FULL_VOTE_SERVERS = 2  # a member that names at most this many gives each a full vote
FULL_WEIGHT_VOTES = 2.0  # votes beyond the first one that give weight 1


@dataclass(frozen=True, slots=True)
class FailureReports:
    """The combined reports of other members about one failing server."""

    weight: float  # 0 to 1
    votes: float  # sum of the votes, at most 1 per member
    reporters: tuple[str, ...] = ()


def weigh_failure_reports(
    state: ViewState, reports: Iterable[tuple[NodeReport, int]], own_name: str
) -> dict[str, FailureReports]:
    """Return the combined reports for each server that other members report as failing.

    ``reports`` holds each member's last report and its age in microseconds; the report of
    ``own_name``, this member, is left out.
    """
    if FAILURE_REPORTS.reaction(state) != Reaction.USE:
        return {}
    votes: defaultdict[str, dict[str, float]] = defaultdict(dict)
    for report, age_us in reports:
        if report.name == own_name or age_us > MAX_REPORT_AGE_US:
            continue
        servers = dict.fromkeys(report.failing_servers)
        for server in servers:
            votes[server][report.name] = min(1.0, FULL_VOTE_SERVERS / len(servers))
    return {server: _weigh(by_reporter) for server, by_reporter in votes.items()}


def _weigh(votes: dict[str, float]) -> FailureReports:
    total = sum(votes.values())
    weight = min(1.0, max(0.0, total - 1.0) / FULL_WEIGHT_VOTES)
    return FailureReports(weight, total, tuple(sorted(votes)))
