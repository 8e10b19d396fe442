"""The table of the other members known to this one, with random selection of live ones."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from oakbridge.peers.actions import MemberChanged
from oakbridge.peers.messages import MemberRecord, MemberState, NodeReport
from oakbridge.peers.suspicion import Suspicion

NEVER_US = -(2**62)
MAX_DRAWS_PER_MEMBER = 4  # random draws per requested member; then a sample stays smaller


@dataclass(slots=True)
class KnownMember:
    """What is known of one other member."""

    record: MemberRecord
    since_us: int  # time of its last state change
    last_corrected_us: int = NEVER_US  # when its own record was last sent to it as a correction
    suspicion: Suspicion | None = None
    report: NodeReport | None = None
    report_at_us: int = 0
    # A tuple, as all members without changes share the empty one.
    history: tuple[MemberChanged, ...] = ()

    @property
    def is_live(self) -> bool:
        """Return whether it counts as alive, as a suspected member does until it is failed."""
        return self.record.state <= MemberState.SUSPECT


class MemberTable:
    """Known members by name, and a list of the live ones."""

    def __init__(self) -> None:
        self.members: dict[str, KnownMember] = {}
        self._live: list[str] = []
        self._live_position: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of known members, without this one."""
        return len(self.members)

    def __iter__(self) -> Iterator[KnownMember]:
        """Iterate over the known members."""
        return iter(self.members.values())

    def get(self, name: str) -> KnownMember | None:
        """Return the member of this name, None if it is unknown."""
        return self.members.get(name)

    def add(self, record: MemberRecord, now_us: int) -> KnownMember:
        """Add a member that was unknown."""
        known = self.members[record.name] = KnownMember(record, now_us)
        return known

    def remove(self, name: str) -> None:
        """Remove a member that is not alive."""
        del self.members[name]

    def longest_not_live(self) -> str | None:
        """Return the member that failed or left the longest time ago, None if there is none."""
        not_live = [
            (known.since_us, name) for name, known in self.members.items() if not known.is_live
        ]
        return min(not_live)[1] if not_live else None

    # ---- live members

    @property
    def live_count(self) -> int:
        """Return the number of live members, including this one."""
        return len(self._live) + 1

    def live_names(self) -> list[str]:
        """Return the names of the live members, without this one."""
        return list(self._live)

    def is_live(self, name: str) -> bool:
        """Return whether the member of this name is on the list of live members."""
        return name in self._live_position

    def add_live(self, name: str) -> None:
        """Add a member to the list of live members."""
        self._live_position[name] = len(self._live)
        self._live.append(name)

    def remove_live(self, name: str) -> None:
        """Remove a member from the list; the last one takes its position."""
        position = self._live_position.pop(name)
        last = self._live.pop()
        if last != name:
            self._live[position] = last
            self._live_position[last] = position

    def random_live(self, generator: random.Random) -> KnownMember | None:
        """Return a random live member, None if there is none."""
        return self.members[generator.choice(self._live)] if self._live else None

    def sample(
        self,
        generator: random.Random,
        count: int,
        *,
        exclude: str = "",
        allow_suspects: bool = True,
    ) -> list[KnownMember]:
        """Return up to ``count`` random live members."""
        drawn: dict[str, KnownMember] = {}
        for _ in range(MAX_DRAWS_PER_MEMBER * count if self._live else 0):
            name = generator.choice(self._live)
            known = self.members[name]
            is_suspect = known.record.state == MemberState.SUSPECT
            if name != exclude and (allow_suspects or not is_suspect):
                drawn[name] = known
            if len(drawn) == count:
                break
        return list(drawn.values())
