"""The window after a wave in which a gate compares changed with unchanged instances.  Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from oakbridge.fleet.health import health_problem
from oakbridge.rollout.gate import GateResult, GateRules, ResponseCounts, evaluate
from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import InstanceOutcome, InstanceStatus
from oakbridge.rollout.step_report import Report

EVALUATION_INTERVAL_S = 0.5  # the least time between two evaluations of one window


@dataclass(frozen=True, slots=True)
class FleetView:
    """What is known of all instances of a rollout at one moment, by name."""

    reports: Mapping[str, Report | None]
    statuses: Mapping[str, InstanceStatus]

    def counts(self) -> dict[str, ResponseCounts]:
        """Return the response counts of each instance since its start."""
        return {name: response_counts(report) for name, report in self.reports.items()}


class GateWindow:
    """One window; times are seconds of a monotonic clock."""

    def __init__(
        self,
        rollout: int,
        changed: tuple[Target, ...],
        view: FleetView,
        rules: GateRules,
        now_s: float,
    ) -> None:
        """Open the window; its responses are those beyond the counts of ``view``."""
        self.ended = False
        self._rollout = rollout
        self._changed = {target.name for target in changed}
        self._counts_at_start = view.counts()
        self._rules = rules
        self._evaluated_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Return whether it is time to evaluate the window."""
        return self.ended or now_s - self._evaluated_s >= EVALUATION_INTERVAL_S

    def evaluate(
        self, view: FleetView, counts_before_rollout: Mapping[str, ResponseCounts], now_s: float
    ) -> GateResult:
        """Evaluate the window.

        Instances that the rollout has not reached are the baseline; without any,
        ``counts_before_rollout`` are.
        """
        self._evaluated_s = now_s
        counts = {
            name: now.since(self._counts_at_start[name]) for name, now in view.counts().items()
        }
        unchanged = {
            name: count
            for name, count in counts.items()
            if name not in self._changed
            and view.statuses[name].outcome is InstanceOutcome.NOT_REACHED
        }
        return evaluate(
            changed={name: count for name, count in counts.items() if name in self._changed},
            baseline=unchanged or counts_before_rollout,
            unhealthy=self._unhealthy(view),
            rules=self._rules,
            window_ended=self.ended,
        )

    def _unhealthy(self, view: FleetView) -> dict[str, str]:
        reasons = {
            name: health_problem(view.reports[name], self._rollout) for name in self._changed
        }
        return {name: reason for name, reason in reasons.items() if reason}


def response_counts(report: Report | None) -> ResponseCounts:
    """Return the response counts of an agent's report on an instance; all 0 without one."""
    answers = report["node"].get("answers", {}) if report else {}
    return ResponseCounts(
        answers.get("served", 0), answers.get("refused", 0), answers.get("failed", 0)
    )
