"""The other members as this one holds them, and random draws from those that are alive."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from oakbridge.peers.actions import MemberChanged
from oakbridge.peers.messages import MemberRecord, MemberState, NodeReport
from oakbridge.peers.suspicion import Suspicion

NEVER_US = -(2**62)
DRAWS_PER_NAME = 4  # until a sample stays smaller than it was asked for


@dataclass(slots=True)
class KnownMember:
    """What is held of one other member."""

    record: MemberRecord
    since_us: int  # when it came into its state
    last_corrected_us: int = NEVER_US  # when it was last told, unasked, what is claimed about it
    suspicion: Suspicion | None = None
    report: NodeReport | None = None
    report_at_us: int = 0
    history: tuple[MemberChanged, ...] = ()  # a tuple, as thousands of members have none

    @property
    def is_live(self) -> bool:
        """Return whether it counts as alive; a suspected one does until its time is over."""
        return self.record.state <= MemberState.SUSPECT


class MemberTable:
    """Known members by name, and a list of those alive."""

    def __init__(self) -> None:
        self.members: dict[str, KnownMember] = {}
        self._live: list[str] = []
        self._live_position: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of known members, this one not included."""
        return len(self.members)

    def __iter__(self) -> Iterator[KnownMember]:
        """Iterate over the known members."""
        return iter(self.members.values())

    def get(self, name: str) -> KnownMember | None:
        """Return the member of this name, if it is known."""
        return self.members.get(name)

    def add(self, record: MemberRecord, now_us: int) -> KnownMember:
        """Add a member that was not known."""
        known = self.members[record.name] = KnownMember(record, now_us)
        return known

    def remove(self, name: str) -> None:
        """Forget a member that is not alive."""
        del self.members[name]

    def longest_gone(self) -> str | None:
        """Return the name of the member that has not been alive for longest, if there is any."""
        gone = [(known.since_us, name) for name, known in self.members.items() if not known.is_live]
        return min(gone)[1] if gone else None

    # ---- those alive

    @property
    def live_count(self) -> int:
        """Return the number of members alive, this one included."""
        return len(self._live) + 1

    def live_names(self) -> list[str]:
        """Return the names of the members alive, without this one's."""
        return list(self._live)

    def is_live(self, name: str) -> bool:
        """Return whether the member of this name is on the list."""
        return name in self._live_position

    def add_live(self, name: str) -> None:
        """Put a member on the list of those alive."""
        self._live_position[name] = len(self._live)
        self._live.append(name)

    def remove_live(self, name: str) -> None:
        """Take a member off the list; the last one takes its position."""
        position = self._live_position.pop(name)
        last = self._live.pop()
        if last != name:
            self._live[position] = last
            self._live_position[last] = position

    def random_live(self, generator: random.Random) -> KnownMember | None:
        """Return any member that is alive."""
        return self.members[generator.choice(self._live)] if self._live else None

    def sample(
        self,
        generator: random.Random,
        count: int,
        *,
        exclude: str = "",
        allow_suspects: bool = True,
    ) -> list[KnownMember]:
        """Return up to so many members that are alive."""
        drawn: dict[str, KnownMember] = {}
        for _ in range(DRAWS_PER_NAME * count if self._live else 0):
            name = generator.choice(self._live)
            known = self.members[name]
            is_suspect = known.record.state == MemberState.SUSPECT
            if name != exclude and (allow_suspects or not is_suspect):
                drawn[name] = known
            if len(drawn) == count:
                break
        return list(drawn.values())
