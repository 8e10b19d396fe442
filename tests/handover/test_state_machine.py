"""Both state machines of a hand-over, with messages and failures in any order.

One of the two processes serves at any time, whatever fails.
"""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakbridge.handover.actions import (
    ApplyCommand,
    ApplyEndpointList,
    ApplyRequestIds,
    BuildNode,
    Disconnect,
    DrainToSuccessor,
    ReserveForPredecessor,
    ResumeServing,
    Send,
    SendWelcome,
    StartServing,
)
from oakbridge.handover.messages import (
    Decline,
    EndpointListUpdate,
    Hello,
    Ready,
    RelayedCommand,
    RemainingLoad,
    RequestIdUpdate,
    TakeOver,
    Welcome,
)
from oakbridge.handover.state_machine import (
    PredecessorState,
    PredecessorStateMachine,
    SuccessorState,
    SuccessorStateMachine,
)

WELCOME = Welcome(configuration={}, endpoint_list={}, offline_servers={}, is_draining=False)


def test_hand_over_without_failures():
    predecessor, successor = PredecessorStateMachine("n"), SuccessorStateMachine("n")
    [hello] = successor.connected()
    assert hello == Send(Hello("n", shares_lists=True, shares_request_ids=True))
    assert predecessor.receive(hello.message) == [SendWelcome()]
    assert successor.receive(WELCOME) == [BuildNode(WELCOME)]
    assert successor.node_built() == [Send(Ready())]
    assert predecessor.receive(Ready()) == [DrainToSuccessor()]
    assert successor.receive(TakeOver({"a": 1})) == [StartServing(TakeOver({"a": 1}))]
    load = RemainingLoad(attempts=2, connections=9)
    assert successor.receive(load) == [ReserveForPredecessor(load)]
    command = RelayedCommand("OFFLINE", "s")
    assert predecessor.receive(command) == successor.receive(command) == [ApplyCommand(command)]
    # The predecessor is not shutting down, so it serves again.
    assert predecessor.disconnected()[-1] == ResumeServing()
    assert predecessor.state == PredecessorState.SERVING


@pytest.mark.parametrize("predecessor_shares", [True, None])
@pytest.mark.parametrize("successor_shares", [True, None])
def test_endpoint_lists_are_relayed_if_release_of_other_process_accepts_them(
    predecessor_shares, successor_shares
):
    """A list that discovery sent to one process counts as sent to the node."""
    update = EndpointListUpdate({"index": 4}, 0)
    predecessor, successor = PredecessorStateMachine("n"), SuccessorStateMachine("n")
    successor.connected()
    predecessor.receive(Hello("n", shares_lists=successor_shares))
    successor.receive(replace(WELCOME, shares_lists=predecessor_shares))
    successor.node_built()
    assert not predecessor.relays_lists
    assert not successor.relays_lists
    predecessor.receive(Ready())
    successor.receive(TakeOver({}))
    assert (predecessor.relays_lists, successor.relays_lists) == (
        bool(successor_shares),
        bool(predecessor_shares),
    )
    if predecessor.relays_lists and successor.relays_lists:
        assert (
            predecessor.receive(update) == successor.receive(update) == [ApplyEndpointList(update)]
        )
    predecessor.disconnected()
    successor.disconnected()
    assert not predecessor.relays_lists
    assert not successor.relays_lists


@pytest.mark.parametrize("predecessor_shares", [True, None])
@pytest.mark.parametrize("successor_shares", [True, None])
def test_request_ids_are_relayed_if_release_of_other_process_accepts_them(
    predecessor_shares, successor_shares
):
    """An earlier release would break the hand-over off at a message that it does not know."""
    update = RequestIdUpdate(["a"], [], [], {})
    predecessor, successor = PredecessorStateMachine("n"), SuccessorStateMachine("n")
    successor.connected()
    predecessor.receive(Hello("n", shares_request_ids=successor_shares))
    successor.receive(replace(WELCOME, shares_request_ids=predecessor_shares))
    assert not (predecessor.relays_request_ids)
    assert not (successor.relays_request_ids)
    successor.node_built()
    predecessor.receive(Ready())
    assert predecessor.relays_request_ids == bool(successor_shares)
    assert successor.relays_request_ids == bool(predecessor_shares)
    if predecessor_shares:  # the first ids come before TakeOver
        assert successor.receive(update) == [ApplyRequestIds(update)]
    successor.receive(TakeOver({}))
    if predecessor.relays_request_ids:
        assert predecessor.receive(update) == [ApplyRequestIds(update)]
    predecessor.disconnected()
    successor.disconnected()
    assert not (predecessor.relays_request_ids)
    assert not (successor.relays_request_ids)


def test_wrong_name_second_successor_and_shutdown_are_declined():
    predecessor = PredecessorStateMachine("n")
    assert predecessor.receive(Hello("m")) == [Send(Decline("this is n")), Disconnect()]
    assert predecessor.state == PredecessorState.SERVING
    predecessor.receive(Hello("n"))
    second_reply = predecessor.receive(Hello("n"))
    assert second_reply == [Send(Decline("another process takes over")), Disconnect()]
    exiting = PredecessorStateMachine("n")
    exiting.begin_shutdown()
    assert exiting.receive(Hello("n")) == [Send(Decline("ends")), Disconnect()]


def test_unexpected_message_is_declined_with_its_kind_as_reason():
    predecessor = PredecessorStateMachine("n")
    assert predecessor.receive(TakeOver({})) == [
        Send(Decline("over is not expected now")),
        Disconnect(),
    ]


def test_successor_that_fails_before_it_is_ready_has_no_effect():
    predecessor = PredecessorStateMachine("n")
    predecessor.receive(Hello("n"))
    assert predecessor.disconnected() == [Disconnect()]
    assert predecessor.receive(Hello("n")) == [SendWelcome()]


def test_predecessor_that_shuts_down_does_not_resume_serving():
    predecessor = PredecessorStateMachine("n")
    predecessor.receive(Hello("n"))
    predecessor.receive(Ready())
    predecessor.begin_shutdown()
    assert predecessor.disconnected() == [Disconnect()]


MESSAGES = st.sampled_from(
    [
        Hello("n"),
        WELCOME,
        Ready(),
        Decline(""),
        TakeOver({}),
        RemainingLoad(attempts=1, connections=1),
        RelayedCommand("JOIN", ""),
        EndpointListUpdate({}, None),
        RequestIdUpdate([], [], [], {}),
    ]
)
SUCCESSOR_EVENTS = st.sampled_from(["timed_out", "disconnected", "node_built"])
PREDECESSOR_EVENTS = st.sampled_from(["disconnected", "begin_shutdown"])


@given(st.lists(st.one_of(MESSAGES, SUCCESSOR_EVENTS), max_size=12))
def test_successor_builds_once_and_begins_to_serve_once_after_any_events(events):
    successor, actions = SuccessorStateMachine("n"), []
    successor.connected()
    for event in events:
        if not isinstance(event, str):
            actions += successor.receive(event) if successor.has_predecessor else []
        elif event == "node_built":
            actions += successor.node_built() if successor.state == SuccessorState.BUILDING else []
        else:
            actions += getattr(successor, event)()
    actions += successor.timed_out()
    if successor.state == SuccessorState.BUILDING:
        actions += successor.node_built()
    actions += successor.timed_out()
    assert successor.state == SuccessorState.SERVING
    steps = [type(action) for action in actions if isinstance(action, BuildNode | StartServing)]
    assert steps == [BuildNode, StartServing]


@given(st.lists(st.one_of(MESSAGES, PREDECESSOR_EVENTS), max_size=12))
def test_predecessor_hands_over_only_to_successor_that_said_hello_and_is_ready(events):
    predecessor, has_successor, is_handed_over = PredecessorStateMachine("n"), False, False
    for event in events:
        actions = []
        if event == "begin_shutdown":
            predecessor.begin_shutdown()
        elif event == "disconnected":
            actions = predecessor.disconnected()
        else:
            actions = predecessor.receive(event)
        if DrainToSuccessor() in actions:
            assert has_successor
            assert event == Ready()
            is_handed_over = True
        if ResumeServing() in actions:
            assert is_handed_over
            assert not predecessor.is_shutting_down
            is_handed_over = False
        has_successor = predecessor.state != PredecessorState.SERVING
        is_handed_over = is_handed_over and predecessor.state == PredecessorState.DRAINING
        assert (predecessor.state == PredecessorState.DRAINING) == is_handed_over
