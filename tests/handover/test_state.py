"""The policy state that a hand-over transfers; what a node may spend is not spent twice."""

import json

import pytest
from driver import PAY, READ, Driver

from oakbridge.policy import state
from oakbridge.policy.actions import SendAttempt
from oakbridge.policy.events import Endpoint, PredecessorInFlight

ENTRIES = [Endpoint(f"s{i}", address=f"p{i}") for i in range(6)]


def driver_pair(**options) -> tuple[Driver, Driver]:
    options = {"classes": (READ, PAY), "entries": ENTRIES} | options
    return Driver(**options), Driver(seed=9, **options)


def transfer_state(predecessor: Driver, successor: Driver) -> None:
    successor.run_to(predecessor.now)
    state.restore(
        successor.balancer,
        json.loads(json.dumps(state.save(predecessor.balancer, predecessor.now))),
        successor.now,
    )


def test_health_latency_limits_and_subset_are_transferred():
    predecessor, successor = driver_pair(replica_count=3)
    predecessor.serve(120, latency=30_000, fails=("s1",))
    transfer_state(predecessor, successor)
    assert (
        successor.balancer.endpoints.known["s1"].score
        == predecessor.balancer.endpoints.known["s1"].score
    )
    assert (
        successor.balancer.endpoints.known["s1"].ejected_until
        == predecessor.balancer.endpoints.known["s1"].ejected_until
    )
    assert (
        successor.balancer.members.ejected_count() == predecessor.balancer.members.ejected_count()
    )
    subsets = [
        {server.id for server in driver.balancer.members.subset.items(with_inactive=True)}
        for driver in (predecessor, successor)
    ]
    assert subsets[0] == subsets[1]
    assert successor.balancer.latency["read"].mean == predecessor.balancer.latency["read"].mean
    assert successor.balancer.admission.limit == predecessor.balancer.admission.limit
    assert successor.balancer.outliers.failure_rate == predecessor.balancer.outliers.failure_rate


def test_remaining_retries_are_divided_between_both_processes():
    predecessor, successor = driver_pair()
    predecessor.serve(200)
    retries_left = predecessor.balancer.budget.left(predecessor.now)
    transfer_state(predecessor, successor)
    both = predecessor.balancer.budget.left(predecessor.now) + successor.balancer.budget.left(
        successor.now
    )
    assert retries_left > 5
    assert both == pytest.approx(retries_left, rel=0.01)


def test_successor_gets_whole_share_of_cold_servers():
    """Guards against a cold server that gets a replica's share from each of its two processes."""
    start = 50_000_000
    cold = [*ENTRIES[:5], Endpoint("s5", address="p5", started_at=start)]
    predecessor, successor = driver_pair(
        entries=cold, slow_start_minimum=0.2, slow_start_window=20_000_000, replica_count=2
    )
    for driver in (predecessor, successor):
        driver.run_to(start)
    predecessor.serve(300, gap=10_000)
    assert "s5" in [attempt.server for attempt in predecessor.actions_of(SendAttempt)]
    transfer_state(predecessor, successor)
    before = len(
        [attempt for attempt in predecessor.actions_of(SendAttempt) if attempt.server == "s5"]
    )
    predecessor.serve(300, gap=10_000)
    assert (
        len([attempt for attempt in predecessor.actions_of(SendAttempt) if attempt.server == "s5"])
        == before
    )
    assert successor.balancer.endpoints.known["s5"].tokens_at > 0


def test_state_of_server_that_restarted_is_not_transferred():
    predecessor, _ = driver_pair()
    predecessor.serve(120, fails=("s1",))
    successor = Driver(
        entries=[Endpoint("s1", address="p1", started_at=7), *ENTRIES[2:]], classes=(READ, PAY)
    )
    transfer_state(predecessor, successor)
    assert (
        successor.balancer.endpoints.known["s1"].score
        < predecessor.balancer.endpoints.known["s1"].score
    )
    assert successor.send_request()


def test_concurrency_limit_applies_to_both_processes_together():
    """Guards against a first tier that gets twice the limit in a hot restart, and stalls."""
    predecessor, successor = driver_pair()
    predecessor.serve(120)
    for _ in range(200):
        predecessor.send_request()
    in_flight = predecessor.balancer.admission.in_flight
    assert in_flight >= predecessor.balancer.admission.limit > 4
    transfer_state(predecessor, successor)
    successor.feed(PredecessorInFlight(in_flight))
    for _ in range(200):
        successor.send_request()
    assert not successor.actions_of(SendAttempt)
    for step, remaining in enumerate((in_flight - 3, 0)):
        successor.feed(PredecessorInFlight(remaining))
        for _ in range(30):
            successor.send_request()  # fewer requests can be queued than in flight
        assert len(successor.actions_of(SendAttempt)) == pytest.approx((3, in_flight)[step], abs=1)


@pytest.mark.parametrize(
    "part", ["servers", "latency", "admission", "copy", "slots", "rate", "due"]
)
def test_invalid_state_has_no_effect(part):
    predecessor, successor = driver_pair()
    predecessor.serve(50)
    saved = state.save(predecessor.balancer, predecessor.now)
    before = state.save(successor.balancer, successor.now)
    broken = saved | {part: {"s1": ["x"], "read": ["x"]} if isinstance(saved[part], dict) else "x"}
    if part == "due":
        broken.pop("due")
    with pytest.raises((KeyError, TypeError, ValueError)):
        state.restore(successor.balancer, broken, successor.now)
    assert state.save(successor.balancer, successor.now)["servers"] == before["servers"]
    assert successor.balancer.latency["read"].count == 0


def test_predecessor_that_resumes_serving_uses_cold_servers_again():
    predecessor, _ = driver_pair()
    state.save(predecessor.balancer, predecessor.now)
    predecessor.balancer.slow_start.is_handed_over = False
    predecessor.serve(10)
    assert predecessor.actions_of(SendAttempt)
