"""Whether changed instances serve as well as unchanged ones: by a stated test.  Pure.

The test is a one-sided comparison of two shares (served of answered) with a margin: the change
fails if its share is lower than the baseline's by more than ``margin``, at the significance level
``alpha``.  Shares are taken with one success and one failure added to each side (Agresti and
Caffo), so that 0 and 1 have a variance too.  Requests of one instance are not independent of each
other; ``min_responses`` and the margin keep the test from finding a fault in a single bad second.
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
        """Return what was counted since ``earlier``; after a restart, all since the restart."""
        if self.total < earlier.total or self.served < earlier.served:
            return self
        return ResponseCounts(
            self.served - earlier.served,
            self.rejected - earlier.rejected,
            self.failed - earlier.failed,
        )


@dataclass(frozen=True, slots=True)
class GateRules:
    """How strict the gate is."""

    alpha: float = 0.01  # the probability with which a change that does no harm may be halted
    margin: float = 0.005  # a share that is lower by no more than this counts as equal
    min_responses: int = 200  # on either side, before the shares are compared
    require_traffic: bool = False  # whether too few responses fail the gate


class Verdict(Enum):
    """The verdict of a gate."""

    PASS = "pass"
    FAIL = "fail"
    PENDING = "wait"


@dataclass(frozen=True, slots=True)
class GateResult:
    """The verdict of a gate, and the figures that it rests on."""

    verdict: Verdict
    reason: str
    changed_share: float = math.nan  # served of all responses
    baseline_share: float = math.nan
    p_value: float = math.nan


def sum_counts(counts: Iterable[ResponseCounts]) -> ResponseCounts:
    """Return the counts of several instances together."""
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

    ``changed`` and ``baseline`` are the responses of changed and of unchanged instances in the
    window; where no instance is unchanged any more, ``baseline`` is what the changed ones answered
    before their change.  ``unhealthy`` has the reason for each changed instance that is not in
    order.
    """
    if unhealthy:
        return GateResult(Verdict.FAIL, _first_reason(unhealthy))
    ours, theirs = sum_counts(changed.values()), sum_counts(baseline.values())
    if min(ours.total, theirs.total) < rules.min_responses:
        return _without_comparison(ours, theirs, rules, window_ended)
    p_value = non_inferiority_p_value(ours, theirs, rules.margin)
    ours_share, theirs_share = _share(ours), _share(theirs)
    figures = (
        f"{ours_share:.2%} of {ours.total} served, "
        f"{theirs_share:.2%} of {theirs.total} by the others (p = {p_value:.2g})"
    )
    if p_value < rules.alpha:
        verdict, reason = Verdict.FAIL, f"it serves less: {figures}"
    else:
        verdict, reason = Verdict.PASS if window_ended else Verdict.PENDING, figures
    return GateResult(verdict, reason, ours_share, theirs_share, p_value)


def non_inferiority_p_value(ours: ResponseCounts, theirs: ResponseCounts, margin: float) -> float:
    """Return the p-value of the hypothesis that our share is lower by no more than ``margin``."""
    our_share, our_total = (ours.served + 1) / (ours.total + 2), ours.total + 2
    their_share, their_total = (theirs.served + 1) / (theirs.total + 2), theirs.total + 2
    our_variance = our_share * (1 - our_share) / our_total
    their_variance = their_share * (1 - their_share) / their_total
    z = (their_share - our_share - margin) / math.sqrt(our_variance + their_variance)
    return 1 - NormalDist().cdf(z)


def _first_reason(unhealthy: Mapping[str, str]) -> str:
    name, reason = min(unhealthy.items())
    more = f" (and {len(unhealthy) - 1} more)" if len(unhealthy) > 1 else ""
    return f"{name}: {reason}{more}"


def _without_comparison(
    ours: ResponseCounts, theirs: ResponseCounts, rules: GateRules, window_ended: bool
) -> GateResult:
    """Return the result where the responses are too few to compare."""
    if not window_ended:
        reason = f"{ours.total} and {theirs.total} answers, {rules.min_responses} are needed"
        return GateResult(Verdict.PENDING, reason)
    verdict = Verdict.FAIL if rules.require_traffic else Verdict.PASS
    counts = f"{ours.total} and {theirs.total}"
    return GateResult(verdict, f"too few answers to compare ({counts}); all are well")


def _share(counts: ResponseCounts) -> float:
    return counts.served / max(1, counts.total)
