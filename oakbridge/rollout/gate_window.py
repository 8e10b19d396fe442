"""The window after a wave during which a gate compares changed and unchanged instances.  Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from oakbridge.fleet.health import health_problem
from oakbridge.rollout.gate import GateResult, GateRules, ResponseCounts, evaluate
from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import InstanceOutcome, InstanceStatus
from oakbridge.rollout.step_report import Report

EVALUATION_INTERVAL_S = 0.5  # the shortest time between two evaluations of one window


@dataclass(frozen=True, slots=True)
class FleetView:
    """The last report and the status of each instance of a rollout, by instance name."""

    reports: Mapping[str, Report | None]
    statuses: Mapping[str, InstanceStatus]

    def counts(self) -> dict[str, ResponseCounts]:
        """Return the response counts of each instance since its process started."""
        return {name: response_counts(report) for name, report in self.reports.items()}


class GateWindow:
    """One window; times are seconds of a monotonic clock.

    The owner sets :attr:`has_ended` when the window is over.
    """

    def __init__(
        self,
        rollout: int,
        changed: tuple[Target, ...],
        view: FleetView,
        rules: GateRules,
        now_s: float,
    ) -> None:
        """Open the window; it counts the responses after those in ``view``."""
        self.has_ended = False
        self._rollout = rollout
        self._changed = {target.name for target in changed}
        self._counts_at_start = view.counts()
        self._rules = rules
        self._last_evaluation_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Return whether the window is to be evaluated now."""
        return self.has_ended or now_s - self._last_evaluation_s >= EVALUATION_INTERVAL_S

    def evaluate(
        self, view: FleetView, counts_before_rollout: Mapping[str, ResponseCounts], now_s: float
    ) -> GateResult:
        """Evaluate the window.

        The baseline is the instances that the rollout has not reached, or, if it has reached all,
        ``counts_before_rollout``.
        """
        self._last_evaluation_s = now_s
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
            unhealthy=self._health_problems(view),
            rules=self._rules,
            window_ended=self.has_ended,
        )

    def _health_problems(self, view: FleetView) -> dict[str, str]:
        reasons = {
            name: health_problem(view.reports[name], self._rollout) for name in self._changed
        }
        return {name: reason for name, reason in reasons.items() if reason}


def response_counts(report: Report | None) -> ResponseCounts:
    """Return the response counts of an agent's report on an instance; all 0 without a report."""
    counts = report["node"].get("answers", {}) if report else {}
    return ResponseCounts(
        counts.get("served", 0), counts.get("refused", 0), counts.get("failed", 0)
    )
