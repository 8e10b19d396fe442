"""An explorer of the whole protocol: two tools and their agents, over a lossy network.

Messages are lost, doubled, late and reordered; agents and tools are killed at any time and go on
from their disks.
"""

from dataclasses import dataclass, field

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.agent.actions import ActivateGeneration, PersistRecord, SetTimer, StageGeneration
from oakbridge.agent.errors import StepConflictError, StepInProgressError
from oakbridge.agent.lease import FencingTokenRecord, Lease, LeaseGranted
from oakbridge.agent.records import ChangeState, Generation, InstanceRecord, Step
from oakbridge.agent.state_machine import InstanceStateMachine
from oakbridge.fleet.quorum import majority
from oakbridge.rollout import step_report
from oakbridge.rollout.actions import EvaluateGate, Persist, ResolveStep, RollBack, SendStep
from oakbridge.rollout.gate import GateResult, Verdict
from oakbridge.rollout.machine import RolloutMachine
from oakbridge.rollout.plan import Target
from oakbridge.rollout.record import InstanceOutcome, Phase, RolloutRecord

S = 1_000_000
HOSTS = ("a", "b", "c", "d")
DELIVERIES = ("once", "once", "once", "once", "twice", "twice", "lost")
TOOLS = st.sampled_from(["kari", "ola"])
PASS, FAIL = GateResult(Verdict.PASS, "as good"), GateResult(Verdict.FAIL, "it serves less")


# The seed that hypothesis derived from the source of the explorer as it was first written: renames
# in its source would change it, and with it the interleavings.
SEED = (
    0xD291868E174E41A2A2CB46953F4D81F04D1BC05677E096F4 << 192
    | 0xB70F4C229F3BB26110835EF9B58D12838CAB432FB4B78AAE
)


@dataclass
class Agent:
    """One agent with its disk; actions of its instance are carried out as its shell would."""

    token_record: FencingTokenRecord = field(default_factory=FencingTokenRecord)
    record: InstanceRecord = field(default_factory=InstanceRecord)
    link: int = 0
    steps: list[int] = field(default_factory=list)  # tokens of the steps that began here, in order
    due: int | None = None

    def __post_init__(self):
        self.lease, self.machine = Lease(self.token_record, 0), InstanceStateMachine(self.record)

    def restart(self, now):
        self.lease, self.machine, self.due = (
            Lease(self.token_record, now, 10 * S),
            InstanceStateMachine(self.record),
            None,
        )
        self.carry(now, self.machine.recover(now))

    def carry(self, now, actions, token=0, who="", problem=""):
        queue = list(actions)
        while queue:
            action = queue.pop(0)
            if isinstance(action, PersistRecord):
                self.record = action.record
            elif isinstance(action, StageGeneration):
                refused = self.lease.check(now, token, who)
                queue += self.machine.on_staged(problem or (refused.reason if refused else ""))
            elif isinstance(action, ActivateGeneration):
                self.link = action.target.number
                queue += self.machine.on_activated(now)
            elif isinstance(action, SetTimer):
                self.due = action.at_us

    def order(self, now, step, who, problem):
        """Take a step as the shell does, the lease first; return why it never can begin, if so."""
        if (
            self.machine.outcome(step.step_id) is not None
            or self.lease.check(now, step.token, who) is not None
        ):
            return ""
        try:
            actions = self.machine.begin_step(step)
        except StepInProgressError:
            return ""
        except StepConflictError as e:
            return str(e)
        if actions:
            self.steps.append(step.token)
        self.carry(now, actions, step.token, who, problem)
        return ""

    def tells(self):
        r = self.record
        step = None if r.step is None else {"id": r.step.step_id}
        outcomes = [[o.step_id, o.verdict.value, o.reason] for o in r.outcomes]
        return {
            "generation": r.current.number,
            "step": step,
            "outcomes": outcomes,
        }, self.lease.record.token


@dataclass
class Tool:
    """One operator's tool, and its journal."""

    token: int = 0
    granted: set = field(default_factory=set)
    rollout: int = 0
    disk: RolloutRecord | None = None
    machine: RolloutMachine | None = None
    awaited: set = field(default_factory=set)  # names of instances
    resolving: set = field(default_factory=set)  # names of instances
    rollbacks: set = field(default_factory=set)  # targets
    gate_open: bool = False


@seed(SEED)
class Protocol(RuleBasedStateMachine):
    """Two tools, each with rollouts of its own, and four agents.

    Hypothesis orders rules by name, and their arguments by name.
    """

    def __init__(self):
        super().__init__()
        self.now, self.agents, self.tools = (
            0,
            {h: Agent() for h in HOSTS},
            {"kari": Tool(), "ola": Tool()},
        )
        self.in_transit = []  # messages, either way

    # ---- tools

    def ask(self, who):
        tool = self.tools[who]
        tool.token = 1 + max(a.lease.record.token for a in self.agents.values())
        tool.granted = set()
        self.in_transit += [("acquire", who, host, tool.token) for host in HOSTS]

    def holds(self, who):
        return len(self.tools[who].granted) >= majority(len(HOSTS))

    @rule(who=TOOLS)
    def asks_for_the_lease(self, who):
        if not self.holds(who):
            self.ask(who)

    @rule(who=TOOLS)
    def renews(self, who):
        if self.holds(who):
            self.in_transit += [("renew", who, host, self.tools[who].token) for host in HOSTS]

    @rule(who=TOOLS, undo=st.booleans(), unavailable=st.integers(1, 3))
    def begins_or_resumes(self, who, undo, unavailable):
        tool = self.tools[who]
        if not self.holds(who) or tool.machine is not None:
            return
        if tool.disk is None:
            targets = [Target(h, "n", "", a.record.current.number) for h, a in self.agents.items()]
            tool.disk = RolloutRecord((tuple(targets[:1]), tuple(targets[1:])), unavailable, undo)
            tool.rollout = tool.token
        tool.machine = RolloutMachine(tool.disk)
        self.do(who, tool.machine.start())

    @rule(who=TOOLS)
    def tool_is_killed(self, who):
        before = self.tools[who]
        self.tools[who] = Tool(rollout=before.rollout, disk=before.disk)

    @rule(who=TOOLS)
    def done_with_it(self, who):
        """Its rollout is over: it gives the lease back, and may begin another one."""
        tool = self.tools[who]
        if tool.machine and tool.machine.record.phase in (
            Phase.DONE,
            Phase.HALTED,
            Phase.ROLLED_BACK,
        ):
            self.in_transit += [("release", who, host, tool.token) for host in HOSTS]
            self.tools[who] = Tool()

    def loses(self, who, host):
        """Its lease is gone at an agent; without a majority the tool halts, and ends."""
        tool = self.tools[who]
        held = self.holds(who)
        tool.granted.discard(host)
        if held and not self.holds(who) and tool.machine is not None:
            self.do(who, tool.machine.stop("the lease is lost"))
            self.tool_is_killed(who)

    def do(self, who, actions):
        tool = self.tools[who]
        for action in actions:
            if isinstance(action, Persist):
                tool.disk = action.record
            elif isinstance(action, SendStep):
                tool.awaited.add(action.target.name)
                self.step(who, action.target, is_rollback=False)
            elif isinstance(action, RollBack):
                tool.rollbacks.add(action.target)
            elif isinstance(action, ResolveStep):
                tool.awaited.add(action.target.name)
                tool.resolving.add(action.target.name)
            elif isinstance(action, EvaluateGate):
                tool.gate_open = True

    def step(self, who, target, *, is_rollback):
        tool = self.tools[who]
        if target.agent not in tool.granted:  # it did not answer before
            self.in_transit.append(("acquire", who, target.agent, tool.token))
            return
        make = step_report.rollback_step_id if is_rollback else step_report.step_id
        number, base = (
            (tool.token, tool.rollout) if is_rollback else (tool.rollout, target.base_generation)
        )
        step = Step(
            make(tool.rollout, f"{target.agent}-n"),
            tool.token,
            Generation(number, f"{number}"),
            base,
            S,
        )
        self.in_transit.append(("step", who, target.agent, step))

    @rule(who=TOOLS)
    def sends_again(self, who):
        """Send again what has no end yet, and rollbacks under a token above the rollout's."""
        tool = self.tools[who]
        if tool.machine is None or not self.holds(who):
            return
        for wave in tool.machine.record.waves:
            for target in wave:
                if (
                    tool.machine.statuses()[target.name].outcome is InstanceOutcome.IN_PROGRESS
                    and target.name not in tool.resolving
                ):
                    self.step(who, target, is_rollback=False)
        if tool.rollbacks and tool.token <= tool.rollout:
            self.ask(who)
        for target in sorted(tool.rollbacks) if tool.token > tool.rollout else ():
            self.step(who, target, is_rollback=True)

    @rule(who=TOOLS, good=st.sampled_from([True, True, False]))
    def gate_speaks(self, who, good):
        tool = self.tools[who]
        if tool.machine is not None and tool.gate_open:
            tool.gate_open = False
            self.do(who, tool.machine.on_gate_result(PASS if good else FAIL))

    @rule(who=TOOLS, host=st.sampled_from(HOSTS))
    def silence(self, who, host):
        if (tool := self.tools[who]).machine is not None:
            tool.awaited.discard(f"{host}/n")
            self.do(who, tool.machine.on_outcome_unknown(f"{host}/n", "no answer", 1.0))

    @rule(who=TOOLS)
    def looks_at_all(self, who):
        for host in HOSTS:
            self.looks(who, host)

    def looks(self, who, host):
        """Have an agent report what it knows now; the tool may hear of it much later."""
        if self.tools[who].machine is not None:
            self.in_transit.append(
                ("report", who, host, (self.tools[who].rollout, *self.agents[host].tells()))
            )

    # ---- the network

    @precondition(lambda self: self.in_transit)
    @rule(
        picks=st.lists(
            st.tuples(st.integers(0, 40), st.sampled_from(DELIVERIES)), min_size=1, max_size=8
        ),
        bad=st.sampled_from([0, 0, 0, 0, 1]),
    )
    def deliver(self, picks, bad):
        """Deliver any messages in any order, and answer them; many stay for much later."""
        for place, delivery in picks:
            if self.in_transit:
                place %= len(self.in_transit)
                message = (
                    self.in_transit[place] if delivery == "twice" else self.in_transit.pop(place)
                )
                if delivery != "lost":
                    self.arrive(*message, "the checker says no" if bad else "")

    @precondition(lambda self: self.in_transit)
    @rule(newest=st.booleans())
    def a_burst_arrives(self, newest):
        """Deliver what was sent last, or first, at once and in order."""
        burst = self.in_transit[-len(HOSTS) :] if newest else self.in_transit[: len(HOSTS)]
        self.in_transit = (
            self.in_transit[: -len(HOSTS)] if newest else self.in_transit[len(HOSTS) :]
        )
        for message in burst:
            self.arrive(*message)

    def arrive(self, kind, who, host, what, problem=""):
        handler = getattr(self, f"_arrive_{kind}")
        if kind == "step":
            handler(who, host, what, problem)
        else:
            handler(who, host, what)

    def _arrive_acquire(self, who, host, token):
        agent = self.agents[host]
        got = agent.lease.acquire(self.now, token, who, 60 * S, 0.0)
        if isinstance(got, LeaseGranted):
            agent.token_record = agent.lease.record
            self.in_transit.append(("granted", who, host, token))
        elif not got.expires_in_us and got.holder != who:
            self.in_transit.append(("outbid", who, host, got.token))

    def _arrive_renew(self, who, host, token):
        got = self.agents[host].lease.renew(self.now, token, who, 60 * S)
        if not isinstance(got, LeaseGranted) and token == self.tools[who].token:
            self.loses(who, host)

    def _arrive_release(self, who, host, token):
        agent = self.agents[host]
        agent.lease.release(self.now, token, who)
        agent.token_record = agent.lease.record

    def _arrive_granted(self, who, host, token):
        if token == self.tools[who].token:
            self.tools[who].granted.add(host)

    def _arrive_outbid(self, who, _host, token):
        """Take the news that a tool which lost to us left a higher token there."""
        tool = self.tools[who]
        if tool.machine is not None and token >= tool.token and self.holds(who):
            self.ask(who)

    def _arrive_step(self, who, host, step, problem):
        if refused := self.agents[host].order(self.now, step, who, problem):
            self.in_transit.append(("refused", who, host, (step.step_id, refused)))

    def _arrive_refused(self, who, host, refusal):
        tool = self.tools[who]
        if tool.machine is None:
            return
        step, reason = refusal
        if step == step_report.step_id(tool.rollout, f"{host}-n"):
            self.do(
                who,
                tool.machine.on_step_ended(f"{host}/n", InstanceOutcome.NOT_APPLIED, reason),
            )
        elif step == step_report.rollback_step_id(tool.rollout, f"{host}-n"):
            tool.rollbacks = {t for t in tool.rollbacks if t.agent != host}
            reason = f"it was not taken back: {reason}"
            self.do(who, tool.machine.on_outcome_unknown(f"{host}/n", reason, 1.0))

    def _arrive_report(self, who, host, told):
        rollout, report, promised_token = told
        tool = self.tools[who]
        if tool.machine is not None and rollout == tool.rollout:
            self.take_step_report(who, host, report, promised_token)
            self.take_rollback_report(who, host, report)

    def take_step_report(self, who, host, report, promised_token):
        tool, name = self.tools[who], f"{host}/n"
        step = step_report.step_id(tool.rollout, f"{host}-n")
        result = None
        if name not in tool.resolving:
            result = step_report.step_result(report, step) if name in tool.awaited else None
        elif self.holds(who):
            result = step_report.resolved_result(
                report, step, promised_token=promised_token, own_token=tool.token
            )
        if result is not None:
            tool.resolving.discard(name)
            tool.awaited.discard(name)
            self.do(who, tool.machine.on_step_ended(name, result.outcome, result.reason))

    def take_rollback_report(self, who, host, report):
        tool, name = self.tools[who], f"{host}/n"
        target = next((t for t in tool.rollbacks if t.name == name), None)
        step = step_report.rollback_step_id(tool.rollout, f"{host}-n")
        result = step_report.step_result(report, step)
        if target is None or result is None:
            return
        tool.rollbacks.discard(target)
        if result.outcome is InstanceOutcome.APPLIED:
            self.do(who, tool.machine.on_rolled_back(name))
        else:
            self.do(who, tool.machine.on_outcome_unknown(name, result.reason, 1.0))

    # ---- agents

    @rule()
    def all_are_ready(self):
        for host in HOSTS:
            self.agent_lives(host, "ready")

    @rule(host=st.sampled_from(HOSTS), how=st.sampled_from(["fails", "killed"]))
    def agent_lives(self, host, how):
        agent = self.agents[host]
        if how == "killed":
            agent.restart(self.now)
        else:
            react = (
                agent.machine.on_ready(self.now)
                if how == "ready"
                else agent.machine.on_failed("exit 1")
            )
            agent.carry(self.now, react)

    @rule(by=st.sampled_from([1, 2, 20, 70]))
    def time_passes(self, by):
        self.now += by * S
        for agent in self.agents.values():
            if agent.due is not None and agent.due <= self.now:
                agent.due = None
                agent.carry(self.now, agent.machine.on_timer(self.now))

    # ---- what holds at every moment

    @invariant()
    def two_never_hold_a_majority(self):
        alive = [a.lease.record.holder for a in self.agents.values() if a.lease.is_active(self.now)]
        assert sum(alive.count(who) >= majority(len(HOSTS)) for who in set(alive)) <= 1

    @invariant()
    def steps_of_two_leases_are_never_interleaved(self):
        for agent in self.agents.values():
            assert agent.steps == sorted(agent.steps)
            assert agent.token_record == agent.lease.record

    @invariant()
    def the_link_shows_what_the_record_says(self):
        for agent in self.agents.values():
            r = agent.record
            if r.state is ChangeState.SETTLED:
                assert agent.link == r.current.number
            assert agent.link in (r.current.number, r.step and r.step.target.number)

    @invariant()
    def reports_agree_with_the_agents(self):
        """Check that an outcome is what the agent remembers of the step."""
        for tool in self.tools.values():
            if tool.machine is None:
                continue
            for name, status in tool.machine.statuses().items():
                host = name[0]
                outcomes = {o.step_id: o.verdict.value for o in self.agents[host].record.outcomes}
                mine = outcomes.get(step_report.step_id(tool.rollout, f"{host}-n"))
                back = outcomes.get(step_report.rollback_step_id(tool.rollout, f"{host}-n"))
                if status.outcome is InstanceOutcome.APPLIED:
                    assert mine == "took it"
                elif status.outcome is InstanceOutcome.ROLLED_BACK:
                    assert mine == "undone" or back == "took it"
                elif status.outcome is InstanceOutcome.NOT_APPLIED:
                    assert mine in ("did not", None)
                elif status.outcome is InstanceOutcome.NOT_REACHED:
                    assert mine is None

    @invariant()
    def no_more_are_under_way_than_may_be_and_no_wave_begins_before_its_gate(self):
        for tool in self.tools.values():
            if tool.machine is not None:
                record, statuses = tool.machine.record, tool.machine.statuses()
                under_way = sum(
                    status.outcome in (InstanceOutcome.IN_PROGRESS, InstanceOutcome.UNKNOWN)
                    for status in statuses.values()
                )
                assert under_way <= record.max_unavailable
                later = [t.name for wave in record.waves[record.wave_index + 1 :] for t in wave]
                assert all(statuses[name].outcome is InstanceOutcome.NOT_REACHED for name in later)

    def teardown(self):
        """With a network that works, each tool in turn is resumed and comes to its end."""
        for who in ("kari", "ola", "kari"):
            self.now += 700 * S
            self.tool_is_killed(who)
            for _ in range(40):
                self.asks_for_the_lease(who)
                self.renews(who)
                self.settle()
                self.begins_or_resumes(who, False, 3)
                self.sends_again(who)
                self.settle()
                self.looks_at_all(who)
                self.settle()
                self.gate_speaks(who, True)
                tool = self.tools[who]
                if tool.machine and tool.machine.record.phase in (
                    Phase.DONE,
                    Phase.HALTED,
                    Phase.ROLLED_BACK,
                ):
                    break
            rows = self.tools[who].machine.statuses().values()
            assert not any(row.outcome is InstanceOutcome.IN_PROGRESS for row in rows), self.tell(
                who
            )
            self.done_with_it(who)
            self.settle()
            last = self.tools[who]
            assert last.machine is None, self.tell(who)

    def tell(self, who):
        return self.tools[who], {
            h: (a.lease.record, a.record, a.steps) for h, a in self.agents.items()
        }

    def settle(self):
        """All that is under way arrives, and what begins has its end."""
        while self.in_transit:
            self.arrive(*self.in_transit.pop(0))
        for _ in range(3):
            self.all_are_ready()
            self.time_passes(1)


Protocol.TestCase.settings = settings(
    max_examples=150, stateful_step_count=80, deadline=None, derandomize=True
)
TestProtocol = Protocol.TestCase
