"""Both sides, with every message lost, late or cut off: one of them serves, one at a time."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakbridge.handover.actions import (
    ApplyCommand,
    ApplyEndpointList,
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
    TakeOver,
    Welcome,
)
from oakbridge.handover.state_machine import (
    PredecessorState,
    PredecessorStateMachine,
    SuccessorState,
    SuccessorStateMachine,
)

WELCOME = Welcome(configuration={}, endpoint_list={}, outages={}, is_draining=False)


def test_ordinary_course():
    old, new = PredecessorStateMachine("n"), SuccessorStateMachine("n")
    [hello] = new.connected()
    assert hello == Send(Hello("n", shares_lists=True))
    assert old.receive(hello.message) == [SendWelcome()]
    assert new.receive(WELCOME) == [BuildNode(WELCOME)]
    assert new.node_built() == [Send(Ready())]
    assert old.receive(Ready()) == [DrainToSuccessor()]
    assert new.receive(TakeOver({"a": 1})) == [StartServing(TakeOver({"a": 1}))]
    load = RemainingLoad(attempts=2, connections=9)
    assert new.receive(load) == [ReserveForPredecessor(load)]
    command = RelayedCommand("OFFLINE", "s")
    assert old.receive(command) == new.receive(command) == [ApplyCommand(command)]
    assert old.disconnected()[-1] == ResumeServing()  # it was not told to end: it is the node again
    assert old.state == PredecessorState.SERVING


@pytest.mark.parametrize("old_shares", [True, None])
@pytest.mark.parametrize("new_shares", [True, None])
def test_lists_go_to_the_other_process_if_its_release_takes_them(old_shares, new_shares):
    """Both are one node: what either was told counts as told to it."""
    update = EndpointListUpdate({"index": 4}, 0)
    old, new = PredecessorStateMachine("n"), SuccessorStateMachine("n")
    new.connected()
    old.receive(Hello("n", shares_lists=new_shares))
    new.receive(replace(WELCOME, shares_lists=old_shares))
    new.node_built()
    assert not old.relays_lists
    assert not new.relays_lists
    old.receive(Ready())
    new.receive(TakeOver({}))
    assert (old.relays_lists, new.relays_lists) == (bool(new_shares), bool(old_shares))
    if old.relays_lists and new.relays_lists:
        assert old.receive(update) == new.receive(update) == [ApplyEndpointList(update)]
    old.disconnected()
    new.disconnected()
    assert not old.relays_lists
    assert not new.relays_lists


def test_another_name_a_third_process_and_one_that_ends_are_declined():
    old = PredecessorStateMachine("n")
    assert old.receive(Hello("m")) == [Send(Decline("this is n")), Disconnect()]
    assert old.state == PredecessorState.SERVING
    old.receive(Hello("n"))
    third = old.receive(Hello("n"))
    assert third == [Send(Decline("another process takes over")), Disconnect()]
    ending = PredecessorStateMachine("n")
    ending.begin_shutdown()
    assert ending.receive(Hello("n")) == [Send(Decline("ends")), Disconnect()]


def test_a_message_out_of_turn_is_declined_by_its_name_on_the_wire():
    old = PredecessorStateMachine("n")
    assert old.receive(TakeOver({})) == [Send(Decline("over is not expected now")), Disconnect()]


def test_a_process_that_fails_before_its_yes_changes_nothing():
    old = PredecessorStateMachine("n")
    old.receive(Hello("n"))
    assert old.disconnected() == [Disconnect()]
    assert old.receive(Hello("n")) == [SendWelcome()]


def test_one_that_was_told_to_end_takes_nothing_back():
    old = PredecessorStateMachine("n")
    old.receive(Hello("n"))
    old.receive(Ready())
    old.begin_shutdown()
    assert old.disconnected() == [Disconnect()]


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
    ]
)
SUCCESSOR_EVENTS = st.sampled_from(["timed_out", "disconnected", "node_built"])
PREDECESSOR_EVENTS = st.sampled_from(["disconnected", "begin_shutdown"])


@given(st.lists(st.one_of(MESSAGES, SUCCESSOR_EVENTS), max_size=12))
def test_the_successor_builds_once_serves_once_and_never_ends(course):
    new, actions = SuccessorStateMachine("n"), []
    new.connected()
    for event in course:
        if not isinstance(event, str):
            actions += new.receive(event) if new.has_predecessor else []
        elif event == "node_built":
            actions += new.node_built() if new.state == SuccessorState.BUILDING else []
        else:
            actions += getattr(new, event)()
    actions += new.timed_out()
    if new.state == SuccessorState.BUILDING:
        actions += new.node_built()
    actions += new.timed_out()
    assert new.state == SuccessorState.SERVING
    steps = [type(action) for action in actions if isinstance(action, BuildNode | StartServing)]
    assert steps == [BuildNode, StartServing]


@given(st.lists(st.one_of(MESSAGES, PREDECESSOR_EVENTS), max_size=12))
def test_the_predecessor_hands_over_only_to_one_that_asked_and_is_ready(course):
    old, asked, over = PredecessorStateMachine("n"), False, False
    for event in course:
        actions = []
        if event == "begin_shutdown":
            old.begin_shutdown()
        elif event == "disconnected":
            actions = old.disconnected()
        else:
            actions = old.receive(event)
        if DrainToSuccessor() in actions:
            assert asked
            assert event == Ready()
            over = True
        if ResumeServing() in actions:
            assert over
            assert not old.is_shutting_down
            over = False
        asked = old.state != PredecessorState.SERVING
        over = over and old.state == PredecessorState.DRAINING
        assert (old.state == PredecessorState.DRAINING) == over
