"""The data that a run has recorded, as the checks read them.

Rows of requests and executions have the column names of their Parquet files as keys (docs/lab.md).
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from oakbridge.lab.fleet import Fleet
from oakbridge.lab.plan import Plan
from oakbridge.lab.schedule import Schedule, Span, StepKind

AFTER_END_US = 3600_000_000  # assumed length of an unfinished outage beyond the run's end


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member's state in one node's view; times count from the schedule's start."""

    at_us: int
    observer: str
    member: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class SiteChange:
    """A change of a site's state in one node's view; times count from the schedule's start."""

    at_us: int
    observer: str
    site: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class PerformedStep:
    """A step of the schedule, with the time at which it was taken."""

    at_us: int
    kind: StepKind
    names: tuple[str, ...]


MEMBER_CHANGE_COLUMNS = ("at", "who", "about", "before", "after")
STEP_COLUMNS = ("at", "do", "names")


def encode_member_change(change: MemberChange) -> tuple[int, str, str, str, str]:
    """Return a row of ``views.parquet``, in the order of :data:`MEMBER_CHANGE_COLUMNS`."""
    return change.at_us, change.observer, change.member, change.before, change.after


def encode_step(step: PerformedStep) -> tuple[int, str, list[str]]:
    """Return a row of ``steps.parquet``, in the order of :data:`STEP_COLUMNS`."""
    return step.at_us, step.kind.value, list(step.names)


@dataclass(slots=True)
class History:
    """The plan, the schedule and the recorded data of one run."""

    plan: Plan
    fleet: Fleet
    schedule: Schedule
    begin_us: int  # start of the schedule, since the epoch
    duration_us: int
    requests: list[dict[str, Any]] = field(default_factory=list)
    executions: list[dict[str, Any]] = field(default_factory=list)
    member_changes: list[MemberChange] = field(default_factory=list)
    site_changes: list[SiteChange] = field(default_factory=list)
    performed_steps: list[PerformedStep] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)  # nodes that exited without being killed
    unsolicited_responses: int = 0

    def outages(self) -> dict[str, list[Span]]:
        """Return the times for which each node was killed or frozen, by the performed steps.

        Starved nodes count as running.
        """
        starved = self._starved_nodes()
        down_since: dict[str, int] = {}
        killed: set[str] = set()  # not running after CONTINUE either, if killed while frozen
        found: dict[str, list[Span]] = {}
        for step in self.performed_steps:
            for name in step.names:
                if step.kind in (StepKind.KILL, StepKind.STOP) and name not in starved:
                    down_since.setdefault(name, step.at_us)
                if step.kind is StepKind.KILL:
                    killed.add(name)
                elif step.kind is StepKind.READY:
                    killed.discard(name)
                is_back = step.kind in (StepKind.READY, StepKind.CONTINUE) and name not in killed
                if is_back and name in down_since:
                    span = Span(down_since.pop(name), step.at_us)
                    found.setdefault(name, []).append(span)
        for name, since_us in down_since.items():
            found.setdefault(name, []).append(Span(since_us, self.duration_us + AFTER_END_US))
        return found

    def _starved_nodes(self) -> set[str]:
        stopped = {
            name
            for step in self.performed_steps
            if step.kind is StepKind.STOP
            for name in step.names
        }
        return stopped - set(self.schedule.node_outages)


def read_changes(
    log: Iterable[str], observer: str, begin_us: int
) -> tuple[list[MemberChange], list[SiteChange]]:
    """Return the changes in a node's JSON log; lines that a kill has truncated are skipped."""
    members, sites = list[MemberChange](), list[SiteChange]()
    for line in log:
        if '"member"' not in line and '"site"' not in line:
            continue
        try:
            record = json.loads(line)
            at_us = record["at_us"] - begin_us
            if "member" in record:
                members.append(
                    MemberChange(
                        at_us, observer, record["member"], record["before"], record["after"]
                    )
                )
            else:
                sites.append(
                    SiteChange(at_us, observer, record["site"], record["was"], record["state"])
                )
        except (ValueError, KeyError, TypeError):
            continue
    return members, sites
