"""Whether changed instances serve as well as unchanged ones: a stated test, not somebody's eye.  Pure.

The test is a one-sided comparison of two shares (served of answered) with a margin: the change fails if its share is
lower than the others' by more than ``margin``, at the level ``alpha``.  Shares are taken with one success and one
failure added to each side (Agresti and Caffo), so that 0 and 1 have a spread too.  Requests of one instance are not
independent of each other; ``least`` and the margin keep the test from seeing a fault in a single bad second.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from statistics import NormalDist


@dataclass(frozen=True, slots=True)
class ResponseCounts:
    """Answers of one instance, as it counts them since its start."""

    served: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def answered(self) -> int:
        """All of them."""
        return self.served + self.refused + self.failed

    def since(self, before: ResponseCounts) -> ResponseCounts:
        """What has come since; an instance that has started anew meanwhile counts from its start."""
        if self.answered < before.answered or self.served < before.served:
            return self
        return ResponseCounts(
            self.served - before.served, self.refused - before.refused, self.failed - before.failed
        )


@dataclass(frozen=True, slots=True)
class GateRules:
    """How strict the gate is."""

    alpha: float = 0.01  # how often a change that does no harm may be halted
    margin: float = 0.005  # a share that is lower by no more than this is as good
    least: int = 200  # answers on either side before anything is said
    need_traffic: bool = False  # whether too few answers halt, or let health alone decide


class Verdict(Enum):
    """What the gate says."""

    PASS = "pass"
    FAIL = "fail"
    PENDING = "wait"


@dataclass(frozen=True, slots=True)
class GateResult:
    """The gate's word, and the figures that it rests on."""

    word: Verdict
    reason: str
    changed: float = math.nan  # share served
    others: float = math.nan
    p_value: float = math.nan


def total(counts: Mapping[str, ResponseCounts]) -> ResponseCounts:
    """All of them together."""
    rows = counts.values()
    return ResponseCounts(
        sum(c.served for c in rows), sum(c.refused for c in rows), sum(c.failed for c in rows)
    )


def evaluate(
    changed: Mapping[str, ResponseCounts],
    others: Mapping[str, ResponseCounts],
    unwell: Mapping[str, str],
    rules: GateRules,
    over: bool,
) -> GateResult:
    """EvaluateGate one window.

    ``changed`` and ``others`` are what came in the window; where nobody is unchanged any more, ``others`` is what the
    changed ones answered before their change.  ``unwell`` says of a changed instance what is wrong with it; ``over``
    that the window has ended.
    """
    if unwell:
        name, why = min(unwell.items())
        more = f" (and {len(unwell) - 1} more)" if len(unwell) > 1 else ""
        return GateResult(Verdict.FAIL, f"{name}: {why}{more}")
    mine, theirs = total(changed), total(others)
    if min(mine.answered, theirs.answered) < rules.least:
        if not over:
            return GateResult(
                Verdict.PENDING, f"{mine.answered} and {theirs.answered} answers, {rules.least} are needed"
            )
        word = Verdict.FAIL if rules.need_traffic else Verdict.PASS
        return GateResult(
            word, f"too few answers to compare ({mine.answered} and {theirs.answered}); all are well"
        )
    p, a, b = compare(mine, theirs, rules.margin)
    figures = f"{a:.2%} of {mine.answered} served, {b:.2%} of {theirs.answered} by the others (p = {p:.2g})"
    if p < rules.alpha:
        return GateResult(Verdict.FAIL, f"it serves less: {figures}", a, b, p)
    return GateResult(Verdict.PASS if over else Verdict.PENDING, figures, a, b, p)


def compare(mine: ResponseCounts, theirs: ResponseCounts, margin: float) -> tuple[float, float, float]:
    """The p-value of "no lower by more than the margin", and both shares as they are."""
    a, n = (mine.served + 1) / (mine.answered + 2), mine.answered + 2
    b, m = (theirs.served + 1) / (theirs.answered + 2), theirs.answered + 2
    spread = math.sqrt(a * (1 - a) / n + b * (1 - b) / m)
    p = 1 - NormalDist().cdf((b - a - margin) / spread)
    return p, mine.served / max(1, mine.answered), theirs.served / max(1, theirs.answered)
