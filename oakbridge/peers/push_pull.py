"""Anti-entropy by push-pull exchanges: two members tell each other all that they know.

Exchanges are scheduled, requested where one brings much that is new, and asked for again and again
by a member that was held for failed: nobody gossiped to it meanwhile.
"""

from __future__ import annotations

from oakbridge.peers.actions import MemberCounter, StartPushPull
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.messages import PushPullState
from oakbridge.peers.timers import TimerKind

MIN_REQUEST_INTERVAL_US = 2_000_000  # between two exchanges that are not scheduled
MEMBERS_AT_FULL_RATE = 64  # an exchange is O(n) bytes: with more members it gets rarer
CATCH_UP_INTERVAL_US = 4_000_000  # until another member is asked, twice as long each time
MAX_CATCH_UP_DOUBLINGS = 4


class PushPull:
    """When this member begins a push-pull exchange, and with whom."""

    def __init__(self, local: LocalMember, now_us: int) -> None:
        self._local = local
        self._last_request_us = now_us - MIN_REQUEST_INTERVAL_US
        self._catch_up_attempts = 0  # 0: nothing was missed
        self._failed_incarnation = -1  # the last one that was held for failed

    def start(self, now_us: int) -> None:
        """Schedule the first exchange."""
        delay_us = self._local.jitter(self._local.options.push_pull_interval_us)
        self._local.timers.add(now_us + delay_us, TimerKind.PUSH_PULL)

    def state(self) -> PushPullState:
        """Return all that this member knows."""
        local = self._local
        records = (local.record, *(known.record for known in local.table))
        return PushPullState(local.record.name, local.record.generation, records)

    def request(self, now_us: int, address: str) -> None:
        """Begin an exchange that is not scheduled.

        Where many would bring news at once, one tells of the others.
        """
        if now_us - self._last_request_us >= MIN_REQUEST_INTERVAL_US:
            self._last_request_us = now_us
            self._local.emit(StartPushPull(address))

    def on_timer(self, now_us: int) -> None:
        """Begin a scheduled exchange with any member, and schedule the next one."""
        local = self._local
        if local.is_active and (partner := local.table.random_live(local.random)) is not None:
            self.request(now_us, partner.record.address)
        rarer = max(1, local.table.live_count // MEMBERS_AT_FULL_RATE)
        delay_us = local.jitter(local.options.push_pull_interval_us * rarer)
        local.timers.add(now_us + delay_us, TimerKind.PUSH_PULL)

    def completed(self) -> None:
        """Note that an exchange which this member began has come about."""
        self._local.is_joining = False
        self._catch_up_attempts = 0

    def failed(self) -> None:
        """Note that an exchange has come to nothing."""
        self._local.counts[MemberCounter.PUSH_PULLS_FAILED] += 1

    # ---- catching up

    def catch_up(self, now_us: int, failed_incarnation: int) -> None:
        """Ask for what was gossiped while this incarnation was held for failed, once."""
        if failed_incarnation > self._failed_incarnation:
            self._failed_incarnation = failed_incarnation
            self._catch_up_attempts = 0
            self._ask_any(now_us)

    def on_catch_up_timer(self, now_us: int, failed_incarnation: str | int) -> None:
        """Ask another member unless an exchange has come about."""
        is_current = failed_incarnation == self._failed_incarnation
        if self._catch_up_attempts and is_current and self._local.is_active:
            self._ask_any(now_us)

    def _ask_any(self, now_us: int) -> None:
        local = self._local
        partner = local.table.random_live(local.random)
        if partner is not None:
            local.emit(StartPushPull(partner.record.address))
        doublings = min(self._catch_up_attempts, MAX_CATCH_UP_DOUBLINGS)
        delay_us = local.jitter(CATCH_UP_INTERVAL_US << doublings)
        local.timers.add(now_us + delay_us, TimerKind.CATCH_UP, self._failed_incarnation)
        self._catch_up_attempts += 1
