"""The scenarios in which a node's list is proved to be up to date within its bound."""

from __future__ import annotations

from dataclasses import replace

from oakbridge.lab.model_check.discovery_model import Budget, Outcome, Scenario

LOST_ANSWERS = frozenset(
    {Outcome.ANSWERED, Outcome.LOST, Outcome.HALF, Outcome.RESET, Outcome.OUTDATED}
)
NO_QUEUE = LOST_ANSWERS | {Outcome.REFUSED}
LOSS_S = 2.9  # for so long after the change calls may fail

GUARANTEED = {
    "change right after a list": Scenario(
        Budget(3, moves=1), answers_from=LOSS_S, outcomes=NO_QUEUE
    ),
    "change after some failures": Scenario(
        Budget(3, moves=1), change_at=1.0, answers_from=1.0 + LOSS_S, outcomes=NO_QUEUE
    ),
    "change as a list gets old": Scenario(
        Budget(2, moves=1), change_at=3.0, answers_from=3.0 + LOSS_S, outcomes=NO_QUEUE
    ),
    "lists pushed": Scenario(
        Budget(3, moves=1), answers_from=LOSS_S, pushed=True, outcomes=NO_QUEUE
    ),
    "held up, moved, handed over": Scenario(
        Budget(2, moves=1, hold_ups=1, handovers=1), answers_from=LOSS_S, outcomes=LOST_ANSWERS
    ),
    "held up, another process reads it": Scenario(
        Budget(2, moves=1, hold_ups=1, adoptions=1),
        change_at=0.3,
        answers_from=LOSS_S,
        outcomes=LOST_ANSWERS,
    ),
    "restarted with a saved list": Scenario(
        Budget(3, restarts=1), answers_from=LOSS_S, outcomes=NO_QUEUE
    ),
    "refused after a time in the queue": Scenario(Budget(3, moves=1), answers_from=LOSS_S),
}
# A call that stood in a crowded queue in vain is made again late, for the queue's sake: where the
# list is old already, this can take longer than the bound.
NOT_GUARANTEED = {
    "refused after a time, list old already": Scenario(
        Budget(2, moves=1), change_at=3.0, answers_from=3.0 + LOSS_S, bound_s=20.0
    ),
}


def with_more_failures(scenario: Scenario, failures: int) -> Scenario:
    """Return a scenario in which so many calls more may fail."""
    budget = scenario.budget
    return replace(scenario, budget=replace(budget, failures=budget.failures + failures))
