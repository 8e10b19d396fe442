"""Diagnoses a fleet: finds problems and names a remedy for each.  Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from oakbridge.fleet.health import DRAINED, instance_health, is_healthy
from oakbridge.rollout.journal import JournalEntry
from oakbridge.rollout.record import InstanceOutcome, Phase
from oakbridge.rollout.step_report import Report

MAX_CLOCK_OFFSET_S = 5.0
MIN_CERTIFICATE_DAYS = 30.0
MAX_NAMES = 3  # names that a finding lists; it gives the number of the others
IN_PROGRESS_PHASES = frozenset({Phase.RUNNING, Phase.GATING, Phase.ROLLING_BACK})
ABSENT_STATES = frozenset({"failed", "left"})  # states of a member that is not there

REMEDIES = {
    "silent": "the node runs and says nothing: frozen, or starved",
    "crash loop": "look at its last words and node.log; roll back what changed last",
    "watching": "a change is being watched; wait",
}
DEFAULT_REMEDY = "look at node.log in the agent's state folder"

# By agent: the body of its response, or the reason why there is none.
AgentResponses = Mapping[str, Mapping[str, Any] | str]


class Severity(Enum):
    """How severe a finding is; the values are shown to operators."""

    BAD = "bad"  # an instance does not serve, or nobody knows whether it does
    NOTE = "note"  # nothing is broken, but operators should know


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem of an agent, an instance, a rollout, the lease or a certificate."""

    severity: Severity
    subject: str
    problem: str
    remedy: str


def diagnose(
    agents: AgentResponses,
    entries: Sequence[JournalEntry],
    now_unix_s: float,
    certificates: Mapping[str, float] | None = None,
    members: Sequence[Mapping[str, Any]] | None = None,
) -> list[Finding]:
    """Return all findings, the bad ones first.

    ``entries`` are those of the journal, newest first.  ``certificates`` has the days for which
    each certificate of the operator's folder is still valid.  ``members`` are the members that a
    node knows; without them, membership is not diagnosed.
    """
    responses = {
        name: response for name, response in agents.items() if not isinstance(response, str)
    }
    reports: dict[str, Report] = {
        f"{agent}/{report['name']}": report
        for agent, response in responses.items()
        for report in response["instances"]
    }
    findings = _agent_findings(agents, now_unix_s)
    for name, report in reports.items():
        findings += _instance_findings(name, report)
    findings += _rollout_findings(entries, reports)
    findings += _version_findings(responses)
    findings += _lease_findings(responses)
    if members is not None:
        findings += _membership_findings(agents, reports, members)
    findings += _certificate_findings(certificates or {})
    return sorted(findings, key=lambda finding: finding.severity is not Severity.BAD)


def _agent_findings(agents: AgentResponses, now_unix_s: float) -> list[Finding]:
    findings = []
    for name, response in agents.items():
        if isinstance(response, str):
            remedy = "look at the host, the agent's process, its certificate"
            findings.append(Finding(Severity.BAD, name, f"no answer: {response}", remedy))
            continue
        offset_s = response["time"] - now_unix_s
        if abs(offset_s) > MAX_CLOCK_OFFSET_S:
            problem = f"its clock is off by {offset_s:+.0f} s"
            remedy = "set it: times in reports come from it"
            findings.append(Finding(Severity.NOTE, name, problem, remedy))
    return findings


def _instance_findings(name: str, report: Report) -> list[Finding]:
    state = instance_health(report)
    if state == DRAINED:
        remedy = f"`fleet undrain --only {name}` when it should serve again"
        return [Finding(Severity.NOTE, name, "drained", remedy)]
    if is_healthy(state):
        return []
    last_exit = f" ({report['last_exit']})" if report["last_exit"] else ""
    remedy = REMEDIES.get(state, DEFAULT_REMEDY)
    return [Finding(Severity.BAD, name, f"{state}{last_exit}", remedy)]


def _rollout_findings(
    entries: Sequence[JournalEntry], reports: Mapping[str, Report]
) -> list[Finding]:
    findings = [
        finding for entry in entries if (finding := _unfinished_finding(entry, reports)) is not None
    ]
    newest = next((entry for entry in entries if entry.record.phase is Phase.DONE), None)
    if newest is None or any(f.subject == _rollout_name(newest) for f in findings):
        return findings
    applied = {
        name for name, status in newest.record.statuses if status.outcome is InstanceOutcome.APPLIED
    }
    behind = [
        name
        for name, report in reports.items()
        if 0 < report["generation"] < newest.id and name in applied
    ]
    if behind:
        problem = f"behind it: {_list_names(behind)}"
        findings.append(
            Finding(Severity.BAD, _rollout_name(newest), problem, "roll it out to them")
        )
    return findings


def _unfinished_finding(entry: JournalEntry, reports: Mapping[str, Report]) -> Finding | None:
    """Return the finding of a rollout that is in progress or ended with unknown instances."""
    resume = f"`fleet resume {entry.id}`"
    if entry.record.phase in IN_PROGRESS_PHASES:
        problem = f"it stands at {entry.record.phase.value}"
        remedy = f"{resume}, if no tool has it"
        return Finding(Severity.BAD, _rollout_name(entry), problem, remedy)
    unknown = [
        name for name, status in entry.record.statuses if status.outcome is InstanceOutcome.UNKNOWN
    ]
    is_superseded = any(
        reports[name]["generation"] > entry.id for name in unknown if name in reports
    )
    if not unknown or is_superseded:
        return None
    problem = f"unknown still: {_list_names(unknown)}"
    return Finding(Severity.BAD, _rollout_name(entry), problem, f"{resume} takes them along")


def _rollout_name(entry: JournalEntry) -> str:
    return f"rollout {entry.id}"


def _list_names(names: Sequence[str]) -> str:
    more = f" and {len(names) - MAX_NAMES} more" if len(names) > MAX_NAMES else ""
    return ", ".join(names[:MAX_NAMES]) + more


def _version_findings(responses: Mapping[str, Mapping[str, Any]]) -> list[Finding]:
    versions = Counter(str(response.get("version", "")) for response in responses.values())
    if len(versions) < 2:
        return []
    counts = ", ".join(
        f"{count} of {version or 'an older one'}" for version, count in versions.most_common()
    )
    problem = f"they are of several versions: {counts}"
    return [Finding(Severity.NOTE, "agents", problem, "bring them to one")]


def _lease_findings(responses: Mapping[str, Mapping[str, Any]]) -> list[Finding]:
    leases = [response["lease"] for response in responses.values()]
    holders = Counter(str(lease["holder"]) for lease in leases if lease["alive"])
    remedy = "a rollout is under way, or its tool has died"
    return [
        Finding(Severity.NOTE, "lease", f"{holder} has it at {count} agents", remedy)
        for holder, count in holders.items()
    ]


def _membership_findings(
    agents: AgentResponses, reports: Mapping[str, Report], members: Sequence[Mapping[str, Any]]
) -> list[Finding]:
    """Return the differences between the inventory and the members' view."""
    findings = []
    by_name = {str(member["name"]): member for member in members}
    for name, report in reports.items():
        if report.get("member"):
            findings += _reported_member_findings(name, report, by_name.get(name))
    for name, member in sorted(by_name.items()):
        if member["state"] in ABSENT_STATES or name in reports:
            continue
        if isinstance(agents.get(name.partition("/")[0]), str):
            problem = "its agent does not answer, and the members find it there"
            remedy = "the node serves; look at the agent"
        else:
            problem = f"a member at {member['address']} that no agent of the inventory runs"
            remedy = "add its agent to the inventory, or end it"
        findings.append(Finding(Severity.NOTE, name, problem, remedy))
    return findings


def _reported_member_findings(
    name: str, report: Report, member: Mapping[str, Any] | None
) -> list[Finding]:
    """Return the differences between an agent's report on an instance and the members' view."""
    if member is None or member["state"] in ABSENT_STATES:
        if not is_healthy(instance_health(report)):
            return []
        problem = f"its agent finds it well, and the members {_members_view(member)}"
        address = report["member"]
        remedy = (
            f"`oakbridge peers why {name}` at two sites; look whether UDP and TCP reach {address}"
        )
        return [Finding(Severity.BAD, name, problem, remedy)]
    if member["address"] != report["member"]:
        problem = f"members know it at {member['address']}, its agent has it at {report['member']}"
        remedy = "restart it, or look who else has its name"
        return [Finding(Severity.NOTE, name, problem, remedy)]
    return []


def _members_view(member: Mapping[str, Any] | None) -> str:
    if member is None:
        return "do not know it"
    reporter = f" by the word of {member['by']}" if member["by"] else ""
    return f"call it {member['state']}{reporter}"


def _certificate_findings(certificates: Mapping[str, float]) -> list[Finding]:
    findings = []
    for name, days in certificates.items():
        if days >= MIN_CERTIFICATE_DAYS:
            continue
        severity = Severity.NOTE if days > 0 else Severity.BAD
        state = f"is good for {days:.0f} more days" if days > 0 else "has run out"
        findings.append(Finding(severity, name, f"its certificate {state}", "issue a new one"))
    return findings
