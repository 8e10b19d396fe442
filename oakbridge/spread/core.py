"""One copy's part in dividing the servers: what it tells of itself, and which servers it uses.  Pure.

A node that does not know yet who is there, or is the only one, draws its servers as without any of this.  While a part
of the members is out of reach all keep to the parts that they had, as most such times are short; after half a minute
those in reach divide all servers among themselves, which is even whether the others are dead or only cut off.  Only
what is listed counts, as each node's own discovery tells it; a failing server keeps its arc, and those who use it go
elsewhere for as long as they find it failing.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from oakbridge.peers.view_state import REPLICA_INDEX, ClusterView, Reaction, ViewState
from oakbridge.spread.ring import cut, tiles

PARTED_FOR = 30_000_000  # microseconds, until those in reach divide all servers
SETTLE = 3_000_000  # microseconds between two cuts, unless servers have changed
OVER = 60_000_000  # a node's own rate is a mean over so long
STEPS_EACH = 2  # steps of what is told, in each doubling
LEAST_RATE = 0.05  # requests a second: a copy without any has a part, too
TENTHS = 10  # what is told is in tenths of a request a second


class Rate:
    """This node's own requests a second, as it is told: in coarse steps that hardly ever change.

    Others lay their arcs by it: where two hold different words on many, their arcs drift apart.
    """

    def __init__(self) -> None:
        self.now = 0.0  # requests a second
        self._count, self._at = -1, 0
        self._step: int | None = None

    def note(self, now: int, requests: int) -> int:
        """So many since the start of the process; returns what is told, in tenths a second, at least 1."""
        if self._count >= 0 and now > self._at:
            since = now - self._at
            fresh = 1e6 * (requests - self._count) / since
            self.now += (
                (fresh - self.now) * (1 - math.exp(-since / OVER)) if self._step is not None else fresh
            )
        self._count, self._at = requests, now
        step = STEPS_EACH * math.log2(max(LEAST_RATE, self.now))
        if (
            self._step is None or abs(step - self._step) > 1
        ):  # a whole step: from the middle of one to the next
            self._step = round(step)
        return max(1, round(TENTHS * 2 ** (self._step / STEPS_EACH)))


@dataclass(frozen=True, slots=True)
class Copy:
    """A member of this tier, in reach: its site, and what it tells of its requests (0: nothing)."""

    site: str
    weight: int = 0


def parts_of(copies: Mapping[str, Copy]) -> dict[str, float]:
    """Each copy's part of the calls; who has told nothing counts as the middle one."""
    told = sorted(c.weight for c in copies.values() if c.weight)
    usual = float(told[len(told) // 2]) if told else 1.0
    return {name: c.weight or usual for name, c in copies.items()}


@dataclass(slots=True)
class Spread:
    """The servers of one node, by its members' views."""

    me: str
    home: str  # its zone, where crossing zones has a price; else empty
    rings: int
    cut: dict[str, float] = field(default_factory=dict)  # empty: as without members
    moves: int = 0  # servers that came into use or went out of it, since the start
    _copies: dict[str, Copy] = field(default_factory=dict)
    _servers: dict[str, tuple[str, float]] = field(default_factory=dict)
    _at: int = 0
    _parted_at: int = -1

    def look(
        self,
        now: int,
        view: ClusterView,
        copies: Mapping[str, Copy],
        servers: Mapping[str, tuple[str, float]],
    ) -> dict[str, float] | None:
        """The parts from now on where they have changed, None where they have not; empty: as without members.

        ``copies``: of its tier, in reach, itself included; ``servers``: zone and size of all that are listed.
        """
        does = REPLICA_INDEX.reaction(view.state)
        if view.state != ViewState.PARTITIONED:
            self._parted_at = -1
        elif self._parted_at < 0:
            self._parted_at = now
        elif now - self._parted_at >= PARTED_FOR:
            does = Reaction.MOVE
        if does == Reaction.MOVE and len(copies) < 2:
            return self._become({})
        if (
            does == Reaction.MOVE
            and copies != self._copies
            and (not self._copies or now - self._at >= SETTLE)
        ):
            self._copies, self._at = dict(copies), now
        elif does not in (Reaction.MOVE, Reaction.KEEP) or not self._copies or servers == self._servers:
            return None
        self._servers = dict(servers)
        return self._become(self._cut())

    def _cut(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for copies, group in self._groups():
            if self.me in copies:
                found |= cut(self.me, copies, group, self.rings)
        return found

    def _groups(self, used: bool = False) -> Iterable[tuple[dict[str, float], dict[str, float]]]:
        """Copies, and servers that they divide: with zones, each zone's own among its copies, and among all others.

        ``used``: only those whose calls go there as long as nothing fails.
        """
        parts = parts_of(self._copies)
        if not self.home:
            yield parts, {name: size for name, (_, size) in self._servers.items()}
            return
        for zone in {zone for zone, _ in self._servers.values()}:
            group = {name: size for name, (where, size) in self._servers.items() if where == zone}
            own = {n: p for n, p in parts.items() if self._copies[n].site == zone}
            others = {n: p for n, p in parts.items() if n not in own}
            if own:
                yield own, group
            if others and not (own and used):
                yield others, group

    def _become(self, found: dict[str, float]) -> dict[str, float] | None:
        if found == self.cut:
            return None
        self.moves += len(found.keys() ^ self.cut.keys()) if found and self.cut else 0
        self.cut = found
        return found

    # ---- what operators see

    def describe(self) -> dict[str, Any]:
        """Servers by how many copies use them and their part of the calls over the fair one; copies that stand out."""
        pairs: dict[str, set[str]] = {name: set() for name in self._servers}
        load = dict.fromkeys(self._servers, 0.0)
        parts = parts_of(self._copies)
        whole = sum(parts.values())
        for copies, group in self._groups(used=True) if parts else ():
            total = sum(copies.values()) / whole
            for copy, server, length in tiles(copies, group, self.rings):
                pairs[server].add(copy)
                load[server] += length * total
        sizes = sum(size for _, size in self._servers.values())
        usual = whole / len(parts) if parts else 0.0
        return {
            "name": self.me,
            "rings": self.rings,
            "divided": bool(self.cut),
            "copies": len(self._copies),
            "moves": self.moves,
            "servers": [
                {
                    "name": name, "zone": zone, "size": size, "copies": len(pairs[name]),
                    "load_over_fair": round(load[name] * sizes / size, 3) if parts else None,
                    "own_part": round(self.cut.get(name, 0.0), 3),
                }
                for name, (zone, size) in sorted(self._servers.items())
            ],
            "stand_out": [
                {"name": name, "over_mean": round(part / usual, 2)}
                for name, part in sorted(parts.items(), key=lambda p: -p[1])[:5]
                if part > 2 * usual
            ],
        }  # fmt: skip
