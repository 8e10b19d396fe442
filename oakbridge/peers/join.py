"""How a member joins by its seeds, and how it finds members again that it has lost."""

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
MAX_BACKOFF_DOUBLINGS = 5


class Join:
    """Asks one seed after another, in a random order, with backoff."""

    def __init__(self, local: LocalMember) -> None:
        self.seeds: list[str] = []
        self._local = local
        self._attempts = 0

    def start(self, now_us: int, seeds: Iterable[str]) -> None:
        """Join by these addresses, in place of earlier ones; with none begin alone."""
        own_address = self._local.record.address
        self.seeds = [seed for seed in dict.fromkeys(seeds) if seed != own_address]
        if not self.seeds:
            self._local.is_joining = False
        elif self._local.is_joining and not self._attempts:
            self._try_next(now_us)

    def on_timer(self, now_us: int) -> None:
        """Try the next seed unless this member has joined."""
        if self._local.is_joining and self._local.is_active:
            self._try_next(now_us)

    def _try_next(self, now_us: int) -> None:
        position = self._attempts % len(self.seeds)
        if position == 0:
            self._local.random.shuffle(self.seeds)
        self._local.emit(StartPushPull(self.seeds[position]))
        self._attempts += 1
        doublings = min(self._attempts, MAX_BACKOFF_DOUBLINGS)
        backoff_us = min(MAX_BACKOFF_US, FIRST_BACKOFF_US * 2**doublings)
        self._local.timers.add(now_us + self._local.jitter(backoff_us), TimerKind.JOIN)


class Reconnect:
    """Tries members that failed, and seeds that are not among the members.

    A part that was cut off is found again.  A cluster whose first members met in pairs is several
    clusters until the seeds have met, too.
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
        """Try one of them, and schedule the next attempt."""
        if self._local.is_active:
            self._try_one(now_us)
        self.start(now_us)

    def _try_one(self, now_us: int) -> None:
        local = self._local
        failed = [k for k in local.table if k.record.state == MemberState.FAILED]
        live_addresses = {known.record.address for known in local.table if known.is_live}
        lost_seeds = sorted(seed for seed in self._join.seeds if seed not in live_addresses)
        if not failed and not lost_seeds:
            return
        number = local.random.randrange(len(failed) + len(lost_seeds))
        if number < len(failed):
            record = failed[number].record
            header = Header(MessageKind.PING, target=record.name)
            self._dissemination.send(record, header, now_us)
        else:
            self._push_pull.request(now_us, lost_seeds[number - len(failed)])
