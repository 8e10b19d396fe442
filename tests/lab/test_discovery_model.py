"""A node's list is up to date within its bound in every order of events, to a depth; planted faults are found."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from oakbridge.lab.model_check.discovery_model import Budget, DiscoveryModel, Scenario
from oakbridge.lab.model_check.discovery_scenarios import GUARANTEED, LOSS_S, NO_QUEUE
from oakbridge.lab.model_check.explorer import Step, explore
from oakbridge.node import list_refresh
from oakbridge.node.discovery_client import DiscoveryClient
from oakbridge.node.list_refresh import RefreshSchedule, RequestTimeouts

MAX_STATES = 50_000


@pytest.mark.parametrize("name", GUARANTEED)
def test_list_is_up_to_date_within_its_bound(name):
    found = explore(DiscoveryModel(GUARANTEED[name]), MAX_STATES)
    assert not found.violation, "\n".join([found.violation, *found.trace])
    assert found.is_complete
    assert found.states > 1000


def count_anew_at_a_reload(monkeypatch):
    end_watch = RefreshSchedule.end_watch

    def end_and_count_anew(self):
        end_watch(self)
        self._counted_from = self._last_opened_at

    monkeypatch.setattr(RefreshSchedule, "end_watch", end_and_count_anew)


def wait_in_the_next_process(monkeypatch):
    adopt = DiscoveryClient.adopt

    def adopt_and_wait(self, index, age_us, now):
        self._schedule._next_at = now + 4.0
        return adopt(self, index, age_us, now)

    monkeypatch.setattr(DiscoveryClient, "adopt", adopt_and_wait)


def wait_long_for_a_lost_call(monkeypatch):
    times = RequestTimeouts(overdue_s=5.0, late_s=5.0, timeout_s=7.0)
    monkeypatch.setattr(list_refresh, "DISCOVERY_TIMEOUTS", times)


def wait_long_for_an_agent(monkeypatch):
    times = RequestTimeouts(overdue_s=5.0, late_s=5.0, timeout_s=5.0)
    monkeypatch.setattr(list_refresh, "AGENT_TIMEOUTS", times)


def wait_for_a_silent_watch(monkeypatch):
    monkeypatch.setattr(list_refresh, "MAX_WATCH_S", 6.0)


def forget_the_bound_in_backoff(monkeypatch):
    monkeypatch.setattr(RefreshSchedule, "_within_bound", lambda _, __, delay_s: delay_s)


def count_a_lost_watch_as_fresh(monkeypatch):
    on_failure = RefreshSchedule.on_failure

    def fail_and_count_anew(self, call, now, failure):
        self.on_list(now)
        on_failure(self, call, now, failure)

    monkeypatch.setattr(RefreshSchedule, "on_failure", fail_and_count_anew)


def use_an_older_list(monkeypatch):
    monkeypatch.setattr(DiscoveryClient, "_is_superseded", lambda *_: False)


@pytest.mark.parametrize(
    ("plant", "name", "longest_trace"),
    [
        (count_anew_at_a_reload, "refused after a time in the queue", 9),
        (wait_in_the_next_process, "held up, moved, handed over", 9),
        (wait_long_for_a_lost_call, "change right after a list", 5),
        (wait_long_for_an_agent, "lists pushed", 3),
        (wait_for_a_silent_watch, "change right after a list", 5),
        (forget_the_bound_in_backoff, "refused after a time in the queue", 9),
        (count_a_lost_watch_as_fresh, "change right after a list", 9),
        (use_an_older_list, "held up, another process reads it", 6),
    ],
)
def test_planted_fault_is_found_by_a_short_course(monkeypatch, plant, name, longest_trace):
    plant(monkeypatch)
    found = explore(DiscoveryModel(GUARANTEED[name]), MAX_STATES)
    print(found.violation, *found.trace, sep="\n  ")
    assert found.violation
    assert 1 <= len(found.trace) <= longest_trace


LONG_COURSES = Scenario(
    Budget(12, moves=4, hold_ups=1, handovers=2, restarts=1, adoptions=1),
    change_at=1.0,
    answers_from=1.0 + LOSS_S,
    outcomes=NO_QUEUE,
)


@given(st.data())
@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
def test_long_random_courses_keep_the_bound(data):
    model = DiscoveryModel(LONG_COURSES)
    state = model.initial()
    while steps := list(model.steps(state)):
        step = data.draw(st.sampled_from(steps), label="step")
        assert not step.violation
        state = step.state


class Counter:
    """Counts to a number by steps of one and two."""

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


def test_search_visits_each_state_once_and_finds_the_shortest_course():
    found = explore(Counter(forbidden=11), 100)
    assert (found.states, found.transitions, found.is_complete) == (11, 19, True)
    assert explore(Counter(forbidden=5), 100).trace in (["+1", "+2", "+2"], ["+2", "+2", "+1"])
    assert not explore(Counter(forbidden=11), 5).is_complete
