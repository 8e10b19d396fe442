"""The table of a connection's states: what the rest of the node relies on, over all of it."""

import itertools

import pytest

from oakbridge.node.connection_state import (
    ENDED_STATES,
    ConnectionEvent,
    ConnectionState,
    InvalidTransitionError,
    next_state,
)

ALL_PAIRS = list(itertools.product(ConnectionState, ConnectionEvent))


def after(*events: ConnectionEvent) -> ConnectionState:
    state = ConnectionState.IDLE
    for event in events:
        state = next_state(state, event)
    return state


def successors(state: ConnectionState) -> set[ConnectionState]:
    found = set()
    for event in ConnectionEvent:
        try:
            found.add(next_state(state, event))
        except InvalidTransitionError as e:
            assert (e.state, e.event) == (state, event)
    return found


@pytest.mark.parametrize("state", ConnectionState)
def test_a_connection_can_be_closed_in_every_state(state):
    assert next_state(state, ConnectionEvent.CONNECTION_CLOSED) is ConnectionState.CLOSED


@pytest.mark.parametrize("state", ENDED_STATES)
def test_an_ended_connection_never_writes_again(state):
    assert successors(state) <= set(ENDED_STATES)


def test_every_state_is_reached():
    reached, new = set(), {ConnectionState.IDLE}
    while new:
        reached |= new
        new = set().union(*(successors(state) for state in new)) - reached
    assert reached == set(ConnectionState)


def test_a_request_is_dispatched_only_while_none_is_in_flight():
    for state, event in ALL_PAIRS:
        if event is ConnectionEvent.REQUEST_DISPATCHED and state is not ConnectionState.IDLE:
            with pytest.raises(InvalidTransitionError, match=state.value):
                next_state(state, event)


def test_a_response_is_started_once_and_ends_with_an_idle_connection():
    started = (ConnectionEvent.REQUEST_DISPATCHED, ConnectionEvent.RESPONSE_STARTED)
    assert after(*started) is ConnectionState.STREAMING
    assert after(*started, ConnectionEvent.RESPONSE_COMPLETE) is ConnectionState.IDLE
    with pytest.raises(InvalidTransitionError):
        after(*started, ConnectionEvent.RESPONSE_STARTED)


def test_a_response_that_ends_after_the_connection_changes_nothing():
    ended = (ConnectionEvent.REQUEST_DISPATCHED, ConnectionEvent.SENDING_ENDED)
    assert after(*ended, ConnectionEvent.RESPONSE_COMPLETE) is ConnectionState.LINGERING
