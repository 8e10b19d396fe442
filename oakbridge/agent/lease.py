"""Who may change things on this host: a lease with a fencing token.  No I/O.

An operator proposes a token that is higher than any it has seen and needs a majority of the fleet's
agents.  A token that has been granted is never granted to another holder: whatever comes with a
lower one, however late, is refused. Times are microseconds on a clock that only moves forward; a
lease ends by it, never by what an operator's clock says, so that a clock that jumps on another host
changes nothing here.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

US_PER_S = 1_000_000
MAX_DURATION_US = 600 * US_PER_S
RESTART_GRACE_US = 30 * US_PER_S


@dataclass(frozen=True, slots=True)
class FencingTokenRecord:
    """What an agent keeps on disk: the highest token granted, and its holder."""

    token: int = 0
    holder: str = ""
    granted_at_s: float = 0.0  # Unix time, for people
    released: bool = True


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The lease is the asker's; it ends ``duration_us`` after this unless it is renewed."""

    token: int
    duration_us: int
    record_changed: bool  # whether the record has to be on disk before the asker is told


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """The lease is somebody else's, or the token too low; tells the highest one and its holder."""

    reason: str
    token: int
    holder: str
    granted_at_s: float
    expires_in_us: int  # of the lease that stands in the way; 0: none does


@dataclass(frozen=True, slots=True)
class LeaseState:
    """A lease at one moment."""

    record: FencingTokenRecord
    expires_us: int


class Lease:
    """The lease of one agent.  ``record`` must outlive the process; the lease itself need not."""

    def __init__(
        self, record: FencingTokenRecord, now_us: int, grace_us: int = RESTART_GRACE_US
    ) -> None:
        """Take up a record; an unreleased lease is active for ``grace_us`` more."""
        self.record = record
        self._expires_us = now_us if record.released else now_us + grace_us

    def acquire(
        self, now_us: int, token: int, holder: str, duration_us: int, wall_time_s: float
    ) -> LeaseGranted | LeaseDenied:
        """Grant the lease if nobody else has it; the same request again is granted again."""
        if self._is_held_by(token, holder):
            return self._grant(now_us, duration_us, record_changed=False)
        if self.is_active(now_us) and holder != self.record.holder:
            return self._deny(now_us, f"{self.record.holder} has the lease")
        if token <= self.record.token:
            return self._deny(now_us, f"token {token} is not above {self.record.token}")
        self.record = FencingTokenRecord(token, holder, wall_time_s, released=False)
        return self._grant(now_us, duration_us, record_changed=True)

    def renew(
        self, now_us: int, token: int, holder: str, duration_us: int
    ) -> LeaseGranted | LeaseDenied:
        """Grant more time.  An expired lease may be renewed as long as nobody else has acquired it.

        The holder counts as well: two who ask at once choose the same token, and each may have won
        some agents.
        """
        if not self._is_held_by(token, holder):
            return self._deny(now_us, f"token {token} has no lease here")
        return self._grant(now_us, duration_us, record_changed=False)

    def state(self) -> LeaseState:
        """Return the lease as it is, for :meth:`restore`."""
        return LeaseState(self.record, self._expires_us)

    def restore(self, state: LeaseState) -> None:
        """Have the lease as it was: what was granted since could not be written, and was not told."""
        self.record = state.record
        self._expires_us = state.expires_us

    def release(self, now_us: int, token: int, holder: str) -> bool:
        """Give the lease back; return whether the record changed.

        The token is never granted again.
        """
        if not self._is_held_by(token, holder):
            return False
        self.record = replace(self.record, released=True)
        self._expires_us = now_us
        return True

    def check(self, now_us: int, token: int, holder: str) -> LeaseDenied | None:
        """Return why a step with this token may not begin; None if its holder has the lease."""
        if (token, holder) != (self.record.token, self.record.holder):
            return self._deny(now_us, f"token {token} is not the one promised")
        if not self.is_active(now_us):
            return self._deny(now_us, f"the lease of token {token} has ended")
        return None

    def is_active(self, now_us: int) -> bool:
        """Return whether somebody has the lease now."""
        return not self.record.released and now_us < self._expires_us

    def _is_held_by(self, token: int, holder: str) -> bool:
        record = self.record
        return (token, holder) == (record.token, record.holder) and not record.released

    def _grant(self, now_us: int, duration_us: int, *, record_changed: bool) -> LeaseGranted:
        duration_us = max(0, min(duration_us, MAX_DURATION_US))
        self._expires_us = now_us + duration_us
        return LeaseGranted(self.record.token, duration_us, record_changed)

    def _deny(self, now_us: int, reason: str) -> LeaseDenied:
        record = self.record
        expires_in_us = self._expires_us - now_us if self.is_active(now_us) else 0
        return LeaseDenied(reason, record.token, record.holder, record.granted_at_s, expires_in_us)
