"""The rules for every request: exactly one response in time, and no repeated effect."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from itertools import pairwise
from typing import Any

from oakbridge.lab.history import History
from oakbridge.lab.schedule import Span

TIMING_TOLERANCE_US = 50_000
MAX_LATENESS_US = 500_000  # of a response, beyond the request's deadline
CUT_BACKLOG_US = 1_000_000  # time after a cut in which data that it delayed can still arrive

NOT_ACCEPTED = -1  # instead of a status: no node accepted the connection
NO_RESPONSE = 0  # instead of a status: the request got no response


def count_response_violations(history: History) -> tuple[int, str]:
    """Count requests without exactly one response in time; return the count and a note by kind.

    Violations are a request without a response, a first try answered later than its deadline +
    0.5 s, and a response without a request.  Requests at a node that was killed or frozen during
    them, and requests that no node accepted, are left out.
    """
    outages = history.outages()
    names = [node.name for node in history.fleet.nodes]
    deadlines = [table.deadline for table in history.plan.classes]
    violations: Counter[str] = Counter()
    for row in history.requests:
        if row["status"] == NOT_ACCEPTED:
            continue
        if _overlaps_outage(history, row, outages.get(names[row["node"]], ())):
            continue
        if row["status"] == NO_RESPONSE:
            violations["no answer"] += 1
        elif row["tries"] == 1 and row["took"] > deadlines[row["class"]] + MAX_LATENESS_US:
            violations["late by more than half a second"] += 1
    violations["unasked"] += history.unsolicited_responses
    return violations.total(), _describe(violations)


def _overlaps_outage(history: History, row: Mapping[str, Any], outages: Iterable[Span]) -> bool:
    begin_us = row["due"] - history.begin_us
    end_us = begin_us + row["took"]
    return any(
        begin_us <= span.end_us + TIMING_TOLERANCE_US
        and end_us >= span.begin_us - TIMING_TOLERANCE_US
        for span in outages
    )


def count_repeated_effects(history: History) -> tuple[int, str]:
    """Count requests with concurrent attempts, and unsafe ones started twice; return a note too.

    Two attempts a and b, in the order of arrival, are concurrent if
    b.arrived < a.ended - 50 ms - 2 * (delay + delay between sites).

    Attempts across a cut are left out of this rule.  An attempt that is cancelled during the cut
    continues at the server until the cut ends, or arrives there only then, so that the server's
    times do not show whether the node still had the attempt in flight.
    """
    unsafe = {
        number for number, table in enumerate(history.plan.classes) if table.repeat == "unsafe"
    }
    classes = {row["request"]: row["class"] for row in history.requests}
    nodes = {row["request"]: row["node"] for row in history.requests if row["node"] >= 0}
    violations: Counter[str] = Counter()
    for request, rows in _executions_by_request(history).items():
        if len(rows) < 2:
            continue
        judged = [row for row in rows if not _crosses_cut(history, nodes.get(request), row)]
        if _has_overlap(history, judged):
            violations["two out at once"] += 1
        if classes.get(request) in unsafe and sum(row["begun"] for row in rows) > 1:
            violations["unsafe, begun twice"] += 1
    return violations.total(), _describe(violations)


def _executions_by_request(history: History) -> dict[str, list[dict[str, Any]]]:
    """Return the executions of each request in the order of arrival."""
    by_request: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for row in history.executions:
        by_request[row["request"]].append(row)
    for rows in by_request.values():
        rows.sort(key=lambda row: row["came"])
    return by_request


def _has_overlap(history: History, rows: list[dict[str, Any]]) -> bool:
    network = history.plan.network
    tolerance_us = TIMING_TOLERANCE_US + 2 * (network.delay + network.between_sites)
    return any(later["came"] < earlier["ended"] - tolerance_us for earlier, later in pairwise(rows))


def _crosses_cut(history: History, node: int | None, row: Mapping[str, Any]) -> bool:
    """Return whether the link to the server was cut during the execution or shortly before it."""
    if node is None:
        return False
    both_sites = {history.fleet.nodes[node].site, history.fleet.servers[row["server"]].site}
    arrived_us, ended_us = row["came"] - history.begin_us, row["ended"] - history.begin_us
    sites = {site.name for site in history.plan.sites}
    for fault in history.plan.faults:
        until_us = fault.at + (fault.lasts or history.duration_us)
        is_in_time = fault.at <= ended_us and arrived_us <= until_us + CUT_BACKLOG_US
        if fault.kind == "cut" and is_in_time:
            others = {fault.other} if fault.other else sites - {fault.site}
            if fault.site in both_sites and both_sites & others:
                return True
    return False


def _describe(violations: Counter[str]) -> str:
    return ", ".join(f"{count} {kind}" for kind, count in sorted(violations.items()) if count)
