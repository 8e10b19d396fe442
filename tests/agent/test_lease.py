"""Leases: one operator at a time, whatever is lost, late, doubled or frozen."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.agent.lease import FencingTokenRecord, Lease, LeaseDenied, LeaseGranted
from oakbridge.fleet.quorum import majority

S = 1_000_000


def test_the_first_to_ask_has_it_and_the_other_is_told_who_and_since_when():
    lease = Lease(FencingTokenRecord(), 0)
    assert lease.acquire(0, 1, "kari", 60 * S, 1000.0) == LeaseGranted(1, 60 * S, True)
    told = lease.acquire(5 * S, 2, "ola", 60 * S, 1005.0)
    assert isinstance(told, LeaseDenied)
    assert (told.holder, told.granted_at_s, told.token, told.expires_in_us) == (
        "kari",
        1000.0,
        1,
        55 * S,
    )


def test_the_same_question_has_the_same_answer():
    """A reply that was lost is asked for again."""
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 1, "kari", 60 * S, 0)
    assert lease.acquire(1, 1, "kari", 60 * S, 0) == LeaseGranted(1, 60 * S, False)


def test_a_lease_that_nobody_renews_ends_and_its_token_stays_spent():
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 5, "kari", 10 * S, 0)
    assert lease.check(9 * S, 5, "kari") is None
    assert "has ended" in lease.check(10 * S, 5, "kari").reason
    assert "not above 5" in lease.acquire(11 * S, 5, "ola", S, 0).reason
    assert isinstance(lease.acquire(11 * S, 6, "ola", S, 0), LeaseGranted)
    assert "not the one promised" in lease.check(11 * S, 5, "kari").reason


def test_an_old_token_never_comes_back():
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 5, "kari", 10 * S, 0)
    lease.release(1, 5, "kari")
    lease.acquire(2, 6, "ola", 10 * S, 0)
    assert isinstance(lease.renew(3, 5, "kari", S), LeaseDenied)
    assert lease.release(3, 5, "kari") is False
    assert lease.is_active(3)


def test_one_that_lost_is_not_kept_alive_by_the_winner_who_chose_the_same_token():
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 5, "ola", 10 * S, 0)
    assert isinstance(lease.renew(5 * S, 5, "kari", 60 * S), LeaseDenied)
    assert lease.release(5 * S, 5, "kari") is False
    assert lease.check(5 * S, 5, "kari") is not None
    assert lease.is_active(9 * S)
    assert not lease.is_active(10 * S)


def test_its_holder_may_ask_for_a_higher_token_before_it_ends():
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 5, "kari", 10 * S, 0)
    assert isinstance(lease.acquire(1, 6, "kari", 10 * S, 0), LeaseGranted)
    assert lease.check(2, 5, "kari") is not None
    assert lease.check(2, 6, "kari") is None


def test_after_a_start_an_unreleased_lease_counts_as_alive_for_a_while():
    lease = Lease(FencingTokenRecord(5, "kari", 0, released=False), 100 * S, grace_us=30 * S)
    assert isinstance(lease.acquire(110 * S, 6, "ola", S, 0), LeaseDenied)
    assert isinstance(lease.renew(111 * S, 5, "kari", 40 * S), LeaseGranted)
    assert isinstance(lease.acquire(152 * S, 6, "ola", S, 0), LeaseGranted)
    assert isinstance(
        Lease(FencingTokenRecord(5, "kari", 0, released=True), 0).acquire(0, 6, "ola", S, 0),
        LeaseGranted,
    )


def test_a_lease_has_a_longest_time():
    assert Lease(FencingTokenRecord(), 0).acquire(0, 1, "kari", 10**15, 0).duration_us == 600 * S


def test_two_majorities_share_one():
    for n in range(1, 60):
        assert 2 * majority(n) > n >= majority(n)


AGENTS, LENGTH = 5, 10 * S
OPERATORS = st.sampled_from(["kari", "ola", "per"])


class Fleet(RuleBasedStateMachine):
    """Operators that race for five agents, over messages that are late, lost or doubled."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.leases = [Lease(FencingTokenRecord(), 0) for _ in range(AGENTS)]
        self.disk = [FencingTokenRecord() for _ in range(AGENTS)]
        self.tokens: dict[str, int] = {}  # what each operator asks with
        self.granted: dict[
            tuple[str, int], set[int]
        ] = {}  # operator and token: the agents that said yes
        self.asked_at: dict[tuple[str, int], int] = {}
        self.messages: list[tuple[str, int, int]] = []  # under way to an agent
        self.steps: list[tuple[int, int, str]] = []  # agent, token and sender of a step under way
        self.done: list[list[int]] = [
            [] for _ in range(AGENTS)
        ]  # tokens of the steps that an agent took

    @rule(who=OPERATORS)
    def propose(self, who):
        """Take a token above all that this operator can see, and ask every agent."""
        self.tokens[who] = token = 1 + max(lease.record.token for lease in self.leases)
        self.granted[who, token] = set()
        self.asked_at[who, token] = self.now
        self.messages += [(who, token, agent) for agent in range(AGENTS)]

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), twice=st.booleans(), lost=st.booleans())
    def deliver(self, data, twice, lost):
        """Any message, in any order, once or twice; the reply may be lost."""
        place = data.draw(st.integers(0, len(self.messages) - 1))
        who, token, agent = self.messages[place]
        if not twice:
            self.messages.pop(place)
        got = self.leases[agent].acquire(self.now, token, who, LENGTH, 0.0)
        if isinstance(got, LeaseGranted):
            if got.record_changed:
                self.disk[agent] = self.leases[agent].record
            if not lost:
                self.granted.setdefault((who, token), set()).add(agent)

    @precondition(lambda self: self.granted)
    @rule(data=st.data())
    def send_step(self, data):
        """An operator that believes it has a majority sends a step, which may come much later."""
        holders = [key for key, agents in self.granted.items() if len(agents) >= majority(AGENTS)]
        if holders:
            who, token = data.draw(st.sampled_from(sorted(holders)))
            self.steps.append((data.draw(st.integers(0, AGENTS - 1)), token, who))

    @precondition(lambda self: self.steps)
    @rule(data=st.data(), twice=st.booleans())
    def step_arrives(self, data, twice):
        place = data.draw(st.integers(0, len(self.steps) - 1))
        agent, token, who = self.steps[place] if twice else self.steps.pop(place)
        if self.leases[agent].check(self.now, token, who) is None:
            self.done[agent].append(token)

    @rule(seconds=st.integers(1, 15))
    def time_passes(self, seconds):
        self.now += seconds * S

    @rule(agent=st.integers(0, AGENTS - 1))
    def agent_is_killed(self, agent):
        """It starts again from its disk."""
        self.leases[agent] = Lease(self.disk[agent], self.now, grace_us=LENGTH)

    @rule(who=OPERATORS)
    def release(self, who):
        if who in self.tokens:
            for agent, lease in enumerate(self.leases):
                if lease.release(self.now, self.tokens[who], who):
                    self.disk[agent] = lease.record
            self.granted.pop((who, self.tokens[who]), None)

    @invariant()
    def one_operator_has_a_majority(self):
        alive = [
            (lease.record.holder, lease.record.token)
            for lease in self.leases
            if lease.is_active(self.now)
        ]
        assert sum(1 for key in set(alive) if alive.count(key) >= majority(AGENTS)) <= 1

    @invariant()
    def tokens_of_steps_only_grow(self):
        """A step of an older lease is never taken after one of a newer."""
        for tokens in self.done:
            assert tokens == sorted(tokens)

    @invariant()
    def what_was_promised_is_on_disk(self):
        for lease, disk in zip(self.leases, self.disk, strict=True):
            assert disk == lease.record


Fleet.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
TestFleet = Fleet.TestCase


def test_two_hundred_races_have_one_winner_each():
    """Both ask all agents, in an order by seed."""
    import random

    for seed in range(200):
        rng = random.Random(seed)
        count = rng.randrange(1, 12)
        leases = [Lease(FencingTokenRecord(), 0) for _ in range(count)]
        asks = [(who, agent) for who in ("kari", "ola") for agent in range(count)]
        rng.shuffle(asks)
        got = {"kari": 0, "ola": 0}
        for who, agent in asks:
            got[who] += isinstance(leases[agent].acquire(0, 1, who, LENGTH, 0.0), LeaseGranted)
        winners = [who for who, n in got.items() if n >= majority(count)]
        assert len(winners) <= 1
        assert sum(got.values()) == count
