"""An instance's state machine: each sequence of states, and crashes at every action."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.agent.actions import (
    ActivateGeneration,
    DiscardGeneration,
    PersistRecord,
    RunGeneration,
    SetTimer,
    StageGeneration,
)
from oakbridge.agent.errors import (
    BaseMismatchError,
    StaleGenerationError,
    StepConflictError,
    StepInProgressError,
)
from oakbridge.agent.records import (
    NO_DIGEST,
    ChangeState,
    Generation,
    InstanceRecord,
    Step,
    StepOutcome,
    Verdict,
)
from oakbridge.agent.state_machine import READY_TIMEOUT_US, InstanceStateMachine

ONE, TWO = Generation(1, "one"), Generation(2, "two")


def make_step(target=TWO, base_generation=1, step_id="s", watch_us=10) -> Step:
    return Step(step_id, target.number, target, base_generation, watch_us)


def settled_machine() -> InstanceStateMachine:
    return InstanceStateMachine(InstanceRecord(current=ONE))


def action_types(actions) -> list[type]:
    return [type(action) for action in actions]


def watching_machine() -> InstanceStateMachine:
    machine = settled_machine()
    machine.begin_step(make_step())
    machine.on_staged()
    assert action_types(machine.on_activated(0)) == [PersistRecord, RunGeneration, SetTimer]
    return machine


def test_step_is_applied():
    machine = settled_machine()
    assert action_types(machine.begin_step(make_step())) == [PersistRecord, StageGeneration]
    assert action_types(machine.on_staged()) == [PersistRecord, ActivateGeneration]
    assert action_types(machine.on_activated(0)) == [PersistRecord, RunGeneration, SetTimer]
    assert machine.on_ready(5) == [SetTimer(15)]
    assert machine.on_ready(6) == []
    assert machine.on_timer(14) == []
    assert action_types(machine.on_timer(15)) == [PersistRecord]
    assert (machine.record.current, machine.record.previous) == (TWO, ONE)
    assert machine.outcome("s") == StepOutcome("s", Verdict.APPLIED)


def test_generation_that_fails_its_check_is_not_activated():
    machine = settled_machine()
    machine.begin_step(make_step())
    assert action_types(machine.on_staged("class: missing")) == [PersistRecord, DiscardGeneration]
    assert machine.outcome("s") == StepOutcome("s", Verdict.REJECTED, "class: missing")
    assert machine.record.current == ONE


def test_generation_is_not_activated_after_the_lease_has_expired():
    """Guards against an agent that was suspended during a step and then continues it."""
    machine = settled_machine()
    machine.begin_step(make_step())
    assert action_types(machine.on_staged("the lease of token 2 has ended")) == [
        PersistRecord,
        DiscardGeneration,
    ]
    assert machine.outcome("s").verdict is Verdict.REJECTED


@pytest.mark.parametrize("activated_at_us", [1, 9])
def test_node_that_crashes_while_watched_is_rolled_back(activated_at_us):
    machine = watching_machine()
    machine.on_ready(0)
    assert action_types(machine.on_failed("exit 1")) == [PersistRecord, ActivateGeneration]
    assert action_types(machine.on_activated(activated_at_us)) == [
        PersistRecord,
        RunGeneration,
        DiscardGeneration,
    ]
    assert machine.outcome("s") == StepOutcome("s", Verdict.ROLLED_BACK, "exit 1")
    assert machine.record.current == ONE


def test_node_that_is_not_ready_in_time_is_rolled_back():
    machine = watching_machine()
    assert machine.on_timer(READY_TIMEOUT_US - 1) == []
    assert action_types(machine.on_timer(READY_TIMEOUT_US)) == [PersistRecord, ActivateGeneration]


def test_rollback_that_fails_is_retried():
    machine = watching_machine()
    machine.on_failed("exit 1")
    [timer] = machine.on_activated(1, "disk full")
    assert action_types(machine.on_timer(timer.at_us)) == [ActivateGeneration]
    assert action_types(machine.on_activated(timer.at_us)) == [
        PersistRecord,
        RunGeneration,
        DiscardGeneration,
    ]


def test_step_delivered_twice_is_one_step():
    machine = settled_machine()
    machine.begin_step(make_step())
    assert machine.begin_step(make_step()) == []
    machine.on_staged()
    machine.on_activated(1)
    machine.on_ready(1)
    machine.on_timer(11)
    assert machine.begin_step(make_step()) == []
    assert len(machine.record.outcomes) == 1


@pytest.mark.parametrize(
    ("step", "error", "message"),
    [
        (
            make_step(base_generation=3),
            BaseMismatchError,
            "runs generation 1, and the step is for one that runs 3",
        ),
        (
            make_step(target=Generation(1, "other"), base_generation=1),
            StaleGenerationError,
            "generation 1 is not newer than 1",
        ),
    ],
)
def test_step_for_another_generation_changes_nothing(step, error, message):
    machine = settled_machine()
    with pytest.raises(error, match=message) as raised:
        machine.begin_step(step)
    assert isinstance(raised.value, StepConflictError)
    assert not isinstance(raised.value, StepInProgressError)
    assert machine.record == settled_machine().record


def test_second_step_is_refused_while_one_is_in_progress():
    machine = watching_machine()
    with pytest.raises(StepInProgressError, match="step s is under way") as raised:
        machine.begin_step(make_step(target=Generation(3, "three"), base_generation=1, step_id="t"))
    assert (raised.value.step_id, raised.value.state) == ("s", "watching")


def test_step_to_the_current_generation_is_applied():
    machine = settled_machine()
    assert action_types(machine.begin_step(make_step(target=ONE, base_generation=0))) == [
        PersistRecord
    ]
    assert machine.outcome("s").verdict is Verdict.APPLIED


class HostModel(RuleBasedStateMachine):
    """A disk, a link and a process; the agent may be killed before or after any action."""

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 0
        self.stored_record = InstanceRecord(current=Generation(1, "g1"))
        self.staged_digests = {1: "g1"}
        self.linked_generation = 1
        self.running_generation: int | None = 1  # None if no process runs
        self.machine = InstanceStateMachine(self.stored_record)
        self.queue: list = []
        self.timer_at_us: int | None = None
        self.last_number = 1
        self.sent_steps: dict[str, Step] = {}
        self.verdicts: dict[str, Verdict] = {}
        self.crashed_at: dict[int, bool] = {}

    @rule(is_valid=st.booleans(), is_base_old=st.booleans())
    def send_new_step(self, is_valid, is_base_old):
        """Send a step whose files pass their check or not, for the current or an old generation."""
        self.last_number += 1
        target = Generation(self.last_number, f"g{self.last_number}" if is_valid else "bad")
        step = Step(
            f"s{self.last_number}",
            self.last_number,
            target,
            0 if is_base_old else self.stored_record.current.number,
            10,
        )
        self.sent_steps[step.step_id] = step
        self.deliver_step(step)

    @precondition(lambda self: self.sent_steps)
    @rule(data=st.data())
    def repeat_step(self, data):
        """Deliver any step that was ever sent once more."""
        self.deliver_step(self.sent_steps[data.draw(st.sampled_from(sorted(self.sent_steps)))])

    def deliver_step(self, step: Step) -> None:
        if self.queue:
            return
        try:
            self.queue += self.machine.begin_step(step)
        except StepConflictError:
            assert self.stored_record == self.machine.record

    @precondition(lambda self: self.queue)
    @rule(
        killed_when=st.sampled_from([None, None, None, None, "before", "after"]),
        activation_fails=st.booleans(),
    )
    def execute_next(self, killed_when, activation_fails):
        """Carry out one action; the agent may be killed before or after it."""
        if killed_when == "before":
            self.kill()
            return
        resulting = self.execute(self.queue.pop(0), activation_fails and killed_when is None)
        if killed_when == "after":
            self.kill()
        else:
            self.queue += resulting

    def execute(self, action, activation_fails) -> list:
        """Carry out an action, and return the actions that result from it."""
        if isinstance(action, PersistRecord):
            self.stored_record = action.record
        elif isinstance(action, StageGeneration):
            self.staged_digests[action.target.number] = action.target.digest
            return self.machine.on_staged("bad" if action.target.digest == "bad" else "")
        elif isinstance(action, DiscardGeneration):
            if self.linked_generation != action.target.number:
                self.staged_digests.pop(action.target.number, None)
        elif isinstance(action, ActivateGeneration):
            if activation_fails:
                return self.machine.on_activated(self.now_us, "disk full")
            assert action.target.number in self.staged_digests, "the generation is not staged"
            self.linked_generation = action.target.number
            return self.machine.on_activated(self.now_us)
        elif isinstance(action, RunGeneration):
            assert self.linked_generation == action.target.number
            self.running_generation = action.target.number
        elif isinstance(action, SetTimer):
            self.timer_at_us = action.at_us
        return []

    def kill(self) -> None:
        """Restart the agent from its record on disk; the node's process runs on."""
        self.queue, self.timer_at_us = [], None
        self.machine = InstanceStateMachine(self.stored_record)
        self.queue = self.machine.recover(self.now_us)

    @precondition(lambda self: not self.queue and self.running_generation is not None)
    @rule()
    def report_ready(self):
        self.queue += self.machine.on_ready(self.now_us)

    @precondition(lambda self: not self.queue)
    @rule()
    def report_crash(self):
        self.queue += self.machine.on_failed("exit 1")

    @precondition(lambda self: not self.queue)
    @rule(duration_us=st.integers(1, 20))
    def wait(self, duration_us):
        self.now_us += duration_us
        if self.timer_at_us is not None and self.timer_at_us <= self.now_us:
            self.timer_at_us = None
            self.queue += self.machine.on_timer(self.now_us)

    @invariant()
    def linked_generation_is_staged(self):
        assert self.linked_generation in self.staged_digests

    @invariant()
    def linked_generation_has_passed_its_check(self):
        assert self.staged_digests[self.linked_generation] != "bad"

    @invariant()
    def each_step_has_one_outcome_that_stays(self):
        for outcome in self.stored_record.outcomes:
            assert self.verdicts.setdefault(outcome.step_id, outcome.verdict) == outcome.verdict
        assert len({stored.step_id for stored in self.stored_record.outcomes}) == len(
            self.stored_record.outcomes
        )

    @invariant()
    def generations_only_grow(self):
        assert self.stored_record.current.number >= self.stored_record.previous.number

    def teardown(self):
        """Check that without further steps the instance settles: link, process and record agree."""
        for _ in range(30):
            while self.queue:
                self.execute_next(None, False)
            self.report_ready()
            self.wait(1_000_001)
        record = self.machine.record
        assert record.state is ChangeState.SETTLED
        assert record == self.stored_record
        assert self.linked_generation == record.current.number == self.running_generation
        for outcome in record.outcomes:
            if outcome.verdict is Verdict.APPLIED:
                assert self.sent_steps[outcome.step_id].target.number <= record.current.number
        assert record.current.digest != NO_DIGEST


HostModel.TestCase.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
TestHostModel = HostModel.TestCase
