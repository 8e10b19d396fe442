"""A drain, its end, a hand-over and the process's end, in every order: one state machine."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oakbridge.node.lifecycle import CHANGEOVER, LAST_ANSWER, LONGEST, Lifecycle, Phase


def test_lame_duck_goes_on_for_the_changeover_then_clears_and_a_join_undoes_it():
    life = Lifecycle()
    assert (life.ready, life.clearing(0), life.open(0)) == (True, False, True)
    assert life.drain(1000)
    assert not life.drain(2000)
    assert not life.ready
    assert not life.clearing(1000 + CHANGEOVER - 1)
    assert life.clearing(1000 + CHANGEOVER)
    assert life.open(10**9)
    assert life.next_step(1000) == 1000 + CHANGEOVER
    assert life.join(3000)
    assert not life.join(3000)
    assert life.ready
    assert not life.clearing(10**9)


@pytest.mark.parametrize("drained", [False, True])
@pytest.mark.parametrize("over", [False, True])
def test_end_closes_the_door_after_the_changeover_or_at_once_where_another_has_it(drained, over):
    life = Lifecycle()
    if drained:
        life.drain(0)
    if over:
        life.hand_over()
    life.end(1_000_000, 6_000_000)
    assert life.open(1_000_000) != over
    assert not life.open(1_000_000 + CHANGEOVER)
    assert life.last_answer == 1_000_000 + LONGEST + LAST_ANSWER
    assert life.ready == (over and not drained)
    assert life.clearing(1_000_000) == drained


def test_hand_over_leaves_the_node_as_ready_as_it_was_and_can_be_taken_back():
    life = Lifecycle()
    life.hand_over()
    assert life.ready
    assert not life.open(0)
    life.drain(0)
    assert not life.ready
    life.join(0)
    life.take_back()
    assert life.ready
    assert life.open(0)


@given(st.lists(st.sampled_from(["drain", "join", "end", "hand_over", "take_back"]), max_size=12))
def test_no_course_of_calls_reopens_a_process_that_ends_or_makes_a_drained_node_ready(course):
    life = Lifecycle()
    for now, what in enumerate(course):
        ended = life.phase == Phase.ENDING
        if what == "end":
            life.end(now, 100)
        elif what in ("drain", "join"):
            getattr(life, what)(now)
        else:
            getattr(life, what)()
        assert not (life.draining and life.ready)
        if ended:
            assert life.phase == Phase.ENDING
            assert not life.open(now + CHANGEOVER)
        elif life.phase == Phase.SERVING:
            assert life.next_step(now) is None
        assert (life.phase == Phase.LAME_DUCK) <= life.draining
