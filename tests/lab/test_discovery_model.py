"""Model checks: a node applies a change of its list within a bound, in every order of events.

The number of events is limited.  Faults planted in the client must be found.
"""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from oakbridge.lab.model_check.discovery_model import Budget, DiscoveryModel, Scenario
from oakbridge.lab.model_check.discovery_scenarios import (
    FAILURE_PERIOD_S,
    GUARANTEED,
    WITHOUT_QUEUE,
)
from oakbridge.lab.model_check.explorer import Step, explore
from oakbridge.node import list_refresh
from oakbridge.node.discovery_client import DiscoveryClient
from oakbridge.node.list_refresh import RefreshSchedule, RequestTimeouts

MAX_STATES = 50_000


@pytest.mark.parametrize("name", GUARANTEED)
def test_change_is_applied_within_the_bound(name):
    found = explore(DiscoveryModel(GUARANTEED[name]), MAX_STATES)
    assert not found.violation, "\n".join([found.violation, *found.trace])
    assert found.is_complete
    assert found.states > 1000


def reset_list_age_at_reload(monkeypatch):
    end_watch = RefreshSchedule.end_watch

    def end_watch_and_reset_age(self):
        end_watch(self)
        self._counted_from = self._last_opened_at

    monkeypatch.setattr(RefreshSchedule, "end_watch", end_watch_and_reset_age)


def delay_first_request_of_successor(monkeypatch):
    adopt = DiscoveryClient.adopt

    def adopt_and_delay(self, index, age_us, now):
        self._schedule._next_at = now + 4.0
        return adopt(self, index, age_us, now)

    monkeypatch.setattr(DiscoveryClient, "adopt", adopt_and_delay)


def lengthen_discovery_timeouts(monkeypatch):
    times = RequestTimeouts(overdue_s=5.0, late_s=5.0, timeout_s=7.0)
    monkeypatch.setattr(list_refresh, "DISCOVERY_TIMEOUTS", times)


def lengthen_agent_timeouts(monkeypatch):
    times = RequestTimeouts(overdue_s=5.0, late_s=5.0, timeout_s=5.0)
    monkeypatch.setattr(list_refresh, "AGENT_TIMEOUTS", times)


def lengthen_watch(monkeypatch):
    monkeypatch.setattr(list_refresh, "MAX_WATCH_S", 6.0)


def ignore_bound_in_backoff(monkeypatch):
    monkeypatch.setattr(RefreshSchedule, "_within_bound", lambda _, __, delay_s: delay_s)


def reset_list_age_at_failure(monkeypatch):
    on_failure = RefreshSchedule.on_failure

    def reset_age_and_fail(self, call, now, failure):
        self.on_list(now)
        on_failure(self, call, now, failure)

    monkeypatch.setattr(RefreshSchedule, "on_failure", reset_age_and_fail)


def apply_older_list(monkeypatch):
    monkeypatch.setattr(DiscoveryClient, "_is_superseded", lambda *_: False)


@pytest.mark.parametrize(
    ("plant_fault", "name", "max_trace_length"),
    [
        (reset_list_age_at_reload, "refused after a time in the queue", 9),
        (delay_first_request_of_successor, "paused, moved, handed over", 9),
        (lengthen_discovery_timeouts, "change right after a list", 5),
        (lengthen_agent_timeouts, "lists pushed", 3),
        (lengthen_watch, "change right after a list", 5),
        (ignore_bound_in_backoff, "refused after a time in the queue", 9),
        (reset_list_age_at_failure, "change right after a list", 9),
        (apply_older_list, "paused, another process reads it", 6),
    ],
)
def test_planted_fault_is_found_with_a_short_trace(
    monkeypatch, plant_fault, name, max_trace_length
):
    plant_fault(monkeypatch)
    found = explore(DiscoveryModel(GUARANTEED[name]), MAX_STATES)
    print(found.violation, *found.trace, sep="\n  ")
    assert found.violation
    assert 1 <= len(found.trace) <= max_trace_length


LARGE_BUDGET = Scenario(
    Budget(12, moves=4, pauses=1, handovers=2, restarts=1, adoptions=1),
    change_at=1.0,
    answers_from=1.0 + FAILURE_PERIOD_S,
    outcomes=WITHOUT_QUEUE,
)


@given(st.data())
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
def test_long_random_event_sequences_meet_the_bound(data):
    model = DiscoveryModel(LARGE_BUDGET)
    state = model.initial()
    while steps := list(model.steps(state)):
        step = data.draw(st.sampled_from(steps), label="step")
        assert not step.violation
        state = step.state


class CountingModel:
    """A model that counts to 10 in steps of 1 and 2; one number may be forbidden."""

    def __init__(self, forbidden: int) -> None:
        self.forbidden = forbidden

    def initial(self):
        return 0

    def key(self, state):
        return state

    def steps(self, state):
        for step in (1, 2):
            if state + step <= 10:
                violation = "forbidden" if state + step == self.forbidden else ""
                yield Step(f"+{step}", state + step, violation)


def test_search_visits_each_state_once_and_finds_the_shortest_trace():
    found = explore(CountingModel(forbidden=11), 100)
    assert (found.states, found.transitions, found.is_complete) == (11, 19, True)
    assert explore(CountingModel(forbidden=5), 100).trace in (
        ["+1", "+2", "+2"],
        ["+2", "+2", "+1"],
    )
    assert not explore(CountingModel(forbidden=11), 5).is_complete
