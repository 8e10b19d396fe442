"""Both sides together, with every message lost, late or cut off: one of them serves, always, and one at a time."""

from hypothesis import given
from hypothesis import strategies as st

from oakbridge.handover import state_machine
from oakbridge.handover.messages import CALL, DECLINE, HELLO, OVER, READY, STILL, WELCOME, Message
from oakbridge.handover.state_machine import (
    ApplyCommand,
    BuildNode,
    DrainToSuccessor,
    PredecessorState,
    PredecessorStateMachine,
    ResumeServing,
    Send,
    StartServing,
    SuccessorState,
    SuccessorStateMachine,
)

WELCOMED = {"file": {}, "known": {}, "outages": {}, "draining": False}


def test_ordinary_course():
    old, new = PredecessorStateMachine("n"), SuccessorStateMachine("n")
    [hello] = new.connected()
    assert hello == Send(HELLO, {"name": "n"})
    assert old.receive(Message(HELLO, hello.says)) == [Send(WELCOME)]
    assert new.receive(Message(WELCOME, WELCOMED)) == [BuildNode(WELCOMED)]
    assert new.node_built() == [Send(READY)]
    assert old.receive(Message(READY)) == [DrainToSuccessor()]
    assert new.receive(Message(OVER, {"learned": {"a": 1}})) == [StartServing({"a": 1})]
    assert new.receive(Message(STILL, {"out": 2, "held": 9})) == [state_machine.ReserveForPredecessor(2, 9)]
    call = Message(CALL, {"word": "OFFLINE", "server": "s"})
    assert old.receive(call) == new.receive(call) == [ApplyCommand("OFFLINE", "s")]
    assert old.disconnected()[-1] == ResumeServing()  # it was not told to end: it is the node again
    assert old.state == PredecessorState.SERVING


def test_another_name_a_third_process_and_one_that_ends_are_declined():
    old = PredecessorStateMachine("n")
    assert old.receive(Message(HELLO, {"name": "m"}))[0].kind == DECLINE
    assert old.state == PredecessorState.SERVING
    old.receive(Message(HELLO, {"name": "n"}))
    assert old.receive(Message(HELLO, {"name": "n"}))[0].kind == DECLINE
    shutting_down = PredecessorStateMachine("n")
    shutting_down.begin_shutdown()
    assert shutting_down.receive(Message(HELLO, {"name": "n"}))[0] == Send(DECLINE, {"why": "ends"})


def test_a_process_that_fails_before_its_yes_changes_nothing():
    old = PredecessorStateMachine("n")
    old.receive(Message(HELLO, {"name": "n"}))
    assert old.disconnected() == [state_machine.Disconnect()]
    assert old.receive(Message(HELLO, {"name": "n"})) == [Send(WELCOME)]


def test_one_that_was_told_to_end_takes_nothing_back():
    old = PredecessorStateMachine("n")
    old.receive(Message(HELLO, {"name": "n"}))
    old.receive(Message(READY))
    old.begin_shutdown()
    assert old.disconnected() == [state_machine.Disconnect()]


MESSAGES = st.sampled_from([
    Message(HELLO, {"name": "n"}), Message(WELCOME, WELCOMED), Message(READY), Message(DECLINE, {"why": ""}),
    Message(OVER, {"learned": {}}), Message(STILL, {"out": 1, "held": 1}),
    Message(CALL, {"word": "JOIN", "server": ""}),
])  # fmt: skip


@given(
    st.lists(st.one_of(MESSAGES, st.sampled_from(["timed_out", "disconnected", "node_built"])), max_size=12)
)
def test_the_new_process_builds_once_serves_once_and_never_ends(course):
    new, actions = SuccessorStateMachine("n"), []
    new.connected()
    for what in course:
        if isinstance(what, Message):
            actions += new.receive(what) if new.is_connected else []
        elif what == "node_built":
            actions += new.node_built() if new.state == SuccessorState.BUILDING else []
        else:
            actions += getattr(new, what)()
    actions += new.timed_out()
    if new.state == SuccessorState.BUILDING:
        actions += new.node_built()
    actions += new.timed_out()
    assert new.state == SuccessorState.SERVING
    assert [type(s) for s in actions if isinstance(s, BuildNode | StartServing)] == [BuildNode, StartServing]


@given(st.lists(st.one_of(MESSAGES, st.sampled_from(["disconnected", "end"])), max_size=12))
def test_the_old_process_hands_over_only_to_one_that_asked_and_is_ready(course):
    old, asked, over = PredecessorStateMachine("n"), False, False
    for what in course:
        actions = []
        if what == "end":
            old.begin_shutdown()
        elif what == "disconnected":
            actions = old.disconnected()
        else:
            actions = old.receive(what)
        if DrainToSuccessor() in actions:
            assert asked
            assert what.kind == READY
            over = True
        if ResumeServing() in actions:
            assert over
            assert not old.shutting_down
            over = False
        asked = old.state != PredecessorState.SERVING
        over = over and old.state == PredecessorState.DRAINING
        assert (old.state == PredecessorState.DRAINING) == over
