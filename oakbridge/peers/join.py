"""Joins the cluster through seeds, and reconnects to failed members and unknown seeds."""

from __future__ import annotations

from collections.abc import Iterable

from oakbridge.peers.actions import StartPushPull
from oakbridge.peers.dissemination import Dissemination, Header
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.messages import MemberState, MessageKind
from oakbridge.peers.push_pull import PushPull
from oakbridge.peers.timers import TimerKind

FIRST_BACKOFF_US = 250_000
MAX_BACKOFF_US = 5_000_000
MAX_BACKOFF_DOUBLINGS = 5  # keeps the power of two small; MAX_BACKOFF_US caps the delay


class Join:
    """Starts exchanges with the seeds in random order, with backoff, until one succeeds."""

    def __init__(self, local: LocalMember) -> None:
        self.seeds: list[str] = []
        self._local = local
        self._attempt_count = 0

    def start(self, now_us: int, seeds: Iterable[str]) -> None:
        """Join through these addresses instead of earlier ones; with none, start a new cluster."""
        own_address = self._local.record.address
        self.seeds = [seed for seed in dict.fromkeys(seeds) if seed != own_address]
        if not self.seeds:
            self._local.is_joining = False
        elif self._local.is_joining and not self._attempt_count:
            self._try_next_seed(now_us)

    def on_timer(self, now_us: int) -> None:
        """Try the next seed, unless this member has joined or left."""
        if self._local.is_joining and self._local.is_active:
            self._try_next_seed(now_us)

    def _try_next_seed(self, now_us: int) -> None:
        position = self._attempt_count % len(self.seeds)
        if position == 0:
            self._local.random.shuffle(self.seeds)
        self._local.emit(StartPushPull(self.seeds[position]))
        self._attempt_count += 1
        doublings = min(self._attempt_count, MAX_BACKOFF_DOUBLINGS)
        backoff_us = min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2**doublings)
        self._local.timers.add(now_us + self._local.jitter(backoff_us), TimerKind.JOIN)


class Reconnect:
    """Retries failed members, and seeds that are not among the live members.

    This heals partitions.  It also merges clusters: if the first members join in separate groups,
    these stay separate clusters until their seeds meet.
    """

    def __init__(
        self,
        local: LocalMember,
        dissemination: Dissemination,
        push_pull: PushPull,
        join: Join,
    ) -> None:
        self._local = local
        self._dissemination = dissemination
        self._push_pull = push_pull
        self._join = join

    def start(self, now_us: int) -> None:
        """Schedule the next attempt."""
        delay_us = self._local.jitter(self._local.options.reconnect_interval_us)
        self._local.timers.add(now_us + delay_us, TimerKind.RECONNECT)

    def on_timer(self, now_us: int) -> None:
        """Try a random failed member or unknown seed, and schedule the next attempt."""
        if self._local.is_active:
            self._try_random_address(now_us)
        self.start(now_us)

    def _try_random_address(self, now_us: int) -> None:
        local = self._local
        failed = [member for member in local.table if member.record.state == MemberState.FAILED]
        live_addresses = {known.record.address for known in local.table if known.is_live}
        unknown_seeds = sorted(seed for seed in self._join.seeds if seed not in live_addresses)
        if not failed and not unknown_seeds:
            return
        index = local.random.randrange(len(failed) + len(unknown_seeds))
        if index < len(failed):
            record = failed[index].record
            header = Header(MessageKind.PING, target=record.name)
            self._dissemination.send(record, header, now_us)
        else:
            self._push_pull.request(now_us, unknown_seeds[index - len(failed)])
