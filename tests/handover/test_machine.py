"""Both sides together, with every message lost, late or cut off: one of them serves, always, and one at a time."""

from hypothesis import given
from hypothesis import strategies as st

from oakbridge.handover import machine
from oakbridge.handover.machine import (
    Apply,
    Build,
    HandOver,
    New,
    Old,
    Predecessor,
    Say,
    Serve,
    Successor,
    TakeBack,
)
from oakbridge.handover.message import CALL, DECLINE, HELLO, OVER, READY, STILL, WELCOME, Message

WELCOMED = {"file": {}, "known": {}, "outages": {}, "draining": False}


def test_ordinary_course():
    old, new = Predecessor("n"), Successor("n")
    [hello] = new.begin()
    assert hello == Say(HELLO, {"name": "n"})
    assert old.heard(Message(HELLO, hello.says)) == [Say(WELCOME)]
    assert new.heard(Message(WELCOME, WELCOMED)) == [Build(WELCOMED)]
    assert new.built() == [Say(READY)]
    assert old.heard(Message(READY)) == [HandOver()]
    assert new.heard(Message(OVER, {"learned": {"a": 1}})) == [Serve({"a": 1})]
    assert new.heard(Message(STILL, {"out": 2, "held": 9})) == [machine.Share(2, 9)]
    call = Message(CALL, {"word": "OFFLINE", "server": "s"})
    assert old.heard(call) == new.heard(call) == [Apply("OFFLINE", "s")]
    assert old.lost()[-1] == TakeBack()  # it was not told to end: it is the node again
    assert old.state == Old.ALONE


def test_another_name_a_third_process_and_one_that_ends_are_declined():
    old = Predecessor("n")
    assert old.heard(Message(HELLO, {"name": "m"}))[0].kind == DECLINE
    assert old.state == Old.ALONE
    old.heard(Message(HELLO, {"name": "n"}))
    assert old.heard(Message(HELLO, {"name": "n"}))[0].kind == DECLINE
    ending = Predecessor("n")
    ending.told_to_end()
    assert ending.heard(Message(HELLO, {"name": "n"}))[0] == Say(DECLINE, {"why": "ends"})


def test_a_process_that_fails_before_its_yes_changes_nothing():
    old = Predecessor("n")
    old.heard(Message(HELLO, {"name": "n"}))
    assert old.lost() == [machine.Part()]
    assert old.heard(Message(HELLO, {"name": "n"})) == [Say(WELCOME)]


def test_one_that_was_told_to_end_takes_nothing_back():
    old = Predecessor("n")
    old.heard(Message(HELLO, {"name": "n"}))
    old.heard(Message(READY))
    old.told_to_end()
    assert old.lost() == [machine.Part()]


MESSAGES = st.sampled_from([
    Message(HELLO, {"name": "n"}), Message(WELCOME, WELCOMED), Message(READY), Message(DECLINE, {"why": ""}),
    Message(OVER, {"learned": {}}), Message(STILL, {"out": 1, "held": 1}),
    Message(CALL, {"word": "JOIN", "server": ""}),
])  # fmt: skip


@given(st.lists(st.one_of(MESSAGES, st.sampled_from(["late", "lost", "built"])), max_size=12))
def test_the_new_process_builds_once_serves_once_and_never_ends(course):
    new, steps = Successor("n"), []
    new.begin()
    for what in course:
        if isinstance(what, Message):
            steps += new.heard(what) if new.linked else []
        elif what == "built":
            steps += new.built() if new.state == New.BUILDING else []
        else:
            steps += getattr(new, what)()
    steps += new.late()
    if new.state == New.BUILDING:
        steps += new.built()
    steps += new.late()
    assert new.state == New.SERVING
    assert [type(s) for s in steps if isinstance(s, Build | Serve)] == [Build, Serve]


@given(st.lists(st.one_of(MESSAGES, st.sampled_from(["lost", "end"])), max_size=12))
def test_the_old_process_hands_over_only_to_one_that_asked_and_is_ready(course):
    old, asked, over = Predecessor("n"), False, False
    for what in course:
        steps = []
        if what == "end":
            old.told_to_end()
        elif what == "lost":
            steps = old.lost()
        else:
            steps = old.heard(what)
        if HandOver() in steps:
            assert asked
            assert what.kind == READY
            over = True
        if TakeBack() in steps:
            assert over
            assert not old.ending
            over = False
        asked = old.state != Old.ALONE
        over = over and old.state == Old.OVER
        assert (old.state == Old.OVER) == over
