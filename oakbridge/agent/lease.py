"""Who may change things here: a lease with a fencing token, without any I/O.

An operator proposes a token that is higher than any it has seen and needs a majority of the fleet's agents.  A
token that has been promised is promised for good: whatever comes with a lower one, however late, is refused.
Times are whole microseconds on a clock that only moves forward; a lease ends by it, never by what an operator's
clock says, so that a clock that jumps on another host changes nothing here.
"""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000
LONGEST = 600 * SECOND


@dataclass(frozen=True, slots=True)
class Promise:
    """What an agent has promised, kept on disk: the highest token, whose it is, and whether its lease was ended."""

    token: int = 0
    holder: str = ""
    since: float = 0.0  # Unix time, for people
    released: bool = True


@dataclass(frozen=True, slots=True)
class Granted:
    """The lease is the asker's; it ends ``length`` after the answer was made unless it is renewed."""

    token: int
    length: int
    changed: bool  # whether the promise is new, and has to be on disk before this is told


@dataclass(frozen=True, slots=True)
class Refused:
    """The lease is somebody else's, or the token is not high enough; the highest is told, and who has it."""

    reason: str
    token: int
    holder: str
    since: float
    ends_in: int  # microseconds until the lease that stands in the way ends; 0: none does


class Lease:
    """The machine.  :attr:`promise` is what must outlive the process; the lease itself need not."""

    def __init__(self, promise: Promise, now: int, grace: int = 30 * SECOND) -> None:
        """After a start a lease that was not released counts as alive for ``grace``: its end was forgotten."""
        self.promise = promise
        self._until = now if promise.released else now + grace

    def acquire(self, now: int, token: int, holder: str, length: int, wall: float) -> Granted | Refused:
        """Ask for the lease.  Asked again by the same holder with the same token, it is granted again."""
        mine = (token, holder) == (self.promise.token, self.promise.holder)
        if mine and not self.promise.released:
            return self._grant(now, length, changed=False)
        if self.alive(now) and holder != self.promise.holder:
            return self._refuse(now, f"{self.promise.holder} has the lease")
        if token <= self.promise.token:
            return self._refuse(now, f"token {token} is not above {self.promise.token}")
        self.promise = Promise(token, holder, wall, released=False)
        return self._grant(now, length, changed=True)

    def renew(self, now: int, token: int, holder: str, length: int) -> Granted | Refused:
        """Ask for more time.  A lease that has run out may be renewed as long as nobody else has asked.

        The holder counts as well: two that ask at once choose the same token, and each may have won some agents.
        """
        if not self._holds(token, holder):
            return self._refuse(now, f"token {token} has no lease here")
        return self._grant(now, length, changed=False)

    def release(self, now: int, token: int, holder: str) -> bool:
        """Give the lease back; returns whether the promise changed.  The token stays promised."""
        if not self._holds(token, holder):
            return False
        p = self.promise
        self.promise = Promise(p.token, p.holder, p.since, released=True)
        self._until = now
        return True

    def check(self, now: int, token: int, holder: str) -> Refused | None:
        """Whether a step with this token may begin: it is the one promised to its sender, and its lease is alive."""
        if (token, holder) != (self.promise.token, self.promise.holder):
            return self._refuse(now, f"token {token} is not the one promised")
        if not self.alive(now):
            return self._refuse(now, f"the lease of token {token} has ended")
        return None

    def alive(self, now: int) -> bool:
        """Whether somebody has the lease now."""
        return not self.promise.released and now < self._until

    def _holds(self, token: int, holder: str) -> bool:
        return (token, holder) == (self.promise.token, self.promise.holder) and not self.promise.released

    def _grant(self, now: int, length: int, changed: bool) -> Granted:
        length = max(0, min(length, LONGEST))
        self._until = now + length
        return Granted(self.promise.token, length, changed)

    def _refuse(self, now: int, reason: str) -> Refused:
        p, left = self.promise, max(0, self._until - now)
        return Refused(reason, p.token, p.holder, p.since, left if self.alive(now) else 0)
