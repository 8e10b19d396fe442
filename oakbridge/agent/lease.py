"""The lease on changing the instances of this host, with a fencing token.  No I/O.

An operator proposes a token above every token that it has seen, and needs the leases of a majority
of the fleet's agents.  A token is never granted to a second holder.  A request with a lower token
is refused, however late it arrives.  Times are microseconds of this host's monotonic clock: a clock
that jumps on an operator's host does not affect when the lease expires.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

US_PER_S = 1_000_000
MAX_DURATION_US = 600 * US_PER_S
# The expiry is not on disk: after a restart of the agent, an unreleased lease counts as active for
# this long.
RESTART_GRACE_US = 30 * US_PER_S


@dataclass(frozen=True, slots=True)
class FencingTokenRecord:
    """What an agent keeps on disk: the highest token granted, and its holder."""

    token: int = 0
    holder: str = ""
    granted_at_s: float = 0.0  # Unix time; only reported, never compared
    released: bool = True


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The lease is granted; it expires after ``duration_us`` unless it is renewed."""

    token: int
    duration_us: int
    record_changed: bool  # whether the record must be on disk before the response is sent


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """Another operator has the lease, or the token is too low.

    ``token``, ``holder`` and ``granted_at_s`` are those of the highest token granted.
    """

    reason: str
    token: int
    holder: str
    granted_at_s: float
    expires_in_us: int  # until the active lease expires; 0 if no lease is active


@dataclass(frozen=True, slots=True)
class LeaseState:
    """A saved state of a lease, for :meth:`Lease.restore`."""

    record: FencingTokenRecord
    expires_us: int


class Lease:
    """The lease of one agent.  Only ``record`` must outlive the process."""

    def __init__(
        self, record: FencingTokenRecord, now_us: int, grace_us: int = RESTART_GRACE_US
    ) -> None:
        """Start from a record; an unreleased lease is active for ``grace_us``."""
        self.record = record
        self._expires_us = now_us if record.released else now_us + grace_us

    def acquire(
        self, now_us: int, token: int, holder: str, duration_us: int, wall_time_s: float
    ) -> LeaseGranted | LeaseDenied:
        """Grant the lease if no other operator has it; a repeated request is granted again.

        ``wall_time_s`` is the Unix time that the record keeps.
        """
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
        """Extend the lease, also an expired one that no other operator has acquired meanwhile.

        The holder is compared as well as the token: two operators that compete for the lease may
        propose the same token, and each may have been granted it by some agents.
        """
        if not self._is_held_by(token, holder):
            return self._deny(now_us, f"token {token} has no lease here")
        return self._grant(now_us, duration_us, record_changed=False)

    def state(self) -> LeaseState:
        """Return the current state, for :meth:`restore`."""
        return LeaseState(self.record, self._expires_us)

    def restore(self, state: LeaseState) -> None:
        """Undo a change that could not be written to disk, and that no operator was notified of."""
        self.record = state.record
        self._expires_us = state.expires_us

    def release(self, now_us: int, token: int, holder: str) -> bool:
        """Release the lease; return whether the record changed.

        The token is never granted again.
        """
        if not self._is_held_by(token, holder):
            return False
        self.record = replace(self.record, released=True)
        self._expires_us = now_us
        return True

    def check(self, now_us: int, token: int, holder: str) -> LeaseDenied | None:
        """Return why a step with this token is refused; None if its holder has the lease."""
        if (token, holder) != (self.record.token, self.record.holder):
            return self._deny(now_us, f"token {token} is not the one promised")
        if not self.is_active(now_us):
            return self._deny(now_us, f"the lease of token {token} has ended")
        return None

    def is_active(self, now_us: int) -> bool:
        """Return whether an operator has the lease at this time."""
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
