"""Properties of the transition table of a client connection, checked for all states and events."""

import contextlib
import itertools

import pytest

from oakbridge.node.connection_state import (
    CLOSING_STATES,
    ConnectionEvent,
    ConnectionState,
    InvalidTransitionError,
    next_state,
)

ALL_PAIRS = list(itertools.product(ConnectionState, ConnectionEvent))


def state_after(*events: ConnectionEvent) -> ConnectionState:
    state = ConnectionState.IDLE
    for event in events:
        state = next_state(state, event)
    return state


def successors(state: ConnectionState) -> set[ConnectionState]:
    states = set()
    for event in ConnectionEvent:
        with contextlib.suppress(InvalidTransitionError):
            states.add(next_state(state, event))
    return states


@pytest.mark.parametrize("state", ConnectionState)
def test_a_connection_can_be_closed_in_every_state(state):
    assert next_state(state, ConnectionEvent.CONNECTION_CLOSED) is ConnectionState.CLOSED


@pytest.mark.parametrize("state", CLOSING_STATES)
def test_closing_connection_never_writes_again(state):
    assert successors(state) <= set(CLOSING_STATES)


def test_every_state_is_reachable():
    reached, new = set(), {ConnectionState.IDLE}
    while new:
        reached |= new
        new = set().union(*(successors(state) for state in new)) - reached
    assert reached == set(ConnectionState)


def test_a_request_is_dispatched_only_while_none_is_in_flight():
    for state, event in ALL_PAIRS:
        if event is ConnectionEvent.REQUEST_DISPATCHED and state is not ConnectionState.IDLE:
            with pytest.raises(InvalidTransitionError, match=state.value) as raised:
                next_state(state, event)
            assert (raised.value.state, raised.value.event) == (state, event)


def test_response_is_started_once_and_leaves_an_idle_connection():
    started = (ConnectionEvent.REQUEST_DISPATCHED, ConnectionEvent.RESPONSE_STARTED)
    assert state_after(*started) is ConnectionState.STREAMING
    assert state_after(*started, ConnectionEvent.RESPONSE_COMPLETE) is ConnectionState.IDLE
    with pytest.raises(InvalidTransitionError):
        state_after(*started, ConnectionEvent.RESPONSE_STARTED)


def test_response_that_completes_after_the_write_side_was_closed_changes_nothing():
    closed = (ConnectionEvent.REQUEST_DISPATCHED, ConnectionEvent.WRITE_SIDE_CLOSED)
    assert state_after(*closed, ConnectionEvent.RESPONSE_COMPLETE) is ConnectionState.LINGERING
