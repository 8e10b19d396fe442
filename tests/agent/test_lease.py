"""Leases: at most one operator wins, though messages are lost, late or doubled and agents die."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oakbridge.agent.lease import FencingTokenRecord, Lease, LeaseDenied, LeaseGranted
from oakbridge.fleet.quorum import majority

US_PER_S = 1_000_000


def test_denial_has_the_holder_and_the_time_of_its_lease():
    lease = Lease(FencingTokenRecord(), 0)
    assert lease.acquire(0, 1, "kari", 60 * US_PER_S, 1000.0) == LeaseGranted(
        1, 60 * US_PER_S, True
    )
    denied = lease.acquire(5 * US_PER_S, 2, "ola", 60 * US_PER_S, 1005.0)
    assert isinstance(denied, LeaseDenied)
    assert (denied.holder, denied.granted_at_s, denied.token, denied.expires_in_us) == (
        "kari",
        1000.0,
        1,
        55 * US_PER_S,
    )


def test_repeated_request_is_granted_again():
    """Guards an operator that lost the response and sends its request again."""
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 1, "kari", 60 * US_PER_S, 0)
    assert lease.acquire(1, 1, "kari", 60 * US_PER_S, 0) == LeaseGranted(1, 60 * US_PER_S, False)


def test_lease_without_renewal_expires_and_its_token_is_not_granted_again():
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 5, "kari", 10 * US_PER_S, 0)
    assert lease.check(9 * US_PER_S, 5, "kari") is None
    assert "has ended" in lease.check(10 * US_PER_S, 5, "kari").reason
    assert "not above 5" in lease.acquire(11 * US_PER_S, 5, "ola", US_PER_S, 0).reason
    assert isinstance(lease.acquire(11 * US_PER_S, 6, "ola", US_PER_S, 0), LeaseGranted)
    assert "not the one promised" in lease.check(11 * US_PER_S, 5, "kari").reason


def test_old_token_can_not_be_renewed_or_released():
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 5, "kari", 10 * US_PER_S, 0)
    lease.release(1, 5, "kari")
    lease.acquire(2, 6, "ola", 10 * US_PER_S, 0)
    assert isinstance(lease.renew(3, 5, "kari", US_PER_S), LeaseDenied)
    assert lease.release(3, 5, "kari") is False
    assert lease.is_active(3)


def test_same_token_of_another_operator_does_not_renew_the_lease():
    """Operators that compete for the lease may propose the same token."""
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 5, "ola", 10 * US_PER_S, 0)
    assert isinstance(lease.renew(5 * US_PER_S, 5, "kari", 60 * US_PER_S), LeaseDenied)
    assert lease.release(5 * US_PER_S, 5, "kari") is False
    assert lease.check(5 * US_PER_S, 5, "kari") is not None
    assert lease.is_active(9 * US_PER_S)
    assert not lease.is_active(10 * US_PER_S)


def test_holder_may_acquire_a_higher_token_before_the_lease_expires():
    lease = Lease(FencingTokenRecord(), 0)
    lease.acquire(0, 5, "kari", 10 * US_PER_S, 0)
    assert isinstance(lease.acquire(1, 6, "kari", 10 * US_PER_S, 0), LeaseGranted)
    assert lease.check(2, 5, "kari") is not None
    assert lease.check(2, 6, "kari") is None


def test_unreleased_lease_is_active_for_the_grace_after_a_restart():
    lease = Lease(
        FencingTokenRecord(5, "kari", 0, released=False), 100 * US_PER_S, grace_us=30 * US_PER_S
    )
    assert isinstance(lease.acquire(110 * US_PER_S, 6, "ola", US_PER_S, 0), LeaseDenied)
    assert isinstance(lease.renew(111 * US_PER_S, 5, "kari", 40 * US_PER_S), LeaseGranted)
    assert isinstance(lease.acquire(152 * US_PER_S, 6, "ola", US_PER_S, 0), LeaseGranted)
    assert isinstance(
        Lease(FencingTokenRecord(5, "kari", 0, released=True), 0).acquire(0, 6, "ola", US_PER_S, 0),
        LeaseGranted,
    )


def test_duration_of_a_lease_is_limited():
    assert (
        Lease(FencingTokenRecord(), 0).acquire(0, 1, "kari", 10**15, 0).duration_us
        == 600 * US_PER_S
    )


def test_two_majorities_share_an_agent():
    for count in range(1, 60):
        assert 2 * majority(count) > count >= majority(count)


AGENT_COUNT, DURATION_US = 5, 10 * US_PER_S
OPERATORS = st.sampled_from(["kari", "ola", "per"])


class LeaseModel(RuleBasedStateMachine):
    """Operators compete for five agents' leases by messages that are late, lost or doubled."""

    def __init__(self) -> None:
        super().__init__()
        self.now_us = 0
        self.leases = [Lease(FencingTokenRecord(), 0) for _ in range(AGENT_COUNT)]
        self.stored_records = [FencingTokenRecord() for _ in range(AGENT_COUNT)]
        self.tokens: dict[str, int] = {}  # the token that each operator proposed last
        # The agents that granted the lease, by operator and token.
        self.granted: dict[tuple[str, int], set[int]] = {}
        self.proposed_at_us: dict[tuple[str, int], int] = {}
        self.messages: list[tuple[str, int, int]] = []  # operator, token and agent; not delivered
        self.steps: list[tuple[int, int, str]] = []  # agent, token and operator; not delivered
        # The tokens of the steps that each agent accepted.
        self.accepted_tokens: list[list[int]] = [[] for _ in range(AGENT_COUNT)]

    @rule(operator=OPERATORS)
    def propose(self, operator):
        """Propose a token above that of every agent, and request the lease of each."""
        self.tokens[operator] = token = 1 + max(lease.record.token for lease in self.leases)
        self.granted[operator, token] = set()
        self.proposed_at_us[operator, token] = self.now_us
        self.messages += [(operator, token, agent) for agent in range(AGENT_COUNT)]

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), is_doubled=st.booleans(), is_response_lost=st.booleans())
    def deliver(self, data, is_doubled, is_response_lost):
        """Deliver any message, once or twice; the response may be lost."""
        index = data.draw(st.integers(0, len(self.messages) - 1))
        operator, token, agent = self.messages[index]
        if not is_doubled:
            self.messages.pop(index)
        result = self.leases[agent].acquire(self.now_us, token, operator, DURATION_US, 0.0)
        if isinstance(result, LeaseGranted):
            if result.record_changed:
                self.stored_records[agent] = self.leases[agent].record
            if not is_response_lost:
                self.granted.setdefault((operator, token), set()).add(agent)

    @precondition(lambda self: self.granted)
    @rule(data=st.data())
    def send_step(self, data):
        """An operator that was granted a majority sends a step, which may arrive much later."""
        holders = [
            key for key, agents in self.granted.items() if len(agents) >= majority(AGENT_COUNT)
        ]
        if holders:
            operator, token = data.draw(st.sampled_from(sorted(holders)))
            self.steps.append((data.draw(st.integers(0, AGENT_COUNT - 1)), token, operator))

    @precondition(lambda self: self.steps)
    @rule(data=st.data(), is_doubled=st.booleans())
    def deliver_step(self, data, is_doubled):
        index = data.draw(st.integers(0, len(self.steps) - 1))
        agent, token, operator = self.steps[index] if is_doubled else self.steps.pop(index)
        if self.leases[agent].check(self.now_us, token, operator) is None:
            self.accepted_tokens[agent].append(token)

    @rule(seconds=st.integers(1, 15))
    def let_time_pass(self, seconds):
        self.now_us += seconds * US_PER_S

    @rule(agent=st.integers(0, AGENT_COUNT - 1))
    def kill_agent(self, agent):
        """Restart an agent from its record on disk."""
        self.leases[agent] = Lease(self.stored_records[agent], self.now_us, grace_us=DURATION_US)

    @rule(operator=OPERATORS)
    def release(self, operator):
        if operator in self.tokens:
            for agent, lease in enumerate(self.leases):
                if lease.release(self.now_us, self.tokens[operator], operator):
                    self.stored_records[agent] = lease.record
            self.granted.pop((operator, self.tokens[operator]), None)

    @invariant()
    def at_most_one_operator_has_a_majority(self):
        active = [
            (lease.record.holder, lease.record.token)
            for lease in self.leases
            if lease.is_active(self.now_us)
        ]
        assert sum(1 for key in set(active) if active.count(key) >= majority(AGENT_COUNT)) <= 1

    @invariant()
    def tokens_of_accepted_steps_only_grow(self):
        """A step of an older lease is never accepted after one of a newer lease."""
        for tokens in self.accepted_tokens:
            assert tokens == sorted(tokens)

    @invariant()
    def granted_tokens_are_on_disk(self):
        for lease, record in zip(self.leases, self.stored_records, strict=True):
            assert record == lease.record


LeaseModel.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
TestLeaseModel = LeaseModel.TestCase


def test_at_most_one_of_two_competing_operators_wins():
    """Both request the leases of all agents, with the same token, in an order by seed."""
    import random

    for seed in range(200):
        rng = random.Random(seed)
        count = rng.randrange(1, 12)
        leases = [Lease(FencingTokenRecord(), 0) for _ in range(count)]
        requests = [(operator, agent) for operator in ("kari", "ola") for agent in range(count)]
        rng.shuffle(requests)
        grants = {"kari": 0, "ola": 0}
        for operator, agent in requests:
            grants[operator] += isinstance(
                leases[agent].acquire(0, 1, operator, DURATION_US, 0.0), LeaseGranted
            )
        winners = [operator for operator, granted in grants.items() if granted >= majority(count)]
        assert len(winners) <= 1
        assert sum(grants.values()) == count
