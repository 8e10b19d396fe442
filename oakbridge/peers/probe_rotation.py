"""Whom to probe next: round by round, each round in a new order.

No member waits longer than two rounds.  Source: SWIM, section 4.3 (round-robin probe targets).
"""

from __future__ import annotations

from oakbridge.peers.local_member import LocalMember


class ProbeRotation:
    """The targets that this round still has, the next one last."""

    def __init__(self, local: LocalMember) -> None:
        self._local = local
        self._targets: list[str] = []

    def insert(self, name: str) -> None:
        """Have a new member probed at a random point of this round."""
        position = self._local.random.randrange(len(self._targets) + 1)
        self._targets.insert(position, name)

    def put_next(self, name: str) -> None:
        """Have this member probed next."""
        self._targets.append(name)

    def next_target(self) -> str | None:
        """Return the next member to probe, None if there is none."""
        for _ in range(2):
            while self._targets:
                name = self._targets.pop()
                if self._local.table.is_live(name) and not self._is_confirmed(name):
                    return name
            self._targets = self._local.table.live_names()
            self._local.random.shuffle(self._targets)
        return None

    def _is_confirmed(self, name: str) -> bool:
        """Return whether as many suspect it as count.

        Where many fail at once, probes go to those of whom nothing is known yet.
        """
        suspicion = self._local.table.members[name].suspicion
        return suspicion is not None and suspicion.is_confirmed
