"""The node's phases: drains, hand-overs and the shutdown, in any order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakbridge.node.lifecycle import (
    DRAIN_NOTICE_US,
    MAX_DEADLINE_US,
    RESPONSE_GRACE_US,
    Lifecycle,
    Phase,
)


def test_drain_closes_connections_after_its_notice_time_and_can_be_undone():
    lifecycle = Lifecycle()
    assert (lifecycle.ready, lifecycle.closes_connections(0), lifecycle.accepts_connections(0)) == (
        True,
        False,
        True,
    )
    assert lifecycle.drain(1000)
    assert not lifecycle.drain(2000)
    assert not lifecycle.ready
    assert not lifecycle.closes_connections(1000 + DRAIN_NOTICE_US - 1)
    assert lifecycle.closes_connections(1000 + DRAIN_NOTICE_US)
    assert lifecycle.accepts_connections(10**9)
    assert lifecycle.next_step(1000) == 1000 + DRAIN_NOTICE_US
    assert lifecycle.undrain()
    assert not lifecycle.undrain()
    assert lifecycle.ready
    assert not lifecycle.closes_connections(10**9)


@pytest.mark.parametrize("is_drained", [False, True])
@pytest.mark.parametrize("is_handed_over", [False, True])
def test_shutdown_closes_the_listener_after_its_notice_time_or_at_once_after_a_hand_over(
    is_drained, is_handed_over
):
    lifecycle = Lifecycle()
    if is_drained:
        lifecycle.drain(0)
    if is_handed_over:
        lifecycle.hand_over()
    lifecycle.shut_down(1_000_000, 6_000_000)
    assert lifecycle.accepts_connections(1_000_000) != is_handed_over
    assert not lifecycle.accepts_connections(1_000_000 + DRAIN_NOTICE_US)
    assert lifecycle.responses_due_at == 1_000_000 + MAX_DEADLINE_US + RESPONSE_GRACE_US
    assert lifecycle.ready == (is_handed_over and not is_drained)
    assert lifecycle.closes_connections(1_000_000) == is_drained


def test_hand_over_leaves_the_node_as_ready_as_it_was_and_can_be_undone():
    lifecycle = Lifecycle()
    lifecycle.hand_over()
    assert lifecycle.ready
    assert not lifecycle.accepts_connections(0)
    lifecycle.drain(0)
    assert not lifecycle.ready
    lifecycle.undrain()
    lifecycle.undo_hand_over()
    assert lifecycle.ready
    assert lifecycle.accepts_connections(0)


@given(
    st.lists(
        st.sampled_from(["drain", "undrain", "shut_down", "hand_over", "undo_hand_over"]),
        max_size=12,
    )
)
def test_no_order_of_calls_reopens_a_process_that_shuts_down_or_makes_a_drained_node_ready(calls):
    lifecycle = Lifecycle()
    for now, method in enumerate(calls):
        is_shutting_down = lifecycle.phase == Phase.SHUTTING_DOWN
        if method == "shut_down":
            lifecycle.shut_down(now, 100)
        elif method == "drain":
            lifecycle.drain(now)
        else:
            getattr(lifecycle, method)()
        assert not (lifecycle.draining and lifecycle.ready)
        if is_shutting_down:
            assert lifecycle.phase == Phase.SHUTTING_DOWN
            assert not lifecycle.accepts_connections(now + DRAIN_NOTICE_US)
        elif lifecycle.phase == Phase.SERVING:
            assert lifecycle.next_step(now) is None
        assert (lifecycle.phase == Phase.DRAINING) <= lifecycle.draining
