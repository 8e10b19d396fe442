"""Scenarios in which a node must, or need not, apply a change of its list within a bound."""

from __future__ import annotations

from dataclasses import replace

from oakbridge.lab.model_check.discovery_model import Budget, Outcome, Scenario

WITHOUT_REFUSAL = frozenset(
    {Outcome.RESPONSE, Outcome.NO_RESPONSE, Outcome.PARTIAL, Outcome.RESET, Outcome.OUTDATED}
)
WITHOUT_QUEUE = WITHOUT_REFUSAL | {Outcome.REFUSED}
FAILURE_PERIOD_S = 2.9  # period after the change in which requests may fail

GUARANTEED = {
    "change right after a list": Scenario(
        Budget(3, moves=1), answers_from=FAILURE_PERIOD_S, outcomes=WITHOUT_QUEUE
    ),
    "change after some failures": Scenario(
        Budget(3, moves=1),
        change_at=1.0,
        answers_from=1.0 + FAILURE_PERIOD_S,
        outcomes=WITHOUT_QUEUE,
    ),
    "change as a list gets old": Scenario(
        Budget(2, moves=1),
        change_at=3.0,
        answers_from=3.0 + FAILURE_PERIOD_S,
        outcomes=WITHOUT_QUEUE,
    ),
    "lists pushed": Scenario(
        Budget(3, moves=1), answers_from=FAILURE_PERIOD_S, pushed=True, outcomes=WITHOUT_QUEUE
    ),
    "paused, moved, handed over": Scenario(
        Budget(2, moves=1, pauses=1, handovers=1),
        answers_from=FAILURE_PERIOD_S,
        outcomes=WITHOUT_REFUSAL,
    ),
    "paused, another process reads it": Scenario(
        Budget(2, moves=1, pauses=1, adoptions=1),
        change_at=0.3,
        answers_from=FAILURE_PERIOD_S,
        outcomes=WITHOUT_REFUSAL,
    ),
    "restarted with a saved list": Scenario(
        Budget(3, restarts=1), answers_from=FAILURE_PERIOD_S, outcomes=WITHOUT_QUEUE
    ),
    "refused after a time in the queue": Scenario(
        Budget(3, moves=1), answers_from=FAILURE_PERIOD_S
    ),
}
# A request that discovery refuses after a time in its queue is retried late, which keeps the queue
# short.  If the list is already old at that time, the change can take longer than the bound.
NOT_GUARANTEED = {
    "refused after a time, list old already": Scenario(
        Budget(2, moves=1), change_at=3.0, answers_from=3.0 + FAILURE_PERIOD_S, bound_s=20.0
    ),
}


def with_more_failures(scenario: Scenario, failures: int) -> Scenario:
    """Return the scenario with a number of further failures in its budget."""
    budget = scenario.budget
    return replace(scenario, budget=replace(budget, failures=budget.failures + failures))
