"""All checks of a run: rules, which must always hold, and figures, which its plan may bound."""

from __future__ import annotations

from collections.abc import Callable

from oakbridge.lab.checks import (
    load_distribution,
    membership,
    request_rules,
    server_load,
    service,
    site_loss,
)
from oakbridge.lab.checks.check import Check
from oakbridge.lab.history import History
from oakbridge.lab.plan import CheckTable

MAX_NAMED_CRASHES = 5

RULES: dict[str, Callable[[History], tuple[int, str]]] = {
    "one answer": request_rules.count_response_violations,
    "no effect twice": request_rules.count_repeated_effects,
}

# By the names in plans and summaries.
FIGURES: dict[str, Callable[[History], float | None]] = {
    "served": service.served_fraction,
    "worth served": service.served_weight_fraction,
    "first learns": membership.longest_until_first_learns,
    "last learns": membership.longest_until_last_learns,
    "views right": membership.convergence_time,
    "healthy called failed": membership.false_failure_verdicts,
    "changes": membership.max_changes_per_fault,
    "idle": server_load.idle_fraction,
    "uneven": server_load.load_ratio_percentile,
    "attempts": service.executions_per_request,
    **site_loss.FIGURES,
    **load_distribution.FIGURES,
}


def judge(history: History) -> list[Check]:
    """Return all checks; a figure that the plan does not bound always holds."""
    checks = []
    for name, rule in RULES.items():
        violations, note = rule(history)
        checks.append(Check(name, violations, "0", not violations, note))
    checks.append(_check_crashes(history))
    wanted = {check.name: check for check in history.plan.checks}
    for name, figure in FIGURES.items():
        checks.append(_check_figure(name, figure(history), wanted.get(name)))
    return checks


def _check_crashes(history: History) -> Check:
    crashes = history.crashes
    note = ", ".join(crashes[:MAX_NAMED_CRASHES])
    return Check("crashes", len(crashes), "0", not crashes, note)


def _check_figure(name: str, figure: float | None, wanted: CheckTable | None) -> Check:
    """Return the check of a figure; a bounded figure without data does not hold."""
    if wanted is None:
        return Check(name, figure, "", True)
    if wanted.most is not None:
        holds = figure is not None and figure <= wanted.most
        return Check(name, figure, f"at most {wanted.most:g}", holds)
    least = wanted.least or 0.0
    holds = figure is not None and figure >= least
    return Check(name, figure, f"at least {least:g}", holds)
