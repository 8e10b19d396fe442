"""State of this process's own member, shared by the components of the protocol."""

from __future__ import annotations

import random
from collections import Counter

import msgspec

from oakbridge.peers.actions import Action, MemberCounter
from oakbridge.peers.local_health import LocalHealth
from oakbridge.peers.member_table import MemberTable
from oakbridge.peers.messages import MemberRecord, MemberState
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.timers import TimerQueue


class LocalMember:
    """The own record, options and timers, the table of other members, and pending actions."""

    def __init__(
        self, record: MemberRecord, options: ProtocolOptions, generator: random.Random
    ) -> None:
        self.record = record
        self.options = options
        self.random = generator
        self.timers = TimerQueue()
        self.table = MemberTable()
        self.health = LocalHealth(enabled=options.local_health)
        self.counts: Counter[MemberCounter] = Counter()
        self.is_joining = True  # until the first push-pull exchange
        self.has_left = False
        self.replaced_by: MemberRecord | None = None  # a process of this name that started later
        self._actions: list[Action] = []

    @property
    def is_active(self) -> bool:
        """Return whether this process is still a member."""
        return not self.has_left and self.replaced_by is None

    def emit(self, action: Action) -> None:
        """Add an action for the runner to carry out."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return and clear the actions emitted since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def jitter(self, mean_us: int) -> int:
        """Return 0.5 to 1.5 times the mean, at random, so that members don't synchronize."""
        return mean_us // 2 + self.random.randrange(mean_us)

    def raise_incarnation(self, generation: int, incarnation: int) -> None:
        """Set this member's generation and incarnation."""
        self.record = msgspec.structs.replace(
            self.record, generation=generation, incarnation=incarnation
        )

    def mark_left(self) -> None:
        """Mark this member as left, in a new incarnation."""
        self.has_left = True
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=self.record.incarnation + 1,
            state=MemberState.LEFT,
        )
