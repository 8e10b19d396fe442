"""What one copy learned the next one goes on with; what may be spent is spent once."""

import json

import pytest
from driver import PAY, READ, Driver

from oakbridge.policy import state
from oakbridge.policy.actions import SendAttempt
from oakbridge.policy.events import Endpoint, PredecessorInFlight

ENTRIES = [Endpoint(f"s{i}", address=f"p{i}") for i in range(6)]


def pair(**options) -> tuple[Driver, Driver]:
    options = {"classes": (READ, PAY), "entries": ENTRIES} | options
    return Driver(**options), Driver(seed=9, **options)


def over(old: Driver, new: Driver) -> None:
    new.run_to(old.now)
    state.restore(new.balancer, json.loads(json.dumps(state.save(old.balancer, old.now))), new.now)


def test_health_latency_limits_and_the_subset_go_along():
    old, new = pair(replica_count=3)
    old.serve(120, latency=30_000, fails=("s1",))
    over(old, new)
    assert new.balancer.endpoints.known["s1"].score == old.balancer.endpoints.known["s1"].score
    assert (
        new.balancer.endpoints.known["s1"].ejected_until
        == old.balancer.endpoints.known["s1"].ejected_until
    )
    assert new.balancer.members.ejected_count() == old.balancer.members.ejected_count()
    subsets = [
        {s.id for s in d.balancer.members.subset.items(with_inactive=True)} for d in (old, new)
    ]
    assert subsets[0] == subsets[1]
    assert new.balancer.latency["read"].mean == old.balancer.latency["read"].mean
    assert new.balancer.admission.limit == old.balancer.admission.limit
    assert new.balancer.outliers.failure_rate == old.balancer.outliers.failure_rate


def test_retries_left_are_shared_not_doubled():
    old, new = pair()
    old.serve(200)
    left = old.balancer.budget.left(old.now)
    over(old, new)
    both = old.balancer.budget.left(old.now) + new.balancer.budget.left(new.now)
    assert left > 5
    assert both == pytest.approx(left, rel=0.01)


def test_a_cold_servers_part_goes_to_the_next_copy_whole():
    """Guards the rule on cold servers: two processes of one node are one copy."""
    start = 50_000_000
    cold = [*ENTRIES[:5], Endpoint("s5", address="p5", started_at=start)]
    old, new = pair(
        entries=cold, slow_start_minimum=0.2, slow_start_window=20_000_000, replica_count=2
    )
    for d in (old, new):
        d.run_to(start)
    old.serve(300, gap=10_000)
    assert "s5" in [a.server for a in old.actions_of(SendAttempt)]
    over(old, new)
    before = len([a for a in old.actions_of(SendAttempt) if a.server == "s5"])
    old.serve(300, gap=10_000)
    assert len([a for a in old.actions_of(SendAttempt) if a.server == "s5"]) == before
    assert new.balancer.endpoints.known["s5"].tokens_at > 0


def test_a_server_that_restarted_since_starts_with_a_clean_record():
    old, _ = pair()
    old.serve(120, fails=("s1",))
    new = Driver(
        entries=[Endpoint("s1", address="p1", started_at=7), *ENTRIES[2:]], classes=(READ, PAY)
    )
    over(old, new)
    assert new.balancer.endpoints.known["s1"].score < old.balancer.endpoints.known["s1"].score
    assert new.send_request()


def test_the_limit_is_for_both_processes_together():
    """Guards against a first tier that gets twice the limit at an upgrade, slows down, and jams."""
    old, new = pair()
    old.serve(120)
    for _ in range(200):
        old.send_request()
    out = old.balancer.admission.in_flight
    assert out >= old.balancer.admission.limit > 4
    over(old, new)
    new.feed(PredecessorInFlight(out))
    for _ in range(200):
        new.send_request()
    assert not new.actions_of(SendAttempt)
    for i, left in enumerate((out - 3, 0)):
        new.feed(PredecessorInFlight(left))
        for _ in range(30):
            new.send_request()  # fewer wait than may be out
        assert len(new.actions_of(SendAttempt)) == pytest.approx((3, out)[i], abs=1)


@pytest.mark.parametrize(
    "part", ["servers", "latency", "admission", "copy", "slots", "rate", "due"]
)
def test_what_can_not_be_used_changes_nothing(part):
    old, new = pair()
    old.serve(50)
    saved = state.save(old.balancer, old.now)
    before = state.save(new.balancer, new.now)
    broken = saved | {part: {"s1": ["x"], "read": ["x"]} if isinstance(saved[part], dict) else "x"}
    if part == "due":
        broken.pop("due")
    with pytest.raises((KeyError, TypeError, ValueError)):
        state.restore(new.balancer, broken, new.now)
    assert state.save(new.balancer, new.now)["servers"] == before["servers"]
    assert new.balancer.latency["read"].count == 0


def test_one_that_is_back_alone_uses_cold_servers_again():
    old, _ = pair()
    state.save(old.balancer, old.now)
    old.balancer.slow_start.is_handed_over = False
    old.serve(10)
    assert old.actions_of(SendAttempt)
