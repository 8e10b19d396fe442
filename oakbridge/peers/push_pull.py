"""Anti-entropy by push-pull exchanges: two members send each other all records that they know.

Exchanges are scheduled periodically, and requested when one is likely to bring many changes.  A
member that was declared failed retries until one succeeds, as it received no gossip meanwhile.
"""

from __future__ import annotations

from oakbridge.peers.actions import MemberCounter, StartPushPull
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.messages import PushPullState
from oakbridge.peers.timers import TimerKind

MIN_REQUEST_INTERVAL_US = 2_000_000  # between two exchanges started by request()
# With more members the interval grows in proportion, as an exchange is O(n) bytes.
MEMBERS_AT_FULL_RATE = 64
CATCH_UP_INTERVAL_US = 4_000_000  # to the first retry; doubles with each further one
MAX_CATCH_UP_DOUBLINGS = 4


class PushPull:
    """Decides when this member starts a push-pull exchange, and with which member."""

    def __init__(self, local: LocalMember, now_us: int) -> None:
        self._local = local
        self._last_request_us = now_us - MIN_REQUEST_INTERVAL_US
        self._catch_up_attempts = 0  # 0: no catch-up in progress
        self._failed_incarnation = -1  # last own incarnation that was declared failed

    def start(self, now_us: int) -> None:
        """Schedule the first exchange."""
        delay_us = self._local.jitter(self._local.options.push_pull_interval_us)
        self._local.timers.add(now_us + delay_us, TimerKind.PUSH_PULL)

    def state(self) -> PushPullState:
        """Return this member's side of an exchange: all records that it knows."""
        local = self._local
        records = (local.record, *(known.record for known in local.table))
        return PushPullState(local.record.name, local.record.generation, records)

    def request(self, now_us: int, address: str) -> None:
        """Start an exchange, unless one was started within MIN_REQUEST_INTERVAL_US.

        If several members have changes at once, the exchange with one of them brings all changes.
        """
        if now_us - self._last_request_us >= MIN_REQUEST_INTERVAL_US:
            self._last_request_us = now_us
            self._local.emit(StartPushPull(address))

    def on_timer(self, now_us: int) -> None:
        """Start the scheduled exchange with a random live member, and schedule the next one."""
        local = self._local
        if local.is_active and (partner := local.table.random_live(local.random)) is not None:
            self.request(now_us, partner.record.address)
        interval_factor = max(1, local.table.live_count // MEMBERS_AT_FULL_RATE)
        delay_us = local.jitter(local.options.push_pull_interval_us * interval_factor)
        local.timers.add(now_us + delay_us, TimerKind.PUSH_PULL)

    def completed(self) -> None:
        """Record that an exchange started by this member has succeeded."""
        self._local.is_joining = False
        self._catch_up_attempts = 0

    def failed(self) -> None:
        """Count a failed exchange."""
        self._local.counts[MemberCounter.PUSH_PULLS_FAILED] += 1

    # ---- catching up

    def catch_up(self, now_us: int, failed_incarnation: int) -> None:
        """Start, once per failed incarnation, to catch up on gossip missed meanwhile."""
        if failed_incarnation > self._failed_incarnation:
            self._failed_incarnation = failed_incarnation
            self._catch_up_attempts = 0
            self._request_from_any(now_us)

    def on_catch_up_timer(self, now_us: int, failed_incarnation: str | int) -> None:
        """Retry with another random member unless an exchange has succeeded."""
        is_current = failed_incarnation == self._failed_incarnation
        if self._catch_up_attempts and is_current and self._local.is_active:
            self._request_from_any(now_us)

    def _request_from_any(self, now_us: int) -> None:
        local = self._local
        partner = local.table.random_live(local.random)
        if partner is not None:
            local.emit(StartPushPull(partner.record.address))
        doublings = min(self._catch_up_attempts, MAX_CATCH_UP_DOUBLINGS)
        delay_us = local.jitter(CATCH_UP_INTERVAL_US << doublings)
        local.timers.add(now_us + delay_us, TimerKind.CATCH_UP, self._failed_incarnation)
        self._catch_up_attempts += 1
