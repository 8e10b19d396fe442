"""The rollout's machine: each way to its end, and a state machine with silence, kills, late and doubled news."""

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.rollout.gate import GateResult, Verdict
from oakbridge.rollout.machine import (
    EvaluateGate,
    Finish,
    InstanceOutcome,
    Persist,
    Phase,
    ResolveStep,
    RollBack,
    RolloutMachine,
    RolloutRecord,
    SendStep,
)
from oakbridge.rollout.plan import Target

PASS, FAIL = GateResult(Verdict.PASS, "as good"), GateResult(Verdict.FAIL, "it serves less")


def targets(*names: str) -> tuple[Target, ...]:
    return tuple(Target("h", n) for n in names)


def rollout(*waves: str, unavailable: int = 2, undo: bool = False) -> RolloutMachine:
    return RolloutMachine(RolloutRecord(tuple(targets(*w) for w in waves), unavailable, undo))


def sent(actions) -> list[str]:
    return [a.target.instance for a in actions if isinstance(a, SendStep)]


def kinds(actions) -> list[type]:
    return [type(a) for a in actions if not isinstance(a, Persist)]


def took(r: RolloutMachine, *names: str) -> list:
    return [a for n in names for a in r.on_step_ended(f"h/{n}", InstanceOutcome.APPLIED)]


def fates(r: RolloutMachine) -> str:
    return " ".join(f"{name[2:]}:{row.outcome.value}" for name, row in r.statuses().items())


def test_wave_by_wave_with_a_gate_after_each():
    r = rollout("a", "bcd")
    assert sent(r.start()) == ["a"]
    assert kinds(took(r, "a")) == [EvaluateGate]
    assert sent(r.on_gate_result(PASS)) == ["b", "c"]  # no more than two at once
    assert sent(took(r, "b")) == ["d"]
    assert kinds(took(r, "c", "d")) == [EvaluateGate]
    assert kinds(r.on_gate_result(PASS)) == [Finish]
    assert r.record.phase is Phase.DONE and r.is_complete()


def test_one_that_did_not_halts_and_what_is_under_way_has_its_end():
    r = rollout("abcd")
    r.start()
    assert kinds(r.on_step_ended("h/a", InstanceOutcome.NOT_APPLIED, "class: missing")) == []
    assert kinds(took(r, "b")) == [Finish]
    assert fates(r) == "a:did not b:took it c:not reached d:not reached"
    assert r.record.phase is Phase.HALTED and "a did not: class: missing" in r.record.reason


def test_a_gate_that_fails_undoes_if_asked():
    r = rollout("a", "b", undo=True)
    r.start()
    took(r, "a")
    assert [a.target.instance for a in r.on_gate_result(FAIL) if isinstance(a, RollBack)] == ["a"]
    assert kinds(r.on_rolled_back("h/a")) == [Finish]
    assert fates(r) == "a:undone b:not reached" and r.record.phase is Phase.ROLLED_BACK


def test_one_that_takes_it_while_others_are_undone_is_undone_too():
    r = rollout("ab", undo=True)
    r.start()
    r.on_step_ended("h/a", InstanceOutcome.ROLLED_BACK, "exit 1")
    assert kinds(took(r, "b")) == [RollBack]
    assert kinds(r.on_rolled_back("h/b")) == [Finish]
    assert fates(r) == "a:undone b:undone"


def test_silence_is_unknown_and_takes_up_a_place():
    r = rollout("abcd", unavailable=2)
    r.start()
    assert sent(r.on_silence("h/a", "no answer", 7.0)) == []
    assert sent(took(r, "b")) == ["c"]
    assert r.statuses()["h/a"].last_response_unix_s == 7.0
    assert kinds(r.on_silence("h/c", "no answer", 9.0)) == [Finish]
    assert fates(r) == "a:unknown b:took it c:unknown d:not reached"
    assert "2 instances are not heard of" in r.record.reason


def test_one_that_wakes_up_says_what_it_did():
    r = rollout("ab")
    r.start()
    r.on_silence("h/a", "no answer", 7.0)
    took(r, "b")
    took(r, "a")
    assert fates(r) == "a:took it b:took it"


def test_a_canary_that_is_not_heard_of_does_not_leave_the_next_wave_waiting_for_its_place():
    r = rollout("a", "bc", unavailable=1)
    r.start()
    r.on_silence("h/a", "no answer", 7.0)
    r.on_gate_result(PASS)
    assert r.record.phase is Phase.HALTED and "1 may be missing" in r.record.reason


def test_a_resume_takes_along_those_that_were_silent():
    """In a rollout that was done they get their step again; in one that was halted they are only asked."""
    r = rollout("ab", unavailable=2)
    r.start()
    r.on_silence("h/a", "no answer", 7.0)
    took(r, "b")
    assert kinds(r.on_gate_result(PASS)) == [Finish] and r.record.phase is Phase.DONE and not r.is_complete()
    again = RolloutMachine(r.record)
    assert sent(again.start()) == ["a"] and kinds(took(again, "a")) == [EvaluateGate]
    assert kinds(again.on_gate_result(PASS)) == [Finish] and again.is_complete()

    halted = rollout("abc", unavailable=2)
    halted.start()
    halted.on_silence("h/a", "no answer", 7.0)
    halted.on_step_ended("h/b", InstanceOutcome.NOT_APPLIED)
    again = RolloutMachine(halted.record)
    assert kinds(again.start()) == [ResolveStep]
    assert kinds(again.on_step_ended("h/a", InstanceOutcome.APPLIED)) == [Finish]
    assert fates(again) == "a:took it b:did not c:not reached"

    undone = rollout("ab", unavailable=2, undo=True)
    undone.start()
    undone.on_silence("h/a", "no answer", 7.0)
    undone.on_step_ended("h/b", InstanceOutcome.ROLLED_BACK)
    again = RolloutMachine(undone.record)
    assert kinds(again.start()) == [ResolveStep] and kinds(
        again.on_step_ended("h/a", InstanceOutcome.APPLIED)
    ) == [RollBack]
    assert kinds(again.on_rolled_back("h/a")) == [Finish] and again.record.phase is Phase.ROLLED_BACK


def test_what_was_said_stays_said():
    r = rollout("a", "b")
    r.start()
    took(r, "a")
    assert r.on_step_ended("h/a", InstanceOutcome.NOT_APPLIED) == [] and r.on_silence("h/a", "x", 1) == []
    assert (
        r.on_step_ended("h/b", InstanceOutcome.APPLIED) == []
        and r.on_step_ended("h/x", InstanceOutcome.APPLIED) == []
    )


def test_a_lost_lease_halts_and_undoes_nothing():
    r = rollout("a", "b", undo=True)
    r.start()
    took(r, "a")
    assert kinds(r.stop("the lease is ola's")) == [Finish]
    assert r.record.phase is Phase.HALTED and r.on_gate_result(PASS) == []


LETTERS = "abcdefg"

# What hypothesis derived from the text of the explorer as it was first written: a rename keeps its courses.
SEED = int(
    "4ab6c3468167918936fe5b2d2845b38d8be2094009bef188d165be60c1fd4d52cdc2236a17ba79b26833af90f98a4767", 16
)


@seed(SEED)
class World(RuleBasedStateMachine):
    """Agents that take, refuse, go silent and wake; a tool that is killed at any time and goes on from its journal."""

    def __init__(self) -> None:
        super().__init__()
        waves = (targets("a"), targets("b", "c"), targets("d", "e", "f", "g"))
        self.disk = RolloutRecord(waves, max_unavailable=2, auto_rollback=True)
        self.queue: list = []
        self.news: list[tuple[str, InstanceOutcome]] = []  # under way to the tool
        self.truth = dict.fromkeys(LETTERS, False)  # which agent runs the new generation
        self.back: list[str] = []
        self.done: dict[str, InstanceOutcome] = {}
        self.took: set[str] = set()
        self.judging = False
        self.start()

    def start(self) -> None:
        self.machine, self.queue, self.judging = RolloutMachine(self.disk), [], False
        self.do(self.machine.start())

    def do(self, actions) -> None:
        self.queue += actions

    @precondition(lambda self: self.queue)
    @rule(
        will=st.sampled_from(
            [
                InstanceOutcome.APPLIED,
                InstanceOutcome.APPLIED,
                InstanceOutcome.APPLIED,
                InstanceOutcome.NOT_APPLIED,
                InstanceOutcome.ROLLED_BACK,
            ]
        ),
        killed=st.booleans(),
    )
    def act(self, will, killed):
        """Carry one action out; or be killed before it."""
        if killed and self.queue:
            return self.start()
        action = self.queue.pop(0)
        if isinstance(action, Persist):
            self.disk = action.record
        elif isinstance(action, SendStep):
            name = action.target.instance
            outcome = self.done.setdefault(name, will)  # a step that is sent again has the same end
            self.truth[name] = outcome is InstanceOutcome.APPLIED and name not in self.back
            self.news.append((name, outcome))
        elif isinstance(action, ResolveStep):
            name = action.target.instance
            self.news.append(
                (name, self.done.setdefault(name, InstanceOutcome.NOT_APPLIED))
            )  # refused from now on
        elif isinstance(action, RollBack):
            self.back.append(action.target.instance)
            self.truth[action.target.instance] = False
        elif isinstance(action, EvaluateGate):
            self.judging = True

    @precondition(lambda self: self.news and not self.queue)
    @rule(data=st.data(), twice=st.booleans())
    def hear(self, data, twice):
        place = data.draw(st.integers(0, len(self.news) - 1))
        name, fate = self.news[place] if twice else self.news.pop(place)
        self.do(self.machine.on_step_ended(f"h/{name}", fate))

    @precondition(lambda self: not self.queue)
    @rule(name=st.sampled_from(LETTERS))
    def silence(self, name):
        self.do(self.machine.on_silence(f"h/{name}", "no answer", 1.0))

    @precondition(lambda self: self.back and not self.queue)
    @rule(data=st.data())
    def hear_back(self, data):
        self.do(self.machine.on_rolled_back(f"h/{data.draw(st.sampled_from(self.back))}"))

    @precondition(lambda self: self.judging and not self.queue)
    @rule(good=st.sampled_from([True, True, True, False]))
    def gate(self, good):
        self.judging = False
        self.do(self.machine.on_gate_result(PASS if good else FAIL))

    @invariant()
    def no_more_are_under_way_than_may_be(self):
        rows = self.machine.statuses().items()
        # One that took its step is not under way, also if it falls silent while it is to be taken back: a rollout that
        # undoes itself asks all of them at once, as each runs what is to go.
        self.took |= {name for name, row in rows if row.outcome is InstanceOutcome.APPLIED}
        # Resumed, it asks them once more for an end that it has heard before.
        under_way = [
            n
            for n, r in rows
            if r.outcome in (InstanceOutcome.IN_PROGRESS, InstanceOutcome.UNKNOWN) and n not in self.took
        ]
        assert len(under_way) <= self.disk.max_unavailable

    @invariant()
    def no_wave_begins_before_the_one_before_it_was_judged(self):
        rows = self.machine.statuses()
        for wave in self.disk.waves[self.machine.record.wave_index + 1 :]:
            assert all(rows[t.name].outcome is InstanceOutcome.NOT_REACHED for t in wave)

    @invariant()
    def the_report_agrees_with_the_truth(self):
        """What is reported as taken runs it, unless it is being taken back; the rest does not, or is not known."""
        for name, row in self.machine.statuses().items():
            name = name[2:]
            if row.outcome is InstanceOutcome.APPLIED and name not in self.back:
                assert self.truth[name]
            if row.outcome in (InstanceOutcome.NOT_REACHED, InstanceOutcome.NOT_APPLIED):
                assert not self.truth[name] or name in self.done
            if row.outcome is InstanceOutcome.ROLLED_BACK:
                assert not self.truth[name]

    def teardown(self):
        """Once all is heard, the rollout is over, and nothing is left under way."""
        for _ in range(60):
            while self.queue:
                self.act(InstanceOutcome.APPLIED, False)
            if self.news:
                name, fate = self.news.pop(0)
                self.do(self.machine.on_step_ended(f"h/{name}", fate))
            elif self.judging:
                self.gate(True)
            else:
                for name in self.back:
                    self.do(self.machine.on_rolled_back(f"h/{name}"))
        phase = self.machine.record.phase
        assert phase in (Phase.DONE, Phase.HALTED, Phase.ROLLED_BACK), (phase, fates(self.machine))
        assert all(r.outcome is not InstanceOutcome.IN_PROGRESS for r in self.machine.statuses().values())
        if phase is Phase.ROLLED_BACK:
            assert not any(r.outcome is InstanceOutcome.APPLIED for r in self.machine.statuses().values())


World.TestCase.settings = settings(max_examples=200, stateful_step_count=50, deadline=None, derandomize=True)
TestWorld = World.TestCase
