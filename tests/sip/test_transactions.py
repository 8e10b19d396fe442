"""Tests of the four transaction state machines against the figures of RFC 3261, section 17."""

import pytest

from oakbridge.sip.transaction import T1_US, T2_US, TRANSACTION_TIMEOUT_US, Transaction
from oakbridge.sip.transaction_tables import Event, Output, State, Timer, TransactionType

# Times in units of T1 at which Timer E or G retransmits; at the last one F or H fires. The interval
# doubles up to T2, or is T2 after the first retransmission.
CAPPED_AT_T2 = [1, 3, 7, 15, 23, 31, 39, 47, 55, 63, 64]
EVERY_T2 = [1, 9, 17, 25, 33, 41, 49, 57, 64]

# Figures 5 to 8, with RFC 6026: state, event, next state, outputs. Any other pair of state and event
# changes nothing and has no outputs.
FIGURES = {
    TransactionType.INVITE_CLIENT: """
        calling A calling retransmit
        calling B terminated timeout
        calling transport_error terminated transport_error
        calling 1xx proceeding deliver
        calling 2xx accepted deliver
        calling 300-699 completed ack deliver
        proceeding 1xx proceeding deliver
        proceeding 2xx accepted deliver
        proceeding 300-699 completed ack deliver
        proceeding transport_error terminated transport_error
        accepted 2xx accepted deliver
        accepted M terminated
        completed 300-699 completed ack
        completed transport_error terminated transport_error
        completed D terminated
    """,
    TransactionType.NON_INVITE_CLIENT: """
        trying E trying retransmit
        trying F terminated timeout
        trying transport_error terminated transport_error
        trying 1xx proceeding deliver
        trying 2xx completed deliver
        trying 300-699 completed deliver
        proceeding E proceeding retransmit
        proceeding F terminated timeout
        proceeding transport_error terminated transport_error
        proceeding 1xx proceeding deliver
        proceeding 2xx completed deliver
        proceeding 300-699 completed deliver
        completed K terminated
    """,
    TransactionType.INVITE_SERVER: """
        proceeding request proceeding retransmit
        proceeding send_1xx proceeding respond
        proceeding send_2xx accepted respond
        proceeding send_300-699 completed respond
        proceeding transport_error proceeding transport_error
        accepted request accepted
        accepted send_2xx accepted respond
        accepted ack accepted deliver
        accepted transport_error accepted transport_error
        accepted L terminated
        completed request completed retransmit
        completed G completed retransmit
        completed H terminated timeout
        completed ack confirmed
        completed transport_error completed transport_error
        confirmed request confirmed
        confirmed ack confirmed
        confirmed I terminated
    """,
    TransactionType.NON_INVITE_SERVER: """
        trying request trying
        trying send_1xx proceeding respond
        trying send_2xx completed respond
        trying send_300-699 completed respond
        trying transport_error trying transport_error
        proceeding request proceeding retransmit
        proceeding send_1xx proceeding respond
        proceeding send_2xx completed respond
        proceeding send_300-699 completed respond
        proceeding transport_error terminated transport_error
        completed request completed retransmit
        completed transport_error terminated transport_error
        completed J terminated
    """,
}


@pytest.mark.parametrize("kind", TransactionType)
def test_each_state_handles_each_event_as_in_the_figures(kind):
    rows = [row.split() for row in FIGURES[kind].splitlines() if row.strip()]
    expected = {(state, event): (after, outputs) for state, event, after, *outputs in rows}
    for state in State:
        for event in Event:
            last_durations = dict.fromkeys((Timer.A, Timer.E, Timer.G), T1_US)
            transaction = Transaction(kind, False, state, {Timer.A: 9}, last_durations)
            outputs = [output.value for output in transaction.handle(event, 0)]
            unchanged = (state.value, [])
            expected_result = expected.get((state.value, event.value), unchanged)
            assert (transaction.state.value, outputs) == expected_result, (state, event)


def drive(kind, until, event=None, reliable=False):
    """Drive a transaction, with its timers fired a millisecond late, up to the time ``until``.

    Returns the due times of its transmissions and timeout in units of T1, and its last state.
    """
    transaction = Transaction(kind, reliable)
    sends = []
    recorded = (Output.RETRANSMIT, Output.TIMEOUT)
    if Output.RETRANSMIT in transaction.begin(0):
        sends.append(0)
    if event:
        transaction.handle(event, 0)
    while (due := transaction.next_timer()) is not None and due <= until:
        outputs = transaction.fire_timers(due + 1_000)
        sends += [due // T1_US for output in outputs if output in recorded]
    return sends, transaction.state


@pytest.mark.parametrize(
    ("kind", "event", "reliable", "sends", "last_state"),
    [
        (
            TransactionType.INVITE_CLIENT,
            None,
            False,
            [0, 1, 3, 7, 15, 31, 63, 64],
            State.TERMINATED,
        ),
        (TransactionType.INVITE_CLIENT, None, True, [0, 64], State.TERMINATED),
        (TransactionType.INVITE_CLIENT, Event.PROVISIONAL, False, [0], State.PROCEEDING),
        (TransactionType.NON_INVITE_CLIENT, None, False, [0, *CAPPED_AT_T2], State.TERMINATED),
        (
            TransactionType.NON_INVITE_CLIENT,
            Event.PROVISIONAL,
            False,
            [0, *EVERY_T2],
            State.TERMINATED,
        ),
        (TransactionType.NON_INVITE_CLIENT, Event.SUCCESS, False, [0], State.TERMINATED),
        (TransactionType.NON_INVITE_CLIENT, Event.SUCCESS, True, [0], State.TERMINATED),
        (TransactionType.INVITE_SERVER, Event.SEND_FAILURE, False, CAPPED_AT_T2, State.TERMINATED),
        (TransactionType.INVITE_SERVER, Event.SEND_FAILURE, True, [64], State.TERMINATED),
        (TransactionType.INVITE_SERVER, Event.SEND_SUCCESS, False, [], State.TERMINATED),
        (TransactionType.NON_INVITE_SERVER, Event.SEND_SUCCESS, False, [], State.TERMINATED),
    ],
)
def test_timers_retransmit_and_terminate_a_transaction(kind, event, reliable, sends, last_state):
    assert drive(kind, 2 * TRANSACTION_TIMEOUT_US, event, reliable) == (sends, last_state)
    assert T2_US == 8 * T1_US
