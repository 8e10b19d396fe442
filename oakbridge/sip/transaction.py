"""The four transaction machines of RFC 3261, section 17, with RFC 6026's Accepted, as tables.  Pure.

Each machine is a table: in this state, on this event, go to that state and do these things.  What is done is a list of
verbs, told to whoever drives the machine:

=============  ===========================================================================
``send``       send again what was sent last (the request, or the last response)
``put``        send the response that the event brought, and keep it as the last
``pass``       hand the event's message to the transaction's user
``ack``        acknowledge a final answer that is not 2xx (section 17.1.1.3)
``timeout``    tell the user that no answer came (or no ACK)
``error``      tell the user that the transport failed
``+X``, ``-X``  start timer X anew, stop it; ``X*2`` starts it with twice its last time (at most T2)
=============  ===========================================================================

Timers are A to M of the RFCs.  Where the transport is reliable, A, E and G never run, and D, I, J and K take no time at
all (sections 17.1.1.2 and on); L, M (RFC 6026), B, F and H always run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

T1, T2, T4 = 500_000, 4_000_000, 5_000_000  # microseconds; section 17, table 4
LONG = 64 * T1
DURATION = {
    "A": T1, "B": LONG, "D": LONG, "E": T1, "F": LONG, "G": T1, "H": LONG, "I": T4, "J": LONG, "K": T4,
    "L": LONG, "M": LONG,
}  # fmt: skip
UNRELIABLE_ONLY = frozenset("AEG")  # retransmissions
AT_ONCE_IF_RELIABLE = frozenset("DIJK")  # waits for what a network may still bring
CAPPED = frozenset("EG")  # these grow to T2 at most; A grows for as long as B lets it


class State(Enum):
    """Where a transaction stands."""

    CALLING = "calling"
    TRYING = "trying"
    PROCEEDING = "proceeding"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    ACCEPTED = "accepted"
    TERMINATED = "terminated"


class Kind(Enum):
    """Which machine."""

    CLIENT_INVITE = "client invite"
    CLIENT_OTHER = "client other"
    SERVER_INVITE = "server invite"
    SERVER_OTHER = "server other"


Table = dict[tuple[State, str], tuple[State, tuple[str, ...]]]
_S = State

# Figure 5, as RFC 6026 (7.2, 8.4) has it: a 2xx leads to Accepted, in which further ones are passed on.
_CLIENT_INVITE: Table = {
    (_S.CALLING, "A"): (_S.CALLING, ("send", "A*2")),
    (_S.CALLING, "B"): (_S.TERMINATED, ("timeout",)),
    (_S.CALLING, "failed"): (_S.TERMINATED, ("error",)),
    (_S.CALLING, "1xx"): (_S.PROCEEDING, ("-A", "-B", "pass")),
    (_S.CALLING, "2xx"): (_S.ACCEPTED, ("-A", "-B", "+M", "pass")),
    (_S.CALLING, "3-6xx"): (_S.COMPLETED, ("-A", "-B", "+D", "ack", "pass")),
    (_S.PROCEEDING, "1xx"): (_S.PROCEEDING, ("pass",)),
    (_S.PROCEEDING, "2xx"): (_S.ACCEPTED, ("+M", "pass")),
    (_S.PROCEEDING, "3-6xx"): (_S.COMPLETED, ("+D", "ack", "pass")),
    (_S.PROCEEDING, "failed"): (_S.TERMINATED, ("error",)),
    (_S.ACCEPTED, "2xx"): (_S.ACCEPTED, ("pass",)),
    (_S.ACCEPTED, "M"): (_S.TERMINATED, ()),
    (_S.COMPLETED, "3-6xx"): (_S.COMPLETED, ("ack",)),
    (_S.COMPLETED, "failed"): (_S.TERMINATED, ("error",)),
    (_S.COMPLETED, "D"): (_S.TERMINATED, ()),
}
# Figure 6.
_CLIENT_OTHER: Table = {
    (_S.TRYING, "E"): (_S.TRYING, ("send", "E*2")),
    (_S.TRYING, "F"): (_S.TERMINATED, ("-E", "timeout")),
    (_S.TRYING, "failed"): (_S.TERMINATED, ("error",)),
    (_S.TRYING, "1xx"): (_S.PROCEEDING, ("pass",)),
    (_S.TRYING, "2xx"): (_S.COMPLETED, ("-E", "-F", "+K", "pass")),
    (_S.TRYING, "3-6xx"): (_S.COMPLETED, ("-E", "-F", "+K", "pass")),
    (_S.PROCEEDING, "E"): (_S.PROCEEDING, ("send", "E=T2")),
    (_S.PROCEEDING, "F"): (_S.TERMINATED, ("-E", "timeout")),
    (_S.PROCEEDING, "failed"): (_S.TERMINATED, ("error",)),
    (_S.PROCEEDING, "1xx"): (_S.PROCEEDING, ("pass",)),
    (_S.PROCEEDING, "2xx"): (_S.COMPLETED, ("-E", "-F", "+K", "pass")),
    (_S.PROCEEDING, "3-6xx"): (_S.COMPLETED, ("-E", "-F", "+K", "pass")),
    (_S.COMPLETED, "K"): (_S.TERMINATED, ()),
}
# Figure 7, as RFC 6026 (7.1, 8.5 to 8.8) has it: Accepted absorbs retransmissions, and a transport that fails is told
# to the user but ends nothing, as the client may well still ask.
_SERVER_INVITE: Table = {
    (_S.PROCEEDING, "request"): (_S.PROCEEDING, ("send",)),
    (_S.PROCEEDING, "put 1xx"): (_S.PROCEEDING, ("put",)),
    (_S.PROCEEDING, "put 2xx"): (_S.ACCEPTED, ("put", "+L")),
    (_S.PROCEEDING, "put 3-6xx"): (_S.COMPLETED, ("put", "+G", "+H")),
    (_S.PROCEEDING, "failed"): (_S.PROCEEDING, ("error",)),
    (_S.ACCEPTED, "request"): (_S.ACCEPTED, ()),
    (_S.ACCEPTED, "put 2xx"): (_S.ACCEPTED, ("put",)),
    (_S.ACCEPTED, "ack"): (_S.ACCEPTED, ("pass",)),
    (_S.ACCEPTED, "failed"): (_S.ACCEPTED, ("error",)),
    (_S.ACCEPTED, "L"): (_S.TERMINATED, ()),
    (_S.COMPLETED, "request"): (_S.COMPLETED, ("send",)),
    (_S.COMPLETED, "G"): (_S.COMPLETED, ("send", "G*2")),
    (_S.COMPLETED, "H"): (_S.TERMINATED, ("-G", "timeout")),
    (_S.COMPLETED, "ack"): (_S.CONFIRMED, ("-G", "-H", "+I")),
    (_S.COMPLETED, "failed"): (_S.COMPLETED, ("error",)),
    (_S.CONFIRMED, "request"): (_S.CONFIRMED, ()),
    (_S.CONFIRMED, "ack"): (_S.CONFIRMED, ()),
    (_S.CONFIRMED, "I"): (_S.TERMINATED, ()),
}
# Figure 8.
_SERVER_OTHER: Table = {
    (_S.TRYING, "request"): (_S.TRYING, ()),
    (_S.TRYING, "put 1xx"): (_S.PROCEEDING, ("put",)),
    (_S.TRYING, "put 2xx"): (_S.COMPLETED, ("put", "+J")),
    (_S.TRYING, "put 3-6xx"): (_S.COMPLETED, ("put", "+J")),
    (_S.TRYING, "failed"): (_S.TRYING, ("error",)),
    (_S.PROCEEDING, "request"): (_S.PROCEEDING, ("send",)),
    (_S.PROCEEDING, "put 1xx"): (_S.PROCEEDING, ("put",)),
    (_S.PROCEEDING, "put 2xx"): (_S.COMPLETED, ("put", "+J")),
    (_S.PROCEEDING, "put 3-6xx"): (_S.COMPLETED, ("put", "+J")),
    (_S.PROCEEDING, "failed"): (_S.TERMINATED, ("error",)),
    (_S.COMPLETED, "request"): (_S.COMPLETED, ("send",)),
    (_S.COMPLETED, "failed"): (_S.TERMINATED, ("error",)),
    (_S.COMPLETED, "J"): (_S.TERMINATED, ()),
}
TABLES: dict[Kind, Table] = {
    Kind.CLIENT_INVITE: _CLIENT_INVITE, Kind.CLIENT_OTHER: _CLIENT_OTHER,
    Kind.SERVER_INVITE: _SERVER_INVITE, Kind.SERVER_OTHER: _SERVER_OTHER,
}  # fmt: skip
_BEGIN = {
    Kind.CLIENT_INVITE: (_S.CALLING, ("send", "+A", "+B")),
    Kind.CLIENT_OTHER: (_S.TRYING, ("send", "+E", "+F")),
    Kind.SERVER_INVITE: (_S.PROCEEDING, ("pass",)),
    Kind.SERVER_OTHER: (_S.TRYING, ("pass",)),
}


@dataclass(slots=True)
class Transaction:
    """One transaction.  ``now`` is in microseconds; verbs come back in order, timers are kept in here.

    ``due``: when a timer is to be told by :meth:`tick`; the driver needs one timer, for the earliest.
    """

    kind: Kind
    reliable: bool
    state: State = State.TERMINATED
    timers: dict[str, int] = field(default_factory=dict)
    _last: dict[str, int] = field(default_factory=dict)  # the time that each was last started with

    def begin(self, now: int) -> list[str]:
        """The first request was received, or is to be sent."""
        self.state, verbs = _BEGIN[self.kind]
        return self._do(verbs, now)

    def on(self, event: str, now: int) -> list[str]:
        """Take an event; one that the table has no line for changes nothing and does nothing.

        Events: a client's ``1xx``, ``2xx``, ``3-6xx``; a server's ``request``, ``ack``, ``put 1xx``, ``put 2xx`` and
        ``put 3-6xx``; either's ``failed``, and timers by their letter.
        """
        row = TABLES[self.kind].get((self.state, event))
        if row is None:
            return []
        self.state, verbs = row
        done = self._do(verbs, now)
        if self.state is State.TERMINATED:
            self.timers.clear()
        return done

    def quiet(self) -> None:
        """Send nothing again, but go on to take what comes: whoever waited has given up."""
        for timer in ("A", "E"):
            self.timers.pop(timer, None)

    def due(self) -> int | None:
        """When the next timer fires."""
        return min(self.timers.values(), default=None)

    def tick(self, now: int) -> list[str]:
        """Fire what is due, in order."""
        done = list[str]()
        while self.timers and (first := min(self.timers, key=lambda t: (self.timers[t], t))) is not None:
            if self.timers[first] > now:
                break
            at = self.timers.pop(first)
            # By when it was due, not by when it was told: a late driver does not stretch the retransmissions.
            done += self.on(first, at)
        return done

    @property
    def over(self) -> bool:
        """Whether it is done with."""
        return self.state is State.TERMINATED

    def _do(self, verbs: tuple[str, ...], now: int) -> list[str]:
        done = list[str]()
        for verb in verbs:
            if verb[0] == "+":
                self._start(verb[1], DURATION[verb[1]], now)
            elif verb[0] == "-":
                self.timers.pop(verb[1], None)
            elif verb[1:] == "*2":
                twice = 2 * self._last[verb[0]]
                self._start(verb[0], min(T2, twice) if verb[0] in CAPPED else twice, now)
            elif verb == "E=T2":
                self._start("E", T2, now)
            else:
                done.append(verb)
        return done

    def _start(self, timer: str, after: int, now: int) -> None:
        if self.reliable and timer in UNRELIABLE_ONLY:
            return
        if self.reliable and timer in AT_ONCE_IF_RELIABLE:
            self.state = State.TERMINATED
            return
        self._last[timer] = after
        self.timers[timer] = now + after


def group(status: int) -> str:
    """A response's event, by its status."""
    return "1xx" if status < 200 else "2xx" if status < 300 else "3-6xx"
