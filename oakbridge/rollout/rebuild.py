"""Rebuilds a lost journal from the agents' reports.  Pure.

Agents keep the results of their last steps by step id, which contains the rollout number, and the
generation that each instance runs.  They do not know the waves, the operator or the reason of a
rollout, which are reported as unknown.  Instances that a rollout never reached have no record of
it, so that the rollout may have been larger.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import InstanceOutcome, InstanceStatus, Phase, RolloutRecord
from oakbridge.rollout.step_report import OUTCOME_OF_VERDICT, Report, step_origin


@dataclass(frozen=True, slots=True)
class RebuiltRollout:
    """One rollout by the agents' reports, and an instance that has its files, or None."""

    id: int
    record: RolloutRecord
    files_holder: Target | None


def rebuild(
    reports_by_agent: Mapping[str, Sequence[Report]], silent: Sequence[str] = ()
) -> list[RebuiltRollout]:
    """Return all rollouts in the agents' reports, oldest first.

    ``silent`` are the agents that did not respond.
    """
    rebuilder = _Rebuilder()
    for agent, reports in sorted(reports_by_agent.items()):
        for report in reports:
            rebuilder.add(agent, report)
    return rebuilder.rollouts(silent_count=len(silent))


class _Rebuilder:
    """Collects statuses and targets by rollout number and instance name."""

    def __init__(self) -> None:
        self._statuses: dict[int, dict[str, InstanceStatus]] = defaultdict(dict)
        self._targets: dict[int, dict[str, Target]] = defaultdict(dict)
        self._files_holders: dict[int, Target] = {}

    def add(self, agent: str, report: Report) -> None:
        """Add the report on one instance; of several steps of one rollout, the last one counts."""
        self._add_ended_steps(agent, report)
        self._add_step_in_progress(agent, report)
        holder = Target(agent, report["name"], "", report["generation"])
        self._files_holders.setdefault(report["generation"], holder)
        self._files_holders.setdefault(report["previous"], holder)

    def rollouts(self, *, silent_count: int) -> list[RebuiltRollout]:
        """Return the rollouts, oldest first."""
        reason = "rebuilt from the agents"
        if silent_count:
            reason += f"; {silent_count} of them did not answer"
        return [
            RebuiltRollout(
                rollout,
                self._record(rollout, reason, has_silent_agents=silent_count > 0),
                self._files_holders.get(rollout),
            )
            for rollout in sorted(self._statuses)
        ]

    def _record(self, rollout: int, reason: str, *, has_silent_agents: bool) -> RolloutRecord:
        statuses, targets = self._statuses[rollout], self._targets[rollout]
        wave = tuple(targets[name] for name in sorted(targets))
        outcomes = {status.outcome for status in statuses.values()}
        return RolloutRecord(
            waves=(wave,),
            max_unavailable=len(wave),
            auto_rollback=False,
            phase=_phase(outcomes, has_silent_agents=has_silent_agents),
            statuses=tuple((name, statuses[name]) for name in sorted(statuses)),
            reason=reason,
        )

    def _add_ended_steps(self, agent: str, report: Report) -> None:
        for step, verdict, reason in report["outcomes"]:
            origin = step_origin(step)
            if origin is None:
                continue
            status = InstanceStatus(OUTCOME_OF_VERDICT[verdict], reason)
            if origin.is_rollback:
                if status.outcome is not InstanceOutcome.APPLIED:
                    continue
                status = InstanceStatus(InstanceOutcome.ROLLED_BACK, "taken back")
            base = report["previous"] if report["generation"] == origin.rollout else 0
            self._put(origin.rollout, Target(agent, report["name"], "", base), status)

    def _add_step_in_progress(self, agent: str, report: Report) -> None:
        step = report["step"]
        origin = step_origin(step["id"]) if step is not None else None
        if origin is not None and not origin.is_rollback:
            target = Target(agent, report["name"], "", report["generation"])
            status = InstanceStatus(InstanceOutcome.UNKNOWN, "its step is under way")
            self._put(origin.rollout, target, status)

    def _put(self, rollout: int, target: Target, status: InstanceStatus) -> None:
        self._targets[rollout][target.name] = target
        self._statuses[rollout][target.name] = status


def _phase(outcomes: set[InstanceOutcome], *, has_silent_agents: bool) -> Phase:
    if outcomes == {InstanceOutcome.APPLIED} and not has_silent_agents:
        return Phase.DONE
    if InstanceOutcome.APPLIED not in outcomes:
        return Phase.ROLLED_BACK
    return Phase.HALTED
