"""Selects the next member to probe: in rounds over all live members, each round in random order.

The time between two probes of a member is two rounds at most.  Source: SWIM, section 4.3
(round-robin probe targets).
"""

from __future__ import annotations

from oakbridge.peers.local_member import LocalMember


class ProbeRotation:
    """The remaining targets of the current round, the next one last."""

    def __init__(self, local: LocalMember) -> None:
        self._local = local
        self._targets: list[str] = []

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of this round."""
        position = self._local.random.randrange(len(self._targets) + 1)
        self._targets.insert(position, name)

    def put_next(self, name: str) -> None:
        """Make this member the next target."""
        self._targets.append(name)

    def next_target(self) -> str | None:
        """Return the next member to probe, None if there is none to probe."""
        for _ in range(2):
            while self._targets:
                name = self._targets.pop()
                if self._local.table.is_live(name) and not self._is_confirmed(name):
                    return name
            self._targets = self._local.table.live_names()
            self._local.random.shuffle(self._targets)
        return None

    def _is_confirmed(self, name: str) -> bool:
        """Return whether the suspicion of this member is confirmed already.

        Confirmed ones are skipped: if many members fail at once, probes go to those in doubt.
        """
        suspicion = self._local.table.members[name].suspicion
        return suspicion is not None and suspicion.is_confirmed
