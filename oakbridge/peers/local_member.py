"""The member that this process is: the state that the parts of the protocol share."""

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
    """Own record, options, timers, the other members, and the actions collected so far."""

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
        self.is_joining = True  # until a first push-pull exchange
        self.has_left = False
        self.replaced_by: MemberRecord | None = None  # a later process of this name
        self._actions: list[Action] = []

    @property
    def is_active(self) -> bool:
        """Return whether this process still is a member."""
        return not self.has_left and self.replaced_by is None

    def emit(self, action: Action) -> None:
        """Have the runner carry this out."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call."""
        actions = self._actions
        self._actions = []
        return actions

    def jitter(self, mean_us: int) -> int:
        """Draw between half of the mean and half more, so that members don't move in step."""
        return mean_us // 2 + self.random.randrange(mean_us)

    def raise_incarnation(self, generation: int, incarnation: int) -> None:
        """Become a greater incarnation, or generation, of this member."""
        self.record = msgspec.structs.replace(
            self.record, generation=generation, incarnation=incarnation
        )

    def mark_left(self) -> None:
        """Become a member that has left on purpose."""
        self.has_left = True
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=self.record.incarnation + 1,
            state=MemberState.LEFT,
        )
