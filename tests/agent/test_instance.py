"""The change-over of one instance: each way through it, and a state machine with crashes at every action."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.agent.instance import (
    NOTHING,
    READY_WITHIN,
    Busy,
    Flip,
    Generation,
    Instance,
    Keep,
    Outcome,
    Record,
    Run,
    Stage,
    State,
    Step,
    Unstage,
    Verdict,
    Wake,
)

ONE, TWO = Generation(1, "one"), Generation(2, "two")


def step(target=TWO, base=1, name="s", watch=10) -> Step:
    return Step(name, target.number, target, base, watch)


def settled() -> Instance:
    return Instance(Record(current=ONE))


def kinds(actions) -> list[type]:
    return [type(a) for a in actions]


def watching() -> Instance:
    i = settled()
    i.order(0, step())
    i.staged(0)
    assert kinds(i.flipped(0)) == [Keep, Run, Wake]
    return i


def test_a_step_goes_through():
    i = settled()
    assert kinds(i.order(0, step())) == [Keep, Stage]
    assert kinds(i.staged(0)) == [Keep, Flip]
    assert kinds(i.flipped(0)) == [Keep, Run, Wake]
    assert i.ready(5) == [Wake(15)] and i.ready(6) == []
    assert i.tick(14) == []
    assert kinds(i.tick(15)) == [Keep]
    assert (i.record.current, i.record.previous) == (TWO, ONE)
    assert i.outcome("s") == Outcome("s", Verdict.TOOK)


def test_what_does_not_pass_the_check_never_reaches_the_link():
    i = settled()
    i.order(0, step())
    assert kinds(i.staged(0, "class: missing")) == [Keep, Unstage]
    assert i.outcome("s") == Outcome("s", Verdict.DID_NOT, "class: missing")
    assert i.record.current == ONE


def test_a_lease_that_ended_meanwhile_stops_the_flip():
    """An agent that was frozen wakes with an old step in its hand."""
    i = settled()
    i.order(0, step())
    assert kinds(i.staged(3600, lease="the lease of token 2 has ended")) == [Keep, Unstage]
    assert i.outcome("s").verdict is Verdict.DID_NOT


@pytest.mark.parametrize("after", [1, 9])
def test_a_node_that_dies_while_it_is_watched_goes_back(after):
    i = watching()
    i.ready(0)
    assert kinds(i.failed(after, "exit 1")) == [Keep, Flip]
    assert kinds(i.flipped(after)) == [Keep, Run, Unstage]
    assert i.outcome("s") == Outcome("s", Verdict.UNDONE, "exit 1")
    assert i.record.current == ONE


def test_a_node_that_is_not_ready_in_time_goes_back():
    i = watching()
    assert i.tick(READY_WITHIN - 1) == []
    assert kinds(i.tick(READY_WITHIN)) == [Keep, Flip]


def test_a_way_back_that_fails_is_tried_again():
    i = watching()
    i.failed(1, "exit 1")
    [wake] = i.flipped(1, "disk full")
    assert kinds(i.tick(wake.at)) == [Flip]
    assert kinds(i.flipped(wake.at)) == [Keep, Run, Unstage]


def test_a_step_delivered_twice_is_one_step():
    i = settled()
    i.order(0, step())
    assert i.order(1, step()) == []
    i.staged(1)
    i.flipped(1)
    i.ready(1)
    i.tick(11)
    assert i.order(12, step()) == []
    assert len(i.record.outcomes) == 1


@pytest.mark.parametrize(
    ("asked", "says"),
    [
        (step(base=3), "runs generation 1, and the step is for one that runs 3"),
        (step(target=Generation(1, "other"), base=1), "generation 1 is not newer than 1"),
    ],
)
def test_a_step_for_another_state_changes_nothing(asked, says):
    i = settled()
    with pytest.raises(Busy, match=says):
        i.order(0, asked)
    assert i.record == settled().record


def test_one_step_at_a_time():
    i = watching()
    with pytest.raises(Busy, match="step s is under way"):
        i.order(0, step(target=Generation(3, "three"), base=1, name="t"))


def test_an_instance_that_runs_it_already_took_it():
    i = settled()
    assert kinds(i.order(0, step(target=ONE, base=0))) == [Keep]
    assert i.outcome("s").verdict is Verdict.TOOK


class Host(RuleBasedStateMachine):
    """A disk, a link and a process; the agent may be killed before or after any action, and starts again."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.disk = Record(current=Generation(1, "g1"))
        self.staged = {1: "g1"}
        self.link = 1
        self.process: int | None = 1  # the generation that it runs; None: it does not run
        self.machine = Instance(self.disk)
        self.queue: list = []
        self.due: int | None = None
        self.numbers = 1
        self.sent: dict[str, Step] = {}
        self.ends: dict[str, Verdict] = {}
        self.crashed_at: dict[int, bool] = {}

    @rule(good=st.booleans(), old=st.booleans())
    def order(self, good, old):
        """A new step; ``good``: its files pass the check; ``old``: for an instance that ran something else."""
        self.numbers += 1
        target = Generation(self.numbers, f"g{self.numbers}" if good else "bad")
        s = Step(f"s{self.numbers}", self.numbers, target, 0 if old else self.disk.current.number, 10)
        self.sent[s.id] = s
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
            self.queue += self.machine.order(self.now, s)
        except Busy:
            assert self.disk == self.machine.record

    @precondition(lambda self: self.queue)
    @rule(killed=st.sampled_from([None, None, None, None, "before", "after"]), flip_fails=st.booleans())
    def act(self, killed, flip_fails):
        """Carry one action out, unless the agent is killed first; or kill it right after."""
        if killed == "before":
            return self.kill()
        action = self.queue.pop(0)
        follows: list = []
        if isinstance(action, Keep):
            self.disk = action.record
        elif isinstance(action, Stage):
            self.staged[action.target.number] = action.target.digest
            problem = "bad" if action.target.digest == "bad" else ""
            follows = self.machine.staged(self.now, problem) if killed is None else []
        elif isinstance(action, Unstage):
            if self.link != action.target.number:
                self.staged.pop(action.target.number, None)
        elif isinstance(action, Flip):
            if flip_fails and killed is None:
                follows = self.machine.flipped(self.now, "disk full")
            else:
                assert action.target.number in self.staged, "the link would show nothing"
                self.link = action.target.number
                follows = self.machine.flipped(self.now) if killed is None else []
        elif isinstance(action, Run):
            assert self.link == action.target.number
            self.process = action.target.number
        elif isinstance(action, Wake):
            self.due = action.at
        self.queue += follows
        if killed == "after":
            self.kill()

    def kill(self) -> None:
        """The agent is gone, and starts again from its disk; the process lives on."""
        self.queue, self.due = [], None
        self.machine = Instance(self.disk)
        self.queue = self.machine.recover(self.now)

    @precondition(lambda self: not self.queue and self.process is not None)
    @rule()
    def is_ready(self):
        self.queue += self.machine.ready(self.now)

    @precondition(lambda self: not self.queue)
    @rule()
    def process_fails(self):
        self.queue += self.machine.failed(self.now, "exit 1")

    @precondition(lambda self: not self.queue)
    @rule(time=st.integers(1, 20))
    def wait(self, time):
        self.now += time
        if self.due is not None and self.due <= self.now:
            self.due = None
            self.queue += self.machine.tick(self.now)

    @invariant()
    def the_link_shows_a_whole_generation(self):
        assert self.link in self.staged

    @invariant()
    def what_failed_its_check_is_never_shown(self):
        assert self.staged[self.link] != "bad"

    @invariant()
    def an_end_is_told_once_and_stays(self):
        for outcome in self.disk.outcomes:
            assert self.ends.setdefault(outcome.step, outcome.verdict) == outcome.verdict
        assert len({o.step for o in self.disk.outcomes}) == len(self.disk.outcomes)

    @invariant()
    def generations_only_grow(self):
        assert self.disk.current.number >= self.disk.previous.number

    def teardown(self):
        """Left alone, it settles: link, process and record agree, and every step that was begun has its end."""
        for _ in range(30):
            while self.queue:
                self.act(None, False)
            self.is_ready()
            self.wait(1_000_001)
        r = self.machine.record
        assert r.state is State.SETTLED and r == self.disk
        assert self.link == r.current.number == self.process
        for outcome in r.outcomes:
            if outcome.verdict is Verdict.TOOK:
                assert self.sent[outcome.step].target.number <= r.current.number
        assert r.current.digest != NOTHING


Host.TestCase.settings = settings(max_examples=200, stateful_step_count=50, deadline=None, derandomize=True)
TestHost = Host.TestCase
