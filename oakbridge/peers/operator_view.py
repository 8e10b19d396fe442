"""Builds the JSON of ``oakbridge peers`` and ``oakbridge peers why``.

Only this module maps the code's terms to the names of JSON fields.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakbridge.peers.failure_reports import FailureReports
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.messages import MemberRecord
from oakbridge.peers.node_reports import AgedReport

if TYPE_CHECKING:
    from oakbridge.peers.service import MembershipService

US_PER_S = 1e6
MAX_REPORTERS_NAMED = 8
OWN_STATE = "this node"


def describe(service: MembershipService, now_us: int) -> dict[str, Any]:
    """Return a node's view of all members as JSON for operators."""
    member = service.member
    view = service.view
    index = service.view_monitor.replica_index.current
    return {
        "name": member.record.name,
        "stance": None if view is None else str(view),
        "kind": None if view is None else view.state.value,
        "place": None if index is None else [index.index, index.count],
        "health": member.health_score,
        "doubted": _failing_servers(service.failure_reports),
        "members": _member_rows(service, now_us),
        "counts": _counts(service),
        "longest_turn_ms": round(service.longest_callback_s * 1e3, 3),
    }


def history(known: KnownMember, now_us: int) -> list[dict[str, Any]]:
    """Return the state changes of a member, oldest first."""
    return [
        {
            "ago_s": round((now_us - change.at_us) / US_PER_S, 1),
            "before": change.before,
            "after": change.after,
            "by": change.reported_by,
            "cause": change.cause,
            "address": change.address,
        }
        for change in known.history
    ]


def _failing_servers(reports: dict[str, FailureReports]) -> list[dict[str, Any]]:
    heaviest_first = sorted(reports.items(), key=lambda item: (-item[1].weight, item[0]))
    return [
        {
            "server": server,
            "weight": round(found.weight, 2),
            "voices": round(found.votes, 2),
            "by": list(found.reporters[:MAX_REPORTERS_NAMED]),
        }
        for server, found in heaviest_first
    ]


def _member_rows(service: MembershipService, now_us: int) -> list[dict[str, Any]]:
    member = service.member
    own = _record_row(member.record, OWN_STATE, since_s=0.0, reported_by="")
    rows = [own]
    for name in sorted(member.members):
        known = member.members[name]
        record = known.record
        since_s = round((now_us - known.since_us) / US_PER_S, 1)
        row = _record_row(record, record.state.label, since_s, record.reported_by)
        report = member.report(name, now_us)
        if report is not None:
            row |= _report_fields(report)
        rows.append(row)
    return rows


def _record_row(
    record: MemberRecord, state: str, since_s: float, reported_by: str
) -> dict[str, Any]:
    return {
        "name": record.name,
        "site": record.tags.get("site", ""),
        "state": state,
        "since_s": since_s,
        "by": reported_by,
        "incarnation": record.incarnation,
        "version": record.tags.get("version", ""),
        "address": record.address,
        "life": record.generation,
    }


def _report_fields(aged: AgedReport) -> dict[str, Any]:
    return {
        "load": aged.report.in_flight,
        "copies": aged.report.subset_size,
        "failing": list(aged.report.failing_servers),
        "fact_age_s": round(aged.age_us / US_PER_S, 1),
    }


def _counts(service: MembershipService) -> dict[str, int]:
    counts = {str(counter): count for counter, count in service.counts.items()}
    counts |= {str(counter): count for counter, count in service.member.counts.items()}
    rejected = service.codec.rejected.items()
    return counts | {f"dropped: {reason}": count for reason, count in rejected}
