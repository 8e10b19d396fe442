"""The states of a client's connection as to its responses, and the table of transitions.

What is *received* has a state of its own (:class:`oakbridge.node.request_parser.RequestPhase`): a
client may send its next request while the response to an earlier one is still being written.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """What is being done about responses on one connection."""

    __hash__ = object.__hash__  # members are singletons; the hash of Enum is slow

    IDLE = "idle"  # no request is in flight
    IN_FLIGHT = "in flight"  # one is; nothing of its response has been written
    STREAMING = "streaming"  # its response is being forwarded while it is received
    LINGERING = "lingering"  # the node has ended its side; what the client still sends is discarded
    CLOSED = "closed"  # aborted or lost


class ConnectionEvent(Enum):
    """What moves a connection from one state to another."""

    __hash__ = object.__hash__  # members are singletons; the hash of Enum is slow

    REQUEST_DISPATCHED = "request dispatched"
    REQUEST_CANCELLED = "request cancelled"  # its body never became complete
    RESPONSE_STARTED = "response started"
    RESPONSE_COMPLETE = "response complete"
    SENDING_ENDED = "sending ended"  # by the node
    CONNECTION_CLOSED = "connection closed"  # by either side


# A response can still become complete, or its request be cancelled, after the connection has ended:
# nothing is written then, and the state stays.
_TRANSITIONS = {
    ConnectionState.IDLE: {
        ConnectionEvent.REQUEST_DISPATCHED: ConnectionState.IN_FLIGHT,
        ConnectionEvent.SENDING_ENDED: ConnectionState.LINGERING,
        ConnectionEvent.CONNECTION_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.IN_FLIGHT: {
        ConnectionEvent.REQUEST_CANCELLED: ConnectionState.IDLE,
        ConnectionEvent.RESPONSE_STARTED: ConnectionState.STREAMING,
        ConnectionEvent.RESPONSE_COMPLETE: ConnectionState.IDLE,
        ConnectionEvent.SENDING_ENDED: ConnectionState.LINGERING,
        ConnectionEvent.CONNECTION_CLOSED: ConnectionState.CLOSED,
    },
    ConnectionState.STREAMING: {
        ConnectionEvent.RESPONSE_COMPLETE: ConnectionState.IDLE,
        ConnectionEvent.SENDING_ENDED: ConnectionState.LINGERING,
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
ENDED_STATES = (ConnectionState.LINGERING, ConnectionState.CLOSED)


class InvalidTransitionError(Exception):
    """An event that can't happen in the state that a connection is in."""

    def __init__(self, state: ConnectionState, event: ConnectionEvent) -> None:
        super().__init__(f"a connection that is {state.value}: {event.value}")
        self.state = state
        self.event = event


def next_state(state: ConnectionState, event: ConnectionEvent) -> ConnectionState:
    """Return the state after an event; raise :class:`InvalidTransitionError` if it can't happen."""
    try:
        return _TRANSITIONS[state][event]
    except KeyError:
        raise InvalidTransitionError(state, event) from None
