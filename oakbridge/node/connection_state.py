"""The response states of a client's connection, and the table of their transitions.

Receiving requests has a state of its own (:class:`oakbridge.node.request_parser.RequestPhase`): a
client may send its next request while the response to an earlier one is still being written.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """The response state of one connection."""

    __hash__ = object.__hash__  # members are singletons; the hash of Enum is slow

    IDLE = "idle"  # no request is in flight
    IN_FLIGHT = "in flight"  # a request is in flight; no byte of its response has been written
    STREAMING = "streaming"  # the response is forwarded while it is received
    LINGERING = "lingering"  # the node has closed its write side, and discards what it receives
    CLOSED = "closed"  # aborted, or closed by the client


class ConnectionEvent(Enum):
    """An event that causes a transition of a connection's state."""

    __hash__ = object.__hash__  # members are singletons; the hash of Enum is slow

    REQUEST_DISPATCHED = "request dispatched"
    REQUEST_CANCELLED = "request cancelled"  # its body was not received completely
    RESPONSE_STARTED = "response started"
    RESPONSE_COMPLETE = "response complete"
    WRITE_SIDE_CLOSED = "write side closed"  # by the node
    CONNECTION_CLOSED = "connection closed"  # by either side


# A response may become complete, or its request be cancelled, after the connection or its write
# side was closed: nothing is written then, and the state does not change.
_TRANSITIONS = {
    ConnectionState.IDLE: {
        ConnectionEvent.REQUEST_DISPATCHED: ConnectionState.IN_FLIGHT,
        ConnectionEvent.WRITE_SIDE_CLOSED: ConnectionState.LINGERING,
        ConnectionEvent.CONNECTION_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.IN_FLIGHT: {
        ConnectionEvent.REQUEST_CANCELLED: ConnectionState.IDLE,
        ConnectionEvent.RESPONSE_STARTED: ConnectionState.STREAMING,
        ConnectionEvent.RESPONSE_COMPLETE: ConnectionState.IDLE,
        ConnectionEvent.WRITE_SIDE_CLOSED: ConnectionState.LINGERING,
        ConnectionEvent.CONNECTION_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.STREAMING: {
        ConnectionEvent.RESPONSE_COMPLETE: ConnectionState.IDLE,
        ConnectionEvent.WRITE_SIDE_CLOSED: ConnectionState.LINGERING,
        ConnectionEvent.CONNECTION_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.LINGERING: {
        ConnectionEvent.REQUEST_CANCELLED: ConnectionState.LINGERING,
        ConnectionEvent.RESPONSE_COMPLETE: ConnectionState.LINGERING,
        ConnectionEvent.CONNECTION_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.CLOSED: {
        ConnectionEvent.REQUEST_CANCELLED: ConnectionState.CLOSED,
        ConnectionEvent.RESPONSE_COMPLETE: ConnectionState.CLOSED,
        ConnectionEvent.CONNECTION_CLOSED: ConnectionState.CLOSED,
    },
}

# States in which the node writes nothing more.
CLOSING_STATES = (ConnectionState.LINGERING, ConnectionState.CLOSED)


class InvalidTransitionError(Exception):
    """An event is not allowed in the current state of a connection."""

    def __init__(self, state: ConnectionState, event: ConnectionEvent) -> None:
        super().__init__(f"connection state {state.value}: unexpected event {event.value}")
        self.state = state
        self.event = event


def next_state(state: ConnectionState, event: ConnectionEvent) -> ConnectionState:
    """Return the state after an event.  Raises :class:`InvalidTransitionError`."""
    try:
        return _TRANSITIONS[state][event]
    except KeyError:
        raise InvalidTransitionError(state, event) from None
