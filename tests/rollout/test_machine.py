"""The state machine of a rollout: each way in which one ends, and random interleavings."""

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.rollout.actions import EvaluateGate, Finish, Persist, ResolveStep, RollBack, SendStep
from oakbridge.rollout.gate import GateResult, Verdict
from oakbridge.rollout.machine import RolloutMachine
from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import InstanceOutcome, Phase, RolloutRecord

PASS, FAIL = GateResult(Verdict.PASS, "as good"), GateResult(Verdict.FAIL, "it serves less")


def targets(names: str) -> tuple[Target, ...]:
    """Return a target for each letter, all of agent ``h``."""
    return tuple(Target("h", name) for name in names)


def machine_for(
    *waves: str, max_unavailable: int = 2, auto_rollback: bool = False
) -> RolloutMachine:
    """Return the machine of a new rollout; each wave has an instance for each of its letters."""
    record = RolloutRecord(tuple(map(targets, waves)), max_unavailable, auto_rollback)
    return RolloutMachine(record)


def instances_sent_to(actions) -> list[str]:
    """Return the instances to which a step is sent."""
    return [action.target.instance for action in actions if isinstance(action, SendStep)]


def action_types(actions) -> list[type]:
    """Return the types of the actions, other than ``Persist``."""
    return [type(action) for action in actions if not isinstance(action, Persist)]


def report_applied(machine: RolloutMachine, *names: str) -> list:
    """Report that these instances applied the step; return the actions."""
    return [
        action
        for name in names
        for action in machine.on_step_ended(f"h/{name}", InstanceOutcome.APPLIED)
    ]


def describe_outcomes(machine: RolloutMachine) -> str:
    """Return the outcome of each instance in one line, in operators' words."""
    return " ".join(
        f"{name[2:]}:{status.outcome.value}" for name, status in machine.statuses().items()
    )


def test_waves_run_in_order_with_a_gate_after_each():
    machine = machine_for("a", "bcd")
    assert instances_sent_to(machine.start()) == ["a"]
    assert action_types(report_applied(machine, "a")) == [EvaluateGate]
    assert instances_sent_to(machine.on_gate_result(PASS)) == ["b", "c"]  # max_unavailable is 2
    assert instances_sent_to(report_applied(machine, "b")) == ["d"]
    assert action_types(report_applied(machine, "c", "d")) == [EvaluateGate]
    assert action_types(machine.on_gate_result(PASS)) == [Finish]
    assert machine.record.phase is Phase.DONE
    assert machine.is_complete()


def test_a_failed_step_halts_the_rollout_after_steps_in_progress_have_ended():
    machine = machine_for("abcd")
    machine.start()
    assert (
        action_types(machine.on_step_ended("h/a", InstanceOutcome.NOT_APPLIED, "class: missing"))
        == []
    )
    assert action_types(report_applied(machine, "b")) == [Finish]
    assert describe_outcomes(machine) == "a:did not b:took it c:not reached d:not reached"
    assert machine.record.phase is Phase.HALTED
    assert "a did not: class: missing" in machine.record.reason


def test_a_failed_gate_rolls_back_with_auto_rollback():
    machine = machine_for("a", "b", auto_rollback=True)
    machine.start()
    report_applied(machine, "a")
    assert [
        action.target.instance
        for action in machine.on_gate_result(FAIL)
        if isinstance(action, RollBack)
    ] == ["a"]
    assert action_types(machine.on_rolled_back("h/a")) == [Finish]
    assert describe_outcomes(machine) == "a:undone b:not reached"
    assert machine.record.phase is Phase.ROLLED_BACK


def test_an_instance_that_applies_its_step_during_a_rollback_is_rolled_back_too():
    machine = machine_for("ab", auto_rollback=True)
    machine.start()
    machine.on_step_ended("h/a", InstanceOutcome.ROLLED_BACK, "exit 1")
    assert action_types(report_applied(machine, "b")) == [RollBack]
    assert action_types(machine.on_rolled_back("h/b")) == [Finish]
    assert describe_outcomes(machine) == "a:undone b:undone"


def test_an_instance_without_a_result_is_unknown_and_counts_as_unavailable():
    machine = machine_for("abcd", max_unavailable=2)
    machine.start()
    assert instances_sent_to(machine.on_outcome_unknown("h/a", "no answer", 7.0)) == []
    assert instances_sent_to(report_applied(machine, "b")) == ["c"]
    assert machine.statuses()["h/a"].last_response_unix_s == 7.0
    assert action_types(machine.on_outcome_unknown("h/c", "no answer", 9.0)) == [Finish]
    assert describe_outcomes(machine) == "a:unknown b:took it c:unknown d:not reached"
    assert "2 instances are not heard of" in machine.record.reason


def test_a_late_report_replaces_the_outcome_unknown():
    machine = machine_for("ab")
    machine.start()
    machine.on_outcome_unknown("h/a", "no answer", 7.0)
    report_applied(machine, "b")
    report_applied(machine, "a")
    assert describe_outcomes(machine) == "a:took it b:took it"


def test_an_unknown_canary_halts_the_rollout_if_it_reaches_the_limit():
    machine = machine_for("a", "bc", max_unavailable=1)
    machine.start()
    machine.on_outcome_unknown("h/a", "no answer", 7.0)
    machine.on_gate_result(PASS)
    assert machine.record.phase is Phase.HALTED
    assert "1 may be missing" in machine.record.reason


def test_a_resume_includes_unknown_instances():
    """A rollout that was done sends their step again; a halted one only asks how it ended."""
    machine = machine_for("ab", max_unavailable=2)
    machine.start()
    machine.on_outcome_unknown("h/a", "no answer", 7.0)
    report_applied(machine, "b")
    assert action_types(machine.on_gate_result(PASS)) == [Finish]
    assert machine.record.phase is Phase.DONE
    assert not machine.is_complete()
    resumed = RolloutMachine(machine.record)
    assert instances_sent_to(resumed.start()) == ["a"]
    assert action_types(report_applied(resumed, "a")) == [EvaluateGate]
    assert action_types(resumed.on_gate_result(PASS)) == [Finish]
    assert resumed.is_complete()

    halted = machine_for("abc", max_unavailable=2)
    halted.start()
    halted.on_outcome_unknown("h/a", "no answer", 7.0)
    halted.on_step_ended("h/b", InstanceOutcome.NOT_APPLIED)
    resumed = RolloutMachine(halted.record)
    assert action_types(resumed.start()) == [ResolveStep]
    assert action_types(resumed.on_step_ended("h/a", InstanceOutcome.APPLIED)) == [Finish]
    assert describe_outcomes(resumed) == "a:took it b:did not c:not reached"

    rolled_back_machine = machine_for("ab", max_unavailable=2, auto_rollback=True)
    rolled_back_machine.start()
    rolled_back_machine.on_outcome_unknown("h/a", "no answer", 7.0)
    rolled_back_machine.on_step_ended("h/b", InstanceOutcome.ROLLED_BACK)
    resumed = RolloutMachine(rolled_back_machine.record)
    assert action_types(resumed.start()) == [ResolveStep]
    assert action_types(resumed.on_step_ended("h/a", InstanceOutcome.APPLIED)) == [RollBack]
    assert action_types(resumed.on_rolled_back("h/a")) == [Finish]
    assert resumed.record.phase is Phase.ROLLED_BACK


def test_later_reports_do_not_change_a_known_outcome():
    machine = machine_for("a", "b")
    machine.start()
    report_applied(machine, "a")
    assert machine.on_step_ended("h/a", InstanceOutcome.NOT_APPLIED) == []
    assert machine.on_outcome_unknown("h/a", "x", 1) == []
    assert machine.on_step_ended("h/b", InstanceOutcome.APPLIED) == []
    assert machine.on_step_ended("h/x", InstanceOutcome.APPLIED) == []


def test_a_lost_lease_halts_without_a_rollback():
    machine = machine_for("a", "b", auto_rollback=True)
    machine.start()
    report_applied(machine, "a")
    assert action_types(machine.stop("the lease is ola's")) == [Finish]
    assert machine.record.phase is Phase.HALTED
    assert machine.on_gate_result(PASS) == []


LETTERS = "abcdefg"
UNAVAILABLE = (InstanceOutcome.IN_PROGRESS, InstanceOutcome.UNKNOWN)
FINAL_PHASES = (Phase.DONE, Phase.HALTED, Phase.ROLLED_BACK)

# Hypothesis derived this seed from the first source of the explorer.  Without a fixed seed, each
# rename in the source would change the interleavings.
SEED = (
    0x4AB6C3468167918936FE5B2D2845B38D8BE2094009BEF188 << 192
    | 0xD165BE60C1FD4D52CDC2236A17BA79B26833AF90F98A4767
)


@seed(SEED)
class RolloutExplorer(RuleBasedStateMachine):
    """Agents that apply or refuse steps and report late, and a tool that is killed at any time.

    Hypothesis orders rules and their arguments by name: a rename that changes the order changes
    the interleavings.
    """

    def __init__(self) -> None:
        super().__init__()
        waves = (targets("a"), targets("bc"), targets("defg"))
        self.disk = RolloutRecord(waves, max_unavailable=2, auto_rollback=True)
        self.queue: list = []
        self.reports: list[tuple[str, InstanceOutcome]] = []  # not yet received by the tool
        self.runs_new = dict.fromkeys(LETTERS, False)  # which run the new generation
        self.rolled_back: list[str] = []
        self.agent_outcomes: dict[str, InstanceOutcome] = {}
        self.applied: set[str] = set()
        self.is_gate_open = False
        self.start()

    def start(self) -> None:
        self.machine, self.queue, self.is_gate_open = RolloutMachine(self.disk), [], False
        self.enqueue(self.machine.start())

    def enqueue(self, actions) -> None:
        self.queue += actions

    @precondition(lambda self: self.queue)
    @rule(
        next_outcome=st.sampled_from(
            [
                InstanceOutcome.APPLIED,
                InstanceOutcome.APPLIED,
                InstanceOutcome.APPLIED,
                InstanceOutcome.NOT_APPLIED,
                InstanceOutcome.ROLLED_BACK,
            ]
        ),
        is_killed=st.booleans(),
    )
    def carry_out_action(self, next_outcome, is_killed):
        """Carry out the next action, or be killed before it."""
        if is_killed and self.queue:
            self.start()
            return
        action = self.queue.pop(0)
        if isinstance(action, Persist):
            self.disk = action.record
        elif isinstance(action, SendStep):
            name = action.target.instance
            # A step that is sent again has the same outcome.
            outcome = self.agent_outcomes.setdefault(name, next_outcome)
            self.runs_new[name] = (
                outcome is InstanceOutcome.APPLIED and name not in self.rolled_back
            )
            self.reports.append((name, outcome))
        elif isinstance(action, ResolveStep):
            name = action.target.instance
            # A step that the agent has not received by now is refused.
            outcome = self.agent_outcomes.setdefault(name, InstanceOutcome.NOT_APPLIED)
            self.reports.append((name, outcome))
        elif isinstance(action, RollBack):
            self.rolled_back.append(action.target.instance)
            self.runs_new[action.target.instance] = False
        elif isinstance(action, EvaluateGate):
            self.is_gate_open = True

    @precondition(lambda self: self.reports and not self.queue)
    @rule(data=st.data(), is_delivered_twice=st.booleans())
    def receive_report(self, data, is_delivered_twice):
        index = data.draw(st.integers(0, len(self.reports) - 1))
        name, outcome = self.reports[index] if is_delivered_twice else self.reports.pop(index)
        self.enqueue(self.machine.on_step_ended(f"h/{name}", outcome))

    @precondition(lambda self: not self.queue)
    @rule(name=st.sampled_from(LETTERS))
    def time_out_step(self, name):
        self.enqueue(self.machine.on_outcome_unknown(f"h/{name}", "no answer", 1.0))

    @precondition(lambda self: self.rolled_back and not self.queue)
    @rule(data=st.data())
    def receive_rollback_report(self, data):
        self.enqueue(
            self.machine.on_rolled_back(f"h/{data.draw(st.sampled_from(self.rolled_back))}")
        )

    @precondition(lambda self: self.is_gate_open and not self.queue)
    @rule(passes=st.sampled_from([True, True, True, False]))
    def evaluate_gate(self, passes):
        self.is_gate_open = False
        self.enqueue(self.machine.on_gate_result(PASS if passes else FAIL))

    @invariant()
    def unavailable_instances_stay_within_the_limit(self):
        statuses = self.machine.statuses().items()
        # An instance that applied its step does not count as unavailable, also if it becomes
        # unknown during a rollback: the rollback is sent to all changed instances at once.
        self.applied |= {
            name for name, status in statuses if status.outcome is InstanceOutcome.APPLIED
        }
        # A resumed rollout asks again for results that were reported before it was killed.
        unavailable = [
            name
            for name, status in statuses
            if status.outcome in UNAVAILABLE and name not in self.applied
        ]
        assert len(unavailable) <= self.disk.max_unavailable

    @invariant()
    def no_wave_starts_before_the_gate_of_the_previous_one(self):
        statuses = self.machine.statuses()
        for wave in self.disk.waves[self.machine.record.wave_index + 1 :]:
            assert all(statuses[t.name].outcome is InstanceOutcome.NOT_REACHED for t in wave)

    @invariant()
    def outcomes_agree_with_the_agents(self):
        """Check that instances with the outcome applied are changed, unless a rollback was sent."""
        for full_name, status in self.machine.statuses().items():
            name = full_name.removeprefix("h/")
            if status.outcome is InstanceOutcome.APPLIED and name not in self.rolled_back:
                assert self.runs_new[name]
            if status.outcome in (InstanceOutcome.NOT_REACHED, InstanceOutcome.NOT_APPLIED):
                assert not self.runs_new[name] or name in self.agent_outcomes
            if status.outcome is InstanceOutcome.ROLLED_BACK:
                assert not self.runs_new[name]

    def teardown(self):
        """After all reports are received, the rollout is over and no step is in progress."""
        for _ in range(60):
            while self.queue:
                self.carry_out_action(InstanceOutcome.APPLIED, False)
            if self.reports:
                name, outcome = self.reports.pop(0)
                self.enqueue(self.machine.on_step_ended(f"h/{name}", outcome))
            elif self.is_gate_open:
                self.evaluate_gate(True)
            else:
                for name in self.rolled_back:
                    self.enqueue(self.machine.on_rolled_back(f"h/{name}"))
        phase = self.machine.record.phase
        assert phase in FINAL_PHASES, (phase, describe_outcomes(self.machine))
        final_outcomes = {status.outcome for status in self.machine.statuses().values()}
        assert InstanceOutcome.IN_PROGRESS not in final_outcomes
        if phase is Phase.ROLLED_BACK:
            assert InstanceOutcome.APPLIED not in final_outcomes


RolloutExplorer.TestCase.settings = settings(
    max_examples=200, stateful_step_count=50, deadline=None, derandomize=True
)
TestRolloutExplorer = RolloutExplorer.TestCase
