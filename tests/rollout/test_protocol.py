"""The whole protocol as a state machine: leases, instances and rollouts of two tools, over a lossy network.

Messages are lost, doubled, late and reordered; agents and tools are killed at any time and go on from their disks."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.agent.actions import ActivateGeneration, PersistRecord, SetTimer, StageGeneration
from oakbridge.agent.errors import StepConflictError, StepInProgressError
from oakbridge.agent.lease import FencingTokenRecord, Lease, LeaseGranted
from oakbridge.agent.records import ChangeState, Generation, InstanceRecord, Step
from oakbridge.agent.state_machine import InstanceStateMachine
from oakbridge.fleet.quorum import majority
from oakbridge.rollout import news
from oakbridge.rollout.gate import Judgement, Word
from oakbridge.rollout.machine import Fate, Judge, Keep, Record, Rollout, Send, Settle, Stage, TakeBack
from oakbridge.rollout.plan import Target

S = 1_000_000
HOSTS = ("a", "b", "c", "d")
FATES = ("once", "once", "once", "once", "twice", "twice", "lost")
TOOLS = st.sampled_from(["kari", "ola"])
PASS, FAIL = Judgement(Word.PASS, "as good"), Judgement(Word.FAIL, "it serves less")


@dataclass
class Agent:
    """One agent with its disk; actions of its instance are carried out as its shell would."""

    token_record: FencingTokenRecord = FencingTokenRecord()
    record: InstanceRecord = InstanceRecord()
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
        """A step as the shell takes it: the lease is asked first.  Returns why it never can begin, if so."""
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
        return {"generation": r.current.number, "step": step, "outcomes": outcomes}, self.lease.record.token


@dataclass
class Tool:
    """One operator's tool, and its journal."""

    token: int = 0
    granted: set = field(default_factory=set)
    rollout: int = 0
    disk: Record | None = None
    machine: Rollout | None = None
    awaited: set = field(default_factory=set)  # whose step's end is waited for
    settling: set = field(default_factory=set)
    backs: set = field(default_factory=set)
    judging: bool = False


class Protocol(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now, self.agents, self.tools = 0, {h: Agent() for h in HOSTS}, {"kari": Tool(), "ola": Tool()}
        self.bag = []  # messages under way, either way

    # ---- tools

    def ask(self, who):
        tool = self.tools[who]
        tool.token = 1 + max(a.lease.record.token for a in self.agents.values())
        tool.granted = set()
        self.bag += [("acquire", who, host, tool.token) for host in HOSTS]

    def holds(self, who):
        return len(self.tools[who].granted) >= majority(len(HOSTS))

    @rule(who=TOOLS)
    def asks_for_the_lease(self, who):
        if not self.holds(who):
            self.ask(who)

    @rule(who=TOOLS)
    def renews(self, who):
        if self.holds(who):
            self.bag += [("renew", who, host, self.tools[who].token) for host in HOSTS]

    @rule(who=TOOLS, undo=st.booleans(), unavailable=st.integers(1, 3))
    def begins_or_resumes(self, who, undo, unavailable):
        tool = self.tools[who]
        if not self.holds(who) or tool.machine is not None:
            return
        if tool.disk is None:
            targets = [Target(h, "n", "", a.record.current.number) for h, a in self.agents.items()]
            tool.disk = Record((tuple(targets[:1]), tuple(targets[1:])), unavailable, undo)
            tool.rollout = tool.token
        tool.machine = Rollout(tool.disk)
        self.do(who, tool.machine.begin())

    @rule(who=TOOLS)
    def tool_is_killed(self, who):
        before = self.tools[who]
        self.tools[who] = Tool(rollout=before.rollout, disk=before.disk)

    @rule(who=TOOLS)
    def done_with_it(self, who):
        """Its rollout is over: it gives the lease back, and may begin another one."""
        tool = self.tools[who]
        if tool.machine and tool.machine.record.stage in (Stage.DONE, Stage.HALTED, Stage.UNDONE):
            self.bag += [("release", who, host, tool.token) for host in HOSTS]
            self.tools[who] = Tool()

    def loses(self, who, host):
        """Its lease is gone at an agent; without a majority the tool halts, and ends."""
        tool = self.tools[who]
        held = self.holds(who)
        tool.granted.discard(host)
        if held and not self.holds(who) and tool.machine is not None:
            self.do(who, tool.machine.stopped("the lease is lost"))
            self.tool_is_killed(who)

    def do(self, who, actions):
        tool = self.tools[who]
        for action in actions:
            if isinstance(action, Keep):
                tool.disk = action.record
            elif isinstance(action, Send):
                tool.awaited.add(action.target.name)
                self.step(who, action.target, False)
            elif isinstance(action, TakeBack):
                tool.backs.add(action.target)
            elif isinstance(action, Settle):
                tool.awaited.add(action.target.name)
                tool.settling.add(action.target.name)
            elif isinstance(action, Judge):
                tool.judging = True

    def step(self, who, target, back):
        tool = self.tools[who]
        if target.agent not in tool.granted:  # it did not answer when all were asked: it is asked again first
            return self.bag.append(("acquire", who, target.agent, tool.token))
        make = news.back_id if back else news.step_id
        number, base = (tool.token, tool.rollout) if back else (tool.rollout, target.base)
        step = Step(
            make(tool.rollout, f"{target.agent}-n"), tool.token, Generation(number, f"{number}"), base, S
        )
        self.bag.append(("step", who, target.agent, step))

    @rule(who=TOOLS)
    def sends_again(self, who):
        """What has no end yet; and what is to be taken back, under a token above the rollout's."""
        tool = self.tools[who]
        if tool.machine is None or not self.holds(who):
            return
        for wave in tool.machine.record.waves:
            for target in wave:
                if tool.machine.report()[target.name].fate is Fate.SENT and target.name not in tool.settling:
                    self.step(who, target, False)
        if tool.backs and tool.token <= tool.rollout:
            self.ask(who)
        for target in sorted(tool.backs) if tool.token > tool.rollout else ():
            self.step(who, target, True)

    @rule(who=TOOLS, good=st.sampled_from([True, True, False]))
    def gate_speaks(self, who, good):
        tool = self.tools[who]
        if tool.machine is not None and tool.judging:
            tool.judging = False
            self.do(who, tool.machine.judged(PASS if good else FAIL))

    @rule(who=TOOLS, host=st.sampled_from(HOSTS))
    def silence(self, who, host):
        if (tool := self.tools[who]).machine is not None:
            tool.awaited.discard(f"{host}/n")
            self.do(who, tool.machine.silent(f"{host}/n", "no answer", 1.0))

    @rule(who=TOOLS)
    def looks_at_all(self, who):
        for host in HOSTS:
            self.looks(who, host)

    def looks(self, who, host):
        """An agent tells what it knows now; the tool may hear of it much later."""
        if self.tools[who].machine is not None:
            self.bag.append(("news", who, host, (self.tools[who].rollout, *self.agents[host].tells())))

    # ---- the network

    @precondition(lambda self: self.bag)
    @rule(
        picks=st.lists(st.tuples(st.integers(0, 40), st.sampled_from(FATES)), min_size=1, max_size=8),
        bad=st.sampled_from([0, 0, 0, 0, 1]),
    )
    def deliver(self, picks, bad):
        """Any of what is under way, in any order, and answers with it; much stays in the bag for much later."""
        for place, fate in picks:
            if self.bag:
                place %= len(self.bag)
                message = self.bag[place] if fate == "twice" else self.bag.pop(place)
                if fate != "lost":
                    self.arrive(*message, "the checker says no" if bad else "")

    @precondition(lambda self: self.bag)
    @rule(newest=st.booleans())
    def a_burst_arrives(self, newest):
        """All that was sent last, or first, at once and in order."""
        burst = self.bag[-len(HOSTS) :] if newest else self.bag[: len(HOSTS)]
        self.bag = self.bag[: -len(HOSTS)] if newest else self.bag[len(HOSTS) :]
        for message in burst:
            self.arrive(*message)

    def arrive(self, kind, who, host, what, problem=""):
        agent, tool = self.agents[host], self.tools[who]
        if kind == "acquire":
            got = agent.lease.acquire(self.now, what, who, 60 * S, 0.0)
            if isinstance(got, LeaseGranted):
                agent.token_record = agent.lease.record
                self.bag.append(("granted", who, host, what))
            elif not got.expires_in_us and got.holder != who:
                self.bag.append(("outbid", who, host, got.token))
        elif kind == "renew":
            if (
                not isinstance(agent.lease.renew(self.now, what, who, 60 * S), LeaseGranted)
                and what == tool.token
            ):
                self.loses(who, host)
        elif kind == "release":
            agent.lease.release(self.now, what, who)
            agent.token_record = agent.lease.record
        elif kind == "granted":
            if what == tool.token:
                tool.granted.add(host)
        elif kind == "outbid":  # one that lost to us left a higher token there
            if tool.machine is not None and what >= tool.token and self.holds(who):
                self.ask(who)
        elif kind == "step":
            if refused := agent.order(self.now, what, who, problem):
                self.bag.append(("refused", who, host, (what.step_id, refused)))
        elif kind == "refused" and tool.machine is not None:
            if what[0] == news.step_id(tool.rollout, f"{host}-n"):
                self.do(who, tool.machine.ended(f"{host}/n", Fate.DID_NOT, what[1]))
            elif what[0] == news.back_id(tool.rollout, f"{host}-n"):
                tool.backs = {t for t in tool.backs if t.agent != host}
                self.do(who, tool.machine.silent(f"{host}/n", f"it was not taken back: {what[1]}", 1.0))
        elif kind == "news" and tool.machine is not None and what[0] == tool.rollout:
            self.hear(who, host, *what[1:])

    def hear(self, who, host, row, promised):
        tool, name = self.tools[who], f"{host}/n"
        step = news.step_id(tool.rollout, f"{host}-n")
        if name in tool.settling:
            end = news.settled(row, step, promised, tool.token) if self.holds(who) else None
        else:
            end = news.ended(row, step) if name in tool.awaited else None
        if end is not None:
            tool.settling.discard(name)
            tool.awaited.discard(name)
            self.do(who, tool.machine.ended(name, *end))
        target = next((t for t in tool.backs if t.name == name), None)
        back = news.ended(row, news.back_id(tool.rollout, f"{host}-n"))
        if target and back:
            tool.backs.discard(target)
            taken = back[0] is Fate.TOOK
            self.do(who, tool.machine.taken_back(name) if taken else tool.machine.silent(name, back[1], 1.0))

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
            react = agent.machine.on_ready(self.now) if how == "ready" else agent.machine.on_failed("exit 1")
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
            assert agent.steps == sorted(agent.steps) and agent.token_record == agent.lease.record

    @invariant()
    def the_link_shows_what_the_record_says(self):
        for agent in self.agents.values():
            r = agent.record
            if r.state is ChangeState.SETTLED:
                assert agent.link == r.current.number
            assert agent.link in (r.current.number, r.step and r.step.target.number)

    @invariant()
    def reports_agree_with_the_agents(self):
        """A fate that is told is what the agent remembers of that step; what was never sent never began there."""
        for tool in self.tools.values():
            if tool.machine is None:
                continue
            for name, row in tool.machine.report().items():
                host = name[0]
                outcomes = {o.step_id: o.verdict.value for o in self.agents[host].record.outcomes}
                mine = outcomes.get(news.step_id(tool.rollout, f"{host}-n"))
                back = outcomes.get(news.back_id(tool.rollout, f"{host}-n"))
                if row.fate is Fate.TOOK:
                    assert mine == "took it"
                elif row.fate is Fate.UNDONE:
                    assert mine == "undone" or back == "took it"
                elif row.fate is Fate.DID_NOT:
                    assert mine in ("did not", None)
                elif row.fate is Fate.WAITS:
                    assert mine is None

    @invariant()
    def no_more_are_under_way_than_may_be_and_no_wave_begins_before_its_gate(self):
        for tool in self.tools.values():
            if tool.machine is not None:
                record, rows = tool.machine.record, tool.machine.report()
                under_way = sum(row.fate in (Fate.SENT, Fate.UNKNOWN) for row in rows.values())
                assert under_way <= record.unavailable
                later = [t.name for wave in record.waves[record.wave + 1 :] for t in wave]
                assert all(rows[name].fate is Fate.WAITS for name in later)

    def teardown(self):
        """With a network that works, each tool in turn is resumed (under a token above all) and comes to its end."""
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
                if tool.machine and tool.machine.record.stage in (Stage.DONE, Stage.HALTED, Stage.UNDONE):
                    break
            rows = self.tools[who].machine.report().values()
            assert not any(row.fate is Fate.SENT for row in rows), self.tell(who)
            self.done_with_it(who)
            self.settle()
            last = self.tools[who]
            assert last.machine is None, self.tell(who)

    def tell(self, who):
        return self.tools[who], {h: (a.lease.record, a.record, a.steps) for h, a in self.agents.items()}

    def settle(self):
        """All that is under way arrives, and what begins has its end."""
        while self.bag:
            self.arrive(*self.bag.pop(0))
        for _ in range(3):
            self.all_are_ready()
            self.time_passes(1)


Protocol.TestCase.settings = settings(
    max_examples=150, stateful_step_count=80, deadline=None, derandomize=True
)
TestProtocol = Protocol.TestCase
