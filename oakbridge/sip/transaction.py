"""Transactions: the state machines of RFC 3261, section 17, with their timers.  No I/O.

On a reliable transport, Timers A, E and G never run, and Timers D, I, J and K have a duration of
zero (sections 17.1.1.2 to 17.2.2). Timers B, F, H, L and M run on any transport.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from oakbridge.sip.transaction_tables import (
    INITIAL,
    TABLES,
    Event,
    Output,
    State,
    Step,
    Timer,
    TimerOperation,
    TimerStep,
    TransactionType,
)

# Timer values of section 17, table 4.
T1_US = 500_000
T2_US = 4_000_000
T4_US = 5_000_000
TRANSACTION_TIMEOUT_US = 64 * T1_US

_DURATIONS_US = {
    Timer.A: T1_US,
    Timer.B: TRANSACTION_TIMEOUT_US,
    Timer.D: TRANSACTION_TIMEOUT_US,
    Timer.E: T1_US,
    Timer.F: TRANSACTION_TIMEOUT_US,
    Timer.G: T1_US,
    Timer.H: TRANSACTION_TIMEOUT_US,
    Timer.I: T4_US,
    Timer.J: TRANSACTION_TIMEOUT_US,
    Timer.K: T4_US,
    Timer.L: TRANSACTION_TIMEOUT_US,
    Timer.M: TRANSACTION_TIMEOUT_US,
}
_TIMER_EVENTS = {timer: Event(timer.value) for timer in Timer}
_CLIENT_RETRANSMISSIONS = (Timer.A, Timer.E)
_RETRANSMISSIONS = frozenset({Timer.A, Timer.E, Timer.G})
# Timers that wait for the peer's retransmissions; on a reliable transport there are none.
_ZERO_IF_RELIABLE = frozenset({Timer.D, Timer.I, Timer.J, Timer.K})
_CAPPED_AT_T2 = frozenset({Timer.E, Timer.G})  # Timer A doubles until Timer B fires


@dataclass(slots=True)
class Transaction:
    """One transaction. Times are in microseconds; methods return the outputs in order.

    The owner has to call :meth:`fire_timers` at the time that :meth:`next_timer` returns.
    """

    type: TransactionType
    reliable: bool
    state: State = State.TERMINATED
    timers: dict[Timer, int] = field(default_factory=dict)  # when each running timer is due
    _last_durations: dict[Timer, int] = field(default_factory=dict)

    def begin(self, now: int) -> list[Output]:
        """Start the transaction, when its request was received or is about to be sent."""
        self.state, steps = INITIAL[self.type]
        return self._apply_steps(steps, now)

    def handle(self, event: Event, now: int) -> list[Output]:
        """Handle an event; an event without an entry in the table is ignored."""
        transition = TABLES[self.type].get((self.state, event))
        if transition is None:
            return []
        self.state, steps = transition
        outputs = self._apply_steps(steps, now)
        if self.terminated:
            self.timers.clear()
        return outputs

    def stop_retransmissions(self) -> None:
        """Stop retransmitting the request; responses are still handled."""
        for timer in _CLIENT_RETRANSMISSIONS:
            self.timers.pop(timer, None)

    def next_timer(self) -> int | None:
        """Return the time at which the next timer is due, or None if no timer runs."""
        return min(self.timers.values(), default=None)

    def fire_timers(self, now: int) -> list[Output]:
        """Fire the timers that are due, in order."""
        outputs: list[Output] = []
        while self.timers:
            due, timer = min((when, timer) for timer, when in self.timers.items())
            if due > now:
                break
            del self.timers[timer]
            # The event gets the time at which the timer was due, so that a late call does not
            # delay the retransmissions that follow.
            outputs += self.handle(_TIMER_EVENTS[timer], due)
        return outputs

    @property
    def terminated(self) -> bool:
        """Whether the transaction is in the Terminated state."""
        return self.state is State.TERMINATED

    def _apply_steps(self, steps: tuple[Step, ...], now: int) -> list[Output]:
        outputs: list[Output] = []
        for step in steps:
            if isinstance(step, TimerStep):
                self._apply_timer_step(step, now)
            else:
                outputs.append(step)
        return outputs

    def _apply_timer_step(self, step: TimerStep, now: int) -> None:
        timer = step.timer
        if step.operation is TimerOperation.START:
            self._start(timer, _DURATIONS_US[timer], now)
        elif step.operation is TimerOperation.STOP:
            self.timers.pop(timer, None)
        elif step.operation is TimerOperation.DOUBLE:
            doubled = 2 * self._last_durations[timer]
            self._start(timer, min(T2_US, doubled) if timer in _CAPPED_AT_T2 else doubled, now)
        else:
            self._start(timer, T2_US, now)

    def _start(self, timer: Timer, duration_us: int, now: int) -> None:
        if self.reliable and timer in _RETRANSMISSIONS:
            return
        if self.reliable and timer in _ZERO_IF_RELIABLE:
            self.state = State.TERMINATED
            return
        self._last_durations[timer] = duration_us
        self.timers[timer] = now + duration_us


def client_transaction(method: str, *, reliable: bool) -> Transaction:
    """Return a new client transaction for a request of this method."""
    is_invite = method == "INVITE"
    kind = TransactionType.INVITE_CLIENT if is_invite else TransactionType.NON_INVITE_CLIENT
    return Transaction(kind, reliable)


def server_transaction(method: str, *, reliable: bool) -> Transaction:
    """Return a new server transaction for a request of this method."""
    is_invite = method == "INVITE"
    kind = TransactionType.INVITE_SERVER if is_invite else TransactionType.NON_INVITE_SERVER
    return Transaction(kind, reliable)


def received_event(status: int) -> Event:
    """Return the event of a client transaction that receives a response of this status."""
    if status < 200:
        return Event.PROVISIONAL
    return Event.SUCCESS if status < 300 else Event.FAILURE


def sent_event(status: int) -> Event:
    """Return the event of a server transaction that sends a response of this status."""
    if status < 200:
        return Event.SEND_PROVISIONAL
    return Event.SEND_SUCCESS if status < 300 else Event.SEND_FAILURE
