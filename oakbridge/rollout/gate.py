"""Tests whether changed instances serve as well as unchanged ones.  Pure.

The test is a one-sided comparison of two served fractions (of all responses) with a margin: the
change fails if its fraction is lower than the baseline's by more than ``margin``, at the
significance level ``alpha``.  One success and one failure are added to each side (Agresti and
Caffo), so that fractions of 0 and 1 have a variance too.  Requests of one instance are not
independent of each other; ``min_responses`` and the margin keep the test from failing a change
because of a single bad second.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from statistics import NormalDist


@dataclass(frozen=True, slots=True)
class ResponseCounts:
    """Responses of one instance, counted since its start."""

    served: int = 0
    rejected: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """The number of all responses."""
        return self.served + self.rejected + self.failed

    def since(self, earlier: ResponseCounts) -> ResponseCounts:
        """Return the responses since ``earlier``, or since a restart that reset the counts."""
        if self.total < earlier.total or self.served < earlier.served:
            return self
        return ResponseCounts(
            self.served - earlier.served,
            self.rejected - earlier.rejected,
            self.failed - earlier.failed,
        )


@dataclass(frozen=True, slots=True)
class GateRules:
    """The parameters of the gate's test."""

    alpha: float = 0.01  # probability that a harmless change is halted (significance level)
    margin: float = 0.005  # a served fraction that is lower by no more than this counts as equal
    min_responses: int = 200  # with fewer on either side, the fractions are not compared
    require_traffic: bool = False  # whether the gate fails with too few responses


class Verdict(Enum):
    """The verdict of a gate."""

    PASS = "pass"
    FAIL = "fail"
    PENDING = "wait"


@dataclass(frozen=True, slots=True)
class GateResult:
    """The verdict of a gate, and the figures behind it; NaN where they were not compared."""

    verdict: Verdict
    reason: str
    changed_share: float = math.nan  # the served fraction of all responses
    baseline_share: float = math.nan
    p_value: float = math.nan


def sum_counts(counts: Iterable[ResponseCounts]) -> ResponseCounts:
    """Return the sum of the counts of several instances."""
    rows = tuple(counts)
    return ResponseCounts(
        sum(row.served for row in rows),
        sum(row.rejected for row in rows),
        sum(row.failed for row in rows),
    )


def evaluate(
    changed: Mapping[str, ResponseCounts],
    baseline: Mapping[str, ResponseCounts],
    unhealthy: Mapping[str, str],
    rules: GateRules,
    *,
    window_ended: bool,
) -> GateResult:
    """Evaluate one window.

    ``changed`` and ``baseline`` count the responses of changed and of unchanged instances in the
    window, by instance name; where no unchanged instance is left, ``baseline`` counts those before
    the change.  ``unhealthy`` has the reason for each changed instance that is not healthy.
    """
    if unhealthy:
        return GateResult(Verdict.FAIL, _first_reason(unhealthy))
    changed_counts, baseline_counts = sum_counts(changed.values()), sum_counts(baseline.values())
    if min(changed_counts.total, baseline_counts.total) < rules.min_responses:
        return _without_comparison(changed_counts, baseline_counts, rules, window_ended)
    p_value = non_inferiority_p_value(changed_counts, baseline_counts, rules.margin)
    changed_share, baseline_share = _served_share(changed_counts), _served_share(baseline_counts)
    figures = (
        f"{changed_share:.2%} of {changed_counts.total} served, "
        f"{baseline_share:.2%} of {baseline_counts.total} by the others (p = {p_value:.2g})"
    )
    if p_value < rules.alpha:
        verdict, reason = Verdict.FAIL, f"it serves less: {figures}"
    else:
        verdict, reason = Verdict.PASS if window_ended else Verdict.PENDING, figures
    return GateResult(verdict, reason, changed_share, baseline_share, p_value)


def non_inferiority_p_value(
    changed: ResponseCounts, baseline: ResponseCounts, margin: float
) -> float:
    """Return the p-value of the null hypothesis that the changed instances serve well enough.

    By that hypothesis, the served fraction of ``changed`` is lower than that of ``baseline`` by no
    more than ``margin``.
    """
    changed_share, changed_total = (changed.served + 1) / (changed.total + 2), changed.total + 2
    baseline_share, baseline_total = (
        (baseline.served + 1) / (baseline.total + 2),
        baseline.total + 2,
    )
    changed_variance = changed_share * (1 - changed_share) / changed_total
    baseline_variance = baseline_share * (1 - baseline_share) / baseline_total
    z_score = (baseline_share - changed_share - margin) / math.sqrt(
        changed_variance + baseline_variance
    )
    return 1 - NormalDist().cdf(z_score)


def _first_reason(unhealthy: Mapping[str, str]) -> str:
    name, reason = min(unhealthy.items())
    more = f" (and {len(unhealthy) - 1} more)" if len(unhealthy) > 1 else ""
    return f"{name}: {reason}{more}"


def _without_comparison(
    changed_counts: ResponseCounts,
    baseline_counts: ResponseCounts,
    rules: GateRules,
    window_ended: bool,
) -> GateResult:
    """Return the result where there are too few responses to compare."""
    if not window_ended:
        reason = (
            f"{changed_counts.total} and {baseline_counts.total} answers, "
            f"{rules.min_responses} are needed"
        )
        return GateResult(Verdict.PENDING, reason)
    verdict = Verdict.FAIL if rules.require_traffic else Verdict.PASS
    counts = f"{changed_counts.total} and {baseline_counts.total}"
    return GateResult(verdict, f"too few answers to compare ({counts}); all are well")


def _served_share(counts: ResponseCounts) -> float:
    return counts.served / max(1, counts.total)
