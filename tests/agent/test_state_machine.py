"""An instance's state machine: each way through it, and crashes at every action."""

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


def step(target=TWO, base=1, name="s", watch=10) -> Step:
    return Step(name, target.number, target, base, watch)


def settled() -> InstanceStateMachine:
    return InstanceStateMachine(InstanceRecord(current=ONE))


def kinds(actions) -> list[type]:
    return [type(a) for a in actions]


def watching() -> InstanceStateMachine:
    i = settled()
    i.begin_step(step())
    i.on_staged()
    assert kinds(i.on_activated(0)) == [PersistRecord, RunGeneration, SetTimer]
    return i


def test_a_step_goes_through():
    i = settled()
    assert kinds(i.begin_step(step())) == [PersistRecord, StageGeneration]
    assert kinds(i.on_staged()) == [PersistRecord, ActivateGeneration]
    assert kinds(i.on_activated(0)) == [PersistRecord, RunGeneration, SetTimer]
    assert i.on_ready(5) == [SetTimer(15)]
    assert i.on_ready(6) == []
    assert i.on_timer(14) == []
    assert kinds(i.on_timer(15)) == [PersistRecord]
    assert (i.record.current, i.record.previous) == (TWO, ONE)
    assert i.outcome("s") == StepOutcome("s", Verdict.APPLIED)


def test_what_does_not_pass_the_check_never_reaches_the_link():
    i = settled()
    i.begin_step(step())
    assert kinds(i.on_staged("class: missing")) == [PersistRecord, DiscardGeneration]
    assert i.outcome("s") == StepOutcome("s", Verdict.REJECTED, "class: missing")
    assert i.record.current == ONE


def test_a_lease_that_ended_meanwhile_stops_the_flip():
    """An agent that was frozen wakes with an old step in its hand."""
    i = settled()
    i.begin_step(step())
    assert kinds(i.on_staged("the lease of token 2 has ended")) == [
        PersistRecord,
        DiscardGeneration,
    ]
    assert i.outcome("s").verdict is Verdict.REJECTED


@pytest.mark.parametrize("after", [1, 9])
def test_a_node_that_dies_while_it_is_watched_goes_back(after):
    i = watching()
    i.on_ready(0)
    assert kinds(i.on_failed("exit 1")) == [PersistRecord, ActivateGeneration]
    assert kinds(i.on_activated(after)) == [PersistRecord, RunGeneration, DiscardGeneration]
    assert i.outcome("s") == StepOutcome("s", Verdict.ROLLED_BACK, "exit 1")
    assert i.record.current == ONE


def test_a_node_that_is_not_ready_in_time_goes_back():
    i = watching()
    assert i.on_timer(READY_TIMEOUT_US - 1) == []
    assert kinds(i.on_timer(READY_TIMEOUT_US)) == [PersistRecord, ActivateGeneration]


def test_a_way_back_that_fails_is_tried_again():
    i = watching()
    i.on_failed("exit 1")
    [wake] = i.on_activated(1, "disk full")
    assert kinds(i.on_timer(wake.at_us)) == [ActivateGeneration]
    assert kinds(i.on_activated(wake.at_us)) == [PersistRecord, RunGeneration, DiscardGeneration]


def test_a_step_delivered_twice_is_one_step():
    i = settled()
    i.begin_step(step())
    assert i.begin_step(step()) == []
    i.on_staged()
    i.on_activated(1)
    i.on_ready(1)
    i.on_timer(11)
    assert i.begin_step(step()) == []
    assert len(i.record.outcomes) == 1


@pytest.mark.parametrize(
    ("asked", "error", "says"),
    [
        (
            step(base=3),
            BaseMismatchError,
            "runs generation 1, and the step is for one that runs 3",
        ),
        (
            step(target=Generation(1, "other"), base=1),
            StaleGenerationError,
            "generation 1 is not newer than 1",
        ),
    ],
)
def test_a_step_for_another_state_changes_nothing(asked, error, says):
    i = settled()
    with pytest.raises(error, match=says) as raised:
        i.begin_step(asked)
    assert isinstance(raised.value, StepConflictError)
    assert not isinstance(raised.value, StepInProgressError)
    assert i.record == settled().record


def test_one_step_at_a_time():
    i = watching()
    with pytest.raises(StepInProgressError, match="step s is under way") as raised:
        i.begin_step(step(target=Generation(3, "three"), base=1, name="t"))
    assert (raised.value.step_id, raised.value.state) == ("s", "watching")


def test_an_instance_that_runs_it_already_took_it():
    i = settled()
    assert kinds(i.begin_step(step(target=ONE, base=0))) == [PersistRecord]
    assert i.outcome("s").verdict is Verdict.APPLIED


class Host(RuleBasedStateMachine):
    """A disk, a link and a process; the agent may be killed around any action."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.disk = InstanceRecord(current=Generation(1, "g1"))
        self.staged = {1: "g1"}
        self.link = 1
        self.process: int | None = 1  # the generation that it runs; None: it does not run
        self.machine = InstanceStateMachine(self.disk)
        self.queue: list = []
        self.due: int | None = None
        self.numbers = 1
        self.sent: dict[str, Step] = {}
        self.ends: dict[str, Verdict] = {}
        self.crashed_at: dict[int, bool] = {}

    @rule(good=st.booleans(), old=st.booleans())
    def order(self, good, old):
        """A new step; ``good``: its files pass the check; ``old``: its base is another generation."""
        self.numbers += 1
        target = Generation(self.numbers, f"g{self.numbers}" if good else "bad")
        s = Step(
            f"s{self.numbers}", self.numbers, target, 0 if old else self.disk.current.number, 10
        )
        self.sent[s.step_id] = s
        self.send(s)

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def order_again(self, data):
        """Any step that was ever sent arrives once more."""
        self.send(self.sent[data.draw(st.sampled_from(sorted(self.sent)))])

    def send(self, s: Step) -> None:
        if self.queue:
            return
        try:
            self.queue += self.machine.begin_step(s)
        except StepConflictError:
            assert self.disk == self.machine.record

    @precondition(lambda self: self.queue)
    @rule(
        killed=st.sampled_from([None, None, None, None, "before", "after"]),
        flip_fails=st.booleans(),
    )
    def act(self, killed, flip_fails):
        """Carry one action out, unless the agent is killed first; or kill it right after."""
        if killed == "before":
            self.kill()
            return
        follows = self.carry_out(self.queue.pop(0), flip_fails and killed is None)
        if killed == "after":
            self.kill()
        else:
            self.queue += follows

    def carry_out(self, action, flip_fails) -> list:
        """Carry an action out; return what follows from it."""
        if isinstance(action, PersistRecord):
            self.disk = action.record
        elif isinstance(action, StageGeneration):
            self.staged[action.target.number] = action.target.digest
            return self.machine.on_staged("bad" if action.target.digest == "bad" else "")
        elif isinstance(action, DiscardGeneration):
            if self.link != action.target.number:
                self.staged.pop(action.target.number, None)
        elif isinstance(action, ActivateGeneration):
            if flip_fails:
                return self.machine.on_activated(self.now, "disk full")
            assert action.target.number in self.staged, "the link would show nothing"
            self.link = action.target.number
            return self.machine.on_activated(self.now)
        elif isinstance(action, RunGeneration):
            assert self.link == action.target.number
            self.process = action.target.number
        elif isinstance(action, SetTimer):
            self.due = action.at_us
        return []

    def kill(self) -> None:
        """The agent is gone, and starts again from its disk; the process lives on."""
        self.queue, self.due = [], None
        self.machine = InstanceStateMachine(self.disk)
        self.queue = self.machine.recover(self.now)

    @precondition(lambda self: not self.queue and self.process is not None)
    @rule()
    def is_ready(self):
        self.queue += self.machine.on_ready(self.now)

    @precondition(lambda self: not self.queue)
    @rule()
    def process_fails(self):
        self.queue += self.machine.on_failed("exit 1")

    @precondition(lambda self: not self.queue)
    @rule(time=st.integers(1, 20))
    def wait(self, time):
        self.now += time
        if self.due is not None and self.due <= self.now:
            self.due = None
            self.queue += self.machine.on_timer(self.now)

    @invariant()
    def the_link_shows_a_whole_generation(self):
        assert self.link in self.staged

    @invariant()
    def what_failed_its_check_is_never_shown(self):
        assert self.staged[self.link] != "bad"

    @invariant()
    def an_end_is_told_once_and_stays(self):
        for outcome in self.disk.outcomes:
            assert self.ends.setdefault(outcome.step_id, outcome.verdict) == outcome.verdict
        assert len({o.step_id for o in self.disk.outcomes}) == len(self.disk.outcomes)

    @invariant()
    def generations_only_grow(self):
        assert self.disk.current.number >= self.disk.previous.number

    def teardown(self):
        """Left alone, it settles: link, process and record agree, and each step has its end."""
        for _ in range(30):
            while self.queue:
                self.act(None, False)
            self.is_ready()
            self.wait(1_000_001)
        r = self.machine.record
        assert r.state is ChangeState.SETTLED
        assert r == self.disk
        assert self.link == r.current.number == self.process
        for outcome in r.outcomes:
            if outcome.verdict is Verdict.APPLIED:
                assert self.sent[outcome.step_id].target.number <= r.current.number
        assert r.current.digest != NO_DIGEST


Host.TestCase.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
TestHost = Host.TestCase
