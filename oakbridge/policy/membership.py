"""The servers that a copy may send to, arranged so that no decision's cost grows with their number.

Members are in the subset or spare; each side keeps the ejected apart, and those of the own zone.  A draw is
weighted by size.  A side of few is looked at in full; of a large one a bounded number is drawn, then a part
of a ring is looked through, which goes on where it stopped: each has its turn.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterator
from typing import Any

from oakbridge.policy.events import AttemptResult, Endpoint
from oakbridge.policy.weighted_pool import WeightedPool

SECOND = 1_000_000
SCORE_LOW, EJECT_FOR = -2.0, SECOND
SMALL = 32  # a side of so many members is looked at in full
TRIES, LOOKS = 24, 64  # of a larger one: draws, then members of the ring, for one request


class Server:
    """What this copy knows of one server: what discovery said, own calls out, and how they ended."""

    __slots__ = ("id", "zone", "cell", "size", "started", "out", "score", "scored_at", "ejected_until",
                 "eject_for", "last_sent", "tokens", "tokens_at", "cap", "answered", "slowness",
                 "paced", "queued", "reported", "gone", "joined", "place", "side", "pool",
                 "slot", "doubt", "doubted_until", "failed_at", "mute")  # fmt: skip

    def __init__(self, entry: Endpoint, size: float = 1.0) -> None:
        self.id = entry.id
        self.out: dict[tuple[int, int], Attempt] = {}  # unanswered calls, oldest first
        self.last_sent = self.answered = self.reported = self.slot = 0
        self.queued = 0.0  # requests that wait there, by its last report
        self.started, self.place = -1, ""
        self.joined = 0  # the version since which it has been listed without a break
        self.side: Side | None = None  # the subset or the spare ones, while it is listed
        self.pool: WeightedPool[Server]  # where it is drawn from, while it is listed
        self.relist(entry, size)

    def relist(self, entry: Endpoint, size: float = 1.0) -> None:
        """Take changed facts over; a server that has restarted starts with a clean record."""
        self.zone, self.cell, self.size, self.gone = entry.zone, entry.cell, size, False
        if entry.started_at != self.started or entry.address != self.place:
            self.started, self.place = entry.started_at, entry.address
            self.score, self.scored_at = SCORE_LOW, 0
            self.ejected_until, self.eject_for = 0, EJECT_FOR
            self.doubt, self.doubted_until = 0.0, 0  # by others' word, 0 to 1
            self.failed_at, self.mute = 0, False  # its last failure, and whether it was silence
            self.tokens, self.tokens_at = 0.0, -1
            self.slowness, self.paced = 1.0, 0  # see Balancer.slowness
            self.cap = math.inf  # own calls out that it takes, once it has turned one away

    def same_group(self, where: tuple[str, int], group: str) -> bool:
        """Whether it drops repeats of a keyed request that was sent to that zone and cell."""
        return group == "all" or (self.zone == where[0] if group == "zone" else self.cell == where[1])


class Attempt:
    """One attempt of a request."""

    __slots__ = ("server", "sent", "result", "answers", "where", "off")

    def __init__(self, server: Server, sent: int, answers: int) -> None:
        self.server, self.sent, self.answers, self.where = server, sent, answers, (server.zone, server.cell)
        self.result: AttemptResult | None = None
        self.off = False  # called off to go elsewhere


class Side:
    """The subset, or the spare servers: pools of (own zone, the rest), each with one of the ejected."""

    __slots__ = ("near", "far", "near_out", "far_out", "cursor")

    def __init__(self) -> None:
        self.near, self.far, self.near_out, self.far_out = (
            WeightedPool[Server](),
            WeightedPool[Server](),
            WeightedPool[Server](),
            WeightedPool[Server](),
        )
        self.cursor = 0

    def __len__(self) -> int:
        """All members, the ejected among them."""
        return self.near.count + self.far.count + self.near_out.count + self.far_out.count

    def pools(self, whole: bool) -> tuple[WeightedPool[Server], ...]:
        """Those to draw from; ``whole``: with the ejected."""
        return (self.near, self.far, self.near_out, self.far_out) if whole else (self.near, self.far)

    def members(self, whole: bool) -> list[Server]:
        """All of them in one list."""
        return [s for pool in self.pools(whole) for group in pool.groups.values() for s in group]

    def draw(self, rng: random.Random, whole: bool) -> Server:
        """One by size."""
        if not whole and not self.far.count:
            return self.near.draw(rng)
        pools = [pool for pool in self.pools(whole) if pool.count]
        if len(pools) == 1:
            return pools[0].draw(rng)
        left = rng.random() * sum(pool.total for pool in pools)
        for pool in pools:
            left -= pool.total
            if left < 0:
                break
        return pool.draw(rng)

    def ring(self, whole: bool) -> list[Server]:
        """The next so many members of a walk that goes on with each call and comes to all in turn."""
        groups = [group for pool in self.pools(whole) for group in pool.groups.values()]
        count = sum(map(len, groups))
        start = self.cursor % max(1, count)
        self.cursor = start + LOOKS
        found, most = list[Server](), min(LOOKS, count)
        for group in (*groups, *groups):  # twice: from where it stopped to the end, and on from the beginning
            if start < len(group):
                found += group[start : start + most - len(found)]
                start = 0
                if len(found) == most:
                    break
            else:
                start -= len(group)
        return found

    def offer(self, rng: random.Random, home: bool, whole: bool = False) -> Iterator[Server]:
        """Members in a random order, larger ones likelier first; ``home``: one of the own zone before all."""
        head, behind = None, 0.0  # the first of the own zone, and how far behind the start its zone begins
        if home and self.near.count:
            yield (head := self.near.draw(rng))
            behind = rng.expovariate(self.near.total)
        count = sum(pool.count for pool in self.pools(whole))
        if count <= SMALL:
            rest = [s for s in self.members(whole) if s is not head]
            yield from shuffled(rest, rng, lambda s: behind if s.pool in (self.near, self.near_out) else 0.0)
            return
        seen = {head}
        at, left = 0.0, self.far.total
        for _ in range(TRIES):
            # Those of the own zone come behind the first of them: until then only others are drawn.
            far = at < behind and left > 0 and (at := at + rng.expovariate(left)) < behind
            s = self.far.draw(rng) if far else self.draw(rng, whole)
            if s not in seen:
                seen.add(s)
                yield s
        for s in shuffled(self.ring(whole), rng):
            if s not in seen:
                yield s


def shuffled(
    members: list[Server], rng: random.Random, behind: Callable[[Server], float] = lambda _: 0.0
) -> list[Server]:
    """All of them in random order, larger ones likelier first; a race in which some begin ``behind``."""
    return sorted(members, key=lambda s: rng.expovariate(s.size) + behind(s))


class Membership:
    """All listed servers by side, zone, cell, and the version of the list since which they are on it."""

    def __init__(self, home: str) -> None:
        """``home``: the own zone, where crossing zones has a price; else empty."""
        self.home = home
        self.servers: dict[str, Server] = {}
        self.subset, self.spare = Side(), Side()
        self.by_zone: dict[str, dict[str, Server]] = {}
        self.by_cell: dict[int, dict[str, Server]] = {}
        self.by_version: dict[int, dict[str, Server]] = {}  # oldest first: versions only grow
        self.benched: list[tuple[int, int, Server]] = []  # the ejected, by when they come back
        self.benchings = 0

    def add(self, s: Server, now: int, side: Side) -> None:
        """List a server, on that side."""
        self.servers[s.id] = s
        self._index(s)
        self._enter(s, side, now)

    def remove(self, s: Server) -> None:
        """List a server no more."""
        if self.servers.pop(s.id, None) is not None:
            s.pool.remove(s)
            self._index(s, (s.zone, s.cell, s.joined), gone=True)
            s.side = None

    def relist(self, s: Server, entry: Endpoint, size: float, joined: int, now: int) -> None:
        """Take changed facts over; ``joined``: the version of the list since which it is on it."""
        if s.id not in self.servers or (side := s.side) is None:
            s.relist(entry, size)
            s.joined = joined
            return
        same = (s.zone, s.cell, s.size, s.joined) == (entry.zone, entry.cell, size, joined)
        if same and s.started == entry.started_at and s.place == entry.address:
            s.gone = False
            return
        s.pool.remove(s)
        before = s.zone, s.cell, s.joined
        s.relist(entry, size)
        s.joined = joined
        self._index(s, before)
        self._enter(s, side, now)

    def move(self, s: Server, side: Side, now: int) -> None:
        """Put a server on the other side."""
        s.pool.remove(s)
        self._enter(s, side, now)

    def weigh(self, s: Server, size: float, now: int) -> None:
        """Have it count as so large."""
        if s.side is not None and s.size != size:
            s.pool.remove(s)
            s.size = size
            self._enter(s, s.side, now)

    def judged(self, s: Server, now: int) -> None:
        """Its ejection may have begun or ended."""
        if s.side is None:
            return
        ejected = s.ejected_until > now
        if ejected != (s.pool in (s.side.near_out, s.side.far_out)):
            self.move(s, s.side, now)
        elif ejected:
            self._bench(s)  # for another time than before

    def come_back(self, now: int) -> None:
        """Have those back whose ejection is over."""
        while self.benched and self.benched[0][0] <= now:
            s = heapq.heappop(self.benched)[2]
            if s.ejected_until <= now:  # else it was ejected anew, and has a later entry
                self.judged(s, now)

    def ejected(self) -> int:
        """How many are ejected."""
        return sum(side.near_out.count + side.far_out.count for side in (self.subset, self.spare))

    def oldest(self) -> float:
        """The version since which some server is listed without a break; infinity without servers."""
        return next(iter(self.by_version), math.inf)

    def group(self, where: tuple[str, int], group: str) -> dict[str, Server]:
        """The servers that drop repeats of what was sent to that zone and cell."""
        return (self.by_zone.get(where[0]) if group == "zone" else self.by_cell.get(where[1])) or {}

    def since(self, version: int) -> list[Server]:
        """Those that are listed since that version or longer; so many that a longer list means "many"."""
        found = list[Server]()
        for joined, servers in self.by_version.items():
            if joined > version or len(found) > LOOKS:
                break
            found += servers.values()
        return found

    # ---- parts

    def _enter(self, s: Server, side: Side, now: int) -> None:
        near, out = not self.home or s.zone == self.home, s.ejected_until > now
        s.side = side
        ((side.near_out if near else side.far_out) if out else (side.near if near else side.far)).add(s)
        if out:
            self._bench(s)

    def _bench(self, s: Server) -> None:
        self.benchings += 1
        heapq.heappush(self.benched, (s.ejected_until, self.benchings, s))

    def _index(self, s: Server, before: tuple[str, int, int] | None = None, gone: bool = False) -> None:
        """Have it under its zone, cell and version, and no more under those that it had before."""
        indexes: tuple[dict[Any, dict[str, Server]], ...] = self.by_zone, self.by_cell, self.by_version
        now = s.zone, s.cell, s.joined
        for place, index in enumerate(indexes):
            if before is not None and (gone or before[place] != now[place]):
                del index[before[place]][s.id]
                if not index[before[place]]:
                    del index[before[place]]
            if not gone and (before is None or before[place] != now[place]):
                index.setdefault(now[place], {})[s.id] = s
