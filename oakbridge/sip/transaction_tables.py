"""State tables of the four transaction state machines.

The tables follow RFC 3261, section 17, with the Accepted state of RFC 6026. Each table maps a state
and an event to the next state and the steps to take. Timers are named A to M as in the RFCs.

The keys of the tables are of StrEnum, as hashing its members costs less than hashing Enum's.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple


class TransactionType(StrEnum):
    """The four state machines."""

    INVITE_CLIENT = "invite client"
    NON_INVITE_CLIENT = "non-invite client"
    INVITE_SERVER = "invite server"
    NON_INVITE_SERVER = "non-invite server"


class State(StrEnum):
    """States of a transaction."""

    CALLING = "calling"
    TRYING = "trying"
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    ACCEPTED = "accepted"
    TERMINATED = "terminated"


class Timer(StrEnum):
    """Timers of a transaction; Timer C, which the proxy runs, is not among them."""

    A = "A"
    B = "B"
    D = "D"
    E = "E"
    F = "F"
    G = "G"
    H = "H"
    I = "I"  # noqa: E741 - the RFC's name
    J = "J"
    K = "K"
    L = "L"
    M = "M"


class Event(StrEnum):
    """Events of a transaction; the event of a timer that fires has the timer's letter as value."""

    # A client transaction received a response.
    PROVISIONAL = "1xx"
    SUCCESS = "2xx"
    FAILURE = "300-699"
    # A server transaction received a retransmitted request, or the ACK.
    REQUEST = "request"
    ACK = "ack"
    # The user of a server transaction sends a response.
    SEND_PROVISIONAL = "send_1xx"
    SEND_SUCCESS = "send_2xx"
    SEND_FAILURE = "send_300-699"
    TRANSPORT_ERROR = "transport_error"
    TIMER_A = "A"
    TIMER_B = "B"
    TIMER_D = "D"
    TIMER_E = "E"
    TIMER_F = "F"
    TIMER_G = "G"
    TIMER_H = "H"
    TIMER_I = "I"
    TIMER_J = "J"
    TIMER_K = "K"
    TIMER_L = "L"
    TIMER_M = "M"


class Output(Enum):
    """What the owner of a transaction has to do."""

    RETRANSMIT = "retransmit"  # send the request, or the last response
    RESPOND = "respond"  # send the response of the event, which becomes the last response
    DELIVER = "deliver"  # pass the event's message to the transaction user
    SEND_ACK = "ack"  # acknowledge a final response other than 2xx (section 17.1.1.3)
    TIMEOUT = "timeout"  # report to the transaction user that no response, or no ACK, came
    TRANSPORT_ERROR = "transport_error"  # report to the transaction user that the transport failed


class TimerOperation(Enum):
    """Operations on a timer."""

    START = "start"
    STOP = "stop"
    DOUBLE = "double"  # start it with twice its last duration
    START_AT_T2 = "start at T2"


@dataclass(frozen=True, slots=True)
class TimerStep:
    """An operation on one timer of the transaction."""

    operation: TimerOperation
    timer: Timer


Step = Output | TimerStep


class Transition(NamedTuple):
    """The next state and the steps to take, in order."""

    state: State
    steps: tuple[Step, ...]


Table = Mapping[tuple[State, Event], Transition]


def _to(state: State, *steps: Step) -> Transition:
    return Transition(state, steps)


def _start(timer: Timer) -> TimerStep:
    return TimerStep(TimerOperation.START, timer)


def _stop(timer: Timer) -> TimerStep:
    return TimerStep(TimerOperation.STOP, timer)


def _double(timer: Timer) -> TimerStep:
    return TimerStep(TimerOperation.DOUBLE, timer)


_E_AT_T2 = TimerStep(TimerOperation.START_AT_T2, Timer.E)
_START_A = _start(Timer.A)
_START_B = _start(Timer.B)
_START_D = _start(Timer.D)
_START_E = _start(Timer.E)
_START_F = _start(Timer.F)
_START_G = _start(Timer.G)
_START_H = _start(Timer.H)
_START_I = _start(Timer.I)
_START_J = _start(Timer.J)
_START_K = _start(Timer.K)
_START_L = _start(Timer.L)
_START_M = _start(Timer.M)
_STOP_A = _stop(Timer.A)
_STOP_B = _stop(Timer.B)
_STOP_E = _stop(Timer.E)
_STOP_F = _stop(Timer.F)
_STOP_G = _stop(Timer.G)
_STOP_H = _stop(Timer.H)
_RETRANSMIT = Output.RETRANSMIT
_RESPOND = Output.RESPOND
_DELIVER = Output.DELIVER
_SEND_ACK = Output.SEND_ACK
_TIMEOUT = Output.TIMEOUT
_TRANSPORT_ERROR = Output.TRANSPORT_ERROR

# Figure 5, with RFC 6026 (7.2, 8.4): a 2xx leads to Accepted, where further 2xx are delivered.
_INVITE_CLIENT: Table = {
    (State.CALLING, Event.TIMER_A): _to(State.CALLING, _RETRANSMIT, _double(Timer.A)),
    (State.CALLING, Event.TIMER_B): _to(State.TERMINATED, _TIMEOUT),
    (State.CALLING, Event.TRANSPORT_ERROR): _to(State.TERMINATED, _TRANSPORT_ERROR),
    (State.CALLING, Event.PROVISIONAL): _to(State.PROCEEDING, _STOP_A, _STOP_B, _DELIVER),
    (State.CALLING, Event.SUCCESS): _to(State.ACCEPTED, _STOP_A, _STOP_B, _START_M, _DELIVER),
    (State.CALLING, Event.FAILURE): _to(
        State.COMPLETED,
        _STOP_A,
        _STOP_B,
        _START_D,
        _SEND_ACK,
        _DELIVER,
    ),
    (State.PROCEEDING, Event.PROVISIONAL): _to(State.PROCEEDING, _DELIVER),
    (State.PROCEEDING, Event.SUCCESS): _to(State.ACCEPTED, _START_M, _DELIVER),
    (State.PROCEEDING, Event.FAILURE): _to(State.COMPLETED, _START_D, _SEND_ACK, _DELIVER),
    (State.PROCEEDING, Event.TRANSPORT_ERROR): _to(State.TERMINATED, _TRANSPORT_ERROR),
    (State.ACCEPTED, Event.SUCCESS): _to(State.ACCEPTED, _DELIVER),
    (State.ACCEPTED, Event.TIMER_M): _to(State.TERMINATED),
    (State.COMPLETED, Event.FAILURE): _to(State.COMPLETED, _SEND_ACK),
    (State.COMPLETED, Event.TRANSPORT_ERROR): _to(State.TERMINATED, _TRANSPORT_ERROR),
    (State.COMPLETED, Event.TIMER_D): _to(State.TERMINATED),
}
# Figure 6.
_NON_INVITE_CLIENT: Table = {
    (State.TRYING, Event.TIMER_E): _to(State.TRYING, _RETRANSMIT, _double(Timer.E)),
    (State.TRYING, Event.TIMER_F): _to(State.TERMINATED, _STOP_E, _TIMEOUT),
    (State.TRYING, Event.TRANSPORT_ERROR): _to(State.TERMINATED, _TRANSPORT_ERROR),
    (State.TRYING, Event.PROVISIONAL): _to(State.PROCEEDING, _DELIVER),
    (State.TRYING, Event.SUCCESS): _to(State.COMPLETED, _STOP_E, _STOP_F, _START_K, _DELIVER),
    (State.TRYING, Event.FAILURE): _to(State.COMPLETED, _STOP_E, _STOP_F, _START_K, _DELIVER),
    (State.PROCEEDING, Event.TIMER_E): _to(State.PROCEEDING, _RETRANSMIT, _E_AT_T2),
    (State.PROCEEDING, Event.TIMER_F): _to(State.TERMINATED, _STOP_E, _TIMEOUT),
    (State.PROCEEDING, Event.TRANSPORT_ERROR): _to(State.TERMINATED, _TRANSPORT_ERROR),
    (State.PROCEEDING, Event.PROVISIONAL): _to(State.PROCEEDING, _DELIVER),
    (State.PROCEEDING, Event.SUCCESS): _to(State.COMPLETED, _STOP_E, _STOP_F, _START_K, _DELIVER),
    (State.PROCEEDING, Event.FAILURE): _to(State.COMPLETED, _STOP_E, _STOP_F, _START_K, _DELIVER),
    (State.COMPLETED, Event.TIMER_K): _to(State.TERMINATED),
}
# Figure 7, with RFC 6026 (7.1, 8.5 to 8.8): Accepted absorbs retransmissions. A transport error is
# reported but does not terminate the transaction, as the client may still retransmit the request.
_INVITE_SERVER: Table = {
    (State.PROCEEDING, Event.REQUEST): _to(State.PROCEEDING, _RETRANSMIT),
    (State.PROCEEDING, Event.SEND_PROVISIONAL): _to(State.PROCEEDING, _RESPOND),
    (State.PROCEEDING, Event.SEND_SUCCESS): _to(State.ACCEPTED, _RESPOND, _START_L),
    (State.PROCEEDING, Event.SEND_FAILURE): _to(State.COMPLETED, _RESPOND, _START_G, _START_H),
    (State.PROCEEDING, Event.TRANSPORT_ERROR): _to(State.PROCEEDING, _TRANSPORT_ERROR),
    (State.ACCEPTED, Event.REQUEST): _to(State.ACCEPTED),
    (State.ACCEPTED, Event.SEND_SUCCESS): _to(State.ACCEPTED, _RESPOND),
    (State.ACCEPTED, Event.ACK): _to(State.ACCEPTED, _DELIVER),
    (State.ACCEPTED, Event.TRANSPORT_ERROR): _to(State.ACCEPTED, _TRANSPORT_ERROR),
    (State.ACCEPTED, Event.TIMER_L): _to(State.TERMINATED),
    (State.COMPLETED, Event.REQUEST): _to(State.COMPLETED, _RETRANSMIT),
    (State.COMPLETED, Event.TIMER_G): _to(State.COMPLETED, _RETRANSMIT, _double(Timer.G)),
    (State.COMPLETED, Event.TIMER_H): _to(State.TERMINATED, _STOP_G, _TIMEOUT),
    (State.COMPLETED, Event.ACK): _to(State.CONFIRMED, _STOP_G, _STOP_H, _START_I),
    (State.COMPLETED, Event.TRANSPORT_ERROR): _to(State.COMPLETED, _TRANSPORT_ERROR),
    (State.CONFIRMED, Event.REQUEST): _to(State.CONFIRMED),
    (State.CONFIRMED, Event.ACK): _to(State.CONFIRMED),
    (State.CONFIRMED, Event.TIMER_I): _to(State.TERMINATED),
}
# Figure 8.
_NON_INVITE_SERVER: Table = {
    (State.TRYING, Event.REQUEST): _to(State.TRYING),
    (State.TRYING, Event.SEND_PROVISIONAL): _to(State.PROCEEDING, _RESPOND),
    (State.TRYING, Event.SEND_SUCCESS): _to(State.COMPLETED, _RESPOND, _START_J),
    (State.TRYING, Event.SEND_FAILURE): _to(State.COMPLETED, _RESPOND, _START_J),
    (State.TRYING, Event.TRANSPORT_ERROR): _to(State.TRYING, _TRANSPORT_ERROR),
    (State.PROCEEDING, Event.REQUEST): _to(State.PROCEEDING, _RETRANSMIT),
    (State.PROCEEDING, Event.SEND_PROVISIONAL): _to(State.PROCEEDING, _RESPOND),
    (State.PROCEEDING, Event.SEND_SUCCESS): _to(State.COMPLETED, _RESPOND, _START_J),
    (State.PROCEEDING, Event.SEND_FAILURE): _to(State.COMPLETED, _RESPOND, _START_J),
    (State.PROCEEDING, Event.TRANSPORT_ERROR): _to(State.TERMINATED, _TRANSPORT_ERROR),
    (State.COMPLETED, Event.REQUEST): _to(State.COMPLETED, _RETRANSMIT),
    (State.COMPLETED, Event.TRANSPORT_ERROR): _to(State.TERMINATED, _TRANSPORT_ERROR),
    (State.COMPLETED, Event.TIMER_J): _to(State.TERMINATED),
}
TABLES: Mapping[TransactionType, Table] = {
    TransactionType.INVITE_CLIENT: _INVITE_CLIENT,
    TransactionType.NON_INVITE_CLIENT: _NON_INVITE_CLIENT,
    TransactionType.INVITE_SERVER: _INVITE_SERVER,
    TransactionType.NON_INVITE_SERVER: _NON_INVITE_SERVER,
}
INITIAL: Mapping[TransactionType, Transition] = {
    TransactionType.INVITE_CLIENT: _to(State.CALLING, _RETRANSMIT, _START_A, _START_B),
    TransactionType.NON_INVITE_CLIENT: _to(State.TRYING, _RETRANSMIT, _START_E, _START_F),
    TransactionType.INVITE_SERVER: _to(State.PROCEEDING, _DELIVER),
    TransactionType.NON_INVITE_SERVER: _to(State.TRYING, _DELIVER),
}
