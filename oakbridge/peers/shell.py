"""A member on sockets: datagrams on UDP, full exchanges on TCP at the same address, timers, the snapshot.

It decides nothing.  Everything is bounded: a datagram a turn of the loop, full exchanges so many at once and so long,
what they bring taken in pieces between turns.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import logging
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from oakbridge.node.listing import Address, parse_address
from oakbridge.peers import snapshot as snap
from oakbridge.peers.codec import Codec, PeerMessageError
from oakbridge.peers.framing import read_state, write_state
from oakbridge.peers.member import Action, Changed, Exchange, Member, Options, Replaced, Send
from oakbridge.peers.messages import MemberState, PushPullState, SiteReport
from oakbridge.peers.places import Places
from oakbridge.peers.stance import Seen, Stance, stance
from oakbridge.peers.voices import Doubt, doubts

log = logging.getLogger(__name__)

EXCHANGES = 16  # at once, each way
WITHIN_S = 3.0  # a full exchange
PIECE = 24  # records taken in one turn of the loop
TOLD_AT_ONCE, TOLD_APART_S = 16, 0.005  # members that are told directly in one turn of the loop
LOOK_S = 0.5  # stance and place
LOOK_ANYWAY = 10_000_000  # microseconds: some change by time alone
FACTS_EVERY = 4  # looks
SAVE_S = 10.0
LEAVE_S = 1.0  # what a leaving member takes to say so
RECEIVE_BUFFER = 1024 * 1024


@dataclass(frozen=True, slots=True)
class PeersOptions:
    """A member's own settings."""

    name: str
    listen: Address
    secret: bytes = field(repr=False)
    advertise: Address | None = None  # if others reach it elsewhere
    seeds: tuple[Address, ...] = ()
    more_seeds: bool = False  # others are told by ``Peers.seed``
    tags: dict[str, str] = field(default_factory=dict)
    snapshot: Path | None = None
    member: Options = Options()


def text(address: Address) -> str:
    """``IPv4:port``."""
    return f"{address[0]}:{address[1]}"


# Members' addresses come again and again; a name in one, which would have to be looked up, is refused.
place_of = functools.lru_cache(4096)(parse_address)


class Peers(asyncio.DatagramProtocol):
    """This process as a member."""

    def __init__(
        self,
        options: PeersOptions,
        facts: Callable[[], tuple[int, int, tuple[str, ...]]] | None = None,
        doubted: Callable[[dict[str, float]], None] | None = None,
    ) -> None:
        """``facts``: requests out, servers in use, servers that fail.

        ``doubted`` hears every two seconds how much others' word says of servers that they find failing.
        """
        self.options, self.codec = options, Codec(options.secret)
        self.places = Places(options.name)
        self.stance: Stance | None = None
        self.counts: Counter[str] = Counter()
        self.longest_turn = 0.0  # seconds
        self._facts, self._doubted = facts, doubted
        self.about: Callable[[], SiteReport] | None = None  # what is said of sites, if anything is
        self.direct: Callable[[], list[str]] = lambda: []  # who is told facts at once, and not by others
        self.weight: Callable[[], int] | None = None  # what is told of its requests, if anything is
        self.urgent: Callable[[], bool] = lambda: False  # whether facts are told twice as often
        self.doubts: dict[str, Doubt] = {}
        self._address = text(options.advertise or options.listen)
        self._random = random.Random()
        self._seeds: tuple[str, ...] = ()
        self._tasks: set[asyncio.Task[None]] = set()
        self._open = {"in": 0, "out": 0}
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._dirty = self._stale = True
        self._looked = 0
        self._ended = False
        self.member: Member = None  # type: ignore[assignment]  # until start

    # ---- its life

    async def start(self) -> None:
        """Listen and join.  Raises OSError, or :class:`BadSnapshot`."""
        kept = snap.load(self.options.snapshot) if self.options.snapshot is not None else snap.Snapshot()
        generation = max(kept.generation + 1, int(time.time()))
        loop = asyncio.get_running_loop()
        self.member = Member(
            self.options.name,
            self._address,
            generation,
            self.options.tags,
            self._random.getrandbits(64),
            self._now(),
            self.options.member,
        )
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.options.listen)
        sock = self._transport.get_extra_info("socket")
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        try:
            self._server = await asyncio.start_server(
                self._asked, *sock.getsockname()[:2], backlog=256, limit=256 * 1024
            )
        except OSError:
            self._transport.close()
            raise
        self._seeds = (*map(text, self.options.seeds), *kept.seeds())
        if self._seeds or not self.options.more_seeds:  # else it is not known yet whether there is anybody
            self._carry(self.member.join(self._now(), self._seeds))
        self._spawn(self._looking())
        if self.options.snapshot is not None:
            self._spawn(self._saving(self.options.snapshot))

    async def stop(self) -> None:
        """Leave on purpose, and say so for a moment."""
        if self.member is not None and not self._ended:
            self._carry(self.member.leave(self._now()))
            if self.member.alive():
                await asyncio.sleep(LEAVE_S)
        self.close()

    def close(self) -> None:
        """End at once: the others find out."""
        self._ended = True
        for task in self._tasks:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()

    def seed(self, seeds: Iterable[Address]) -> None:
        """Addresses to join by, beside those of the options and of the snapshot; in place of the ones told before."""
        self._carry(self.member.join(self._now(), (*self._seeds, *map(text, seeds))))

    @staticmethod
    def _now() -> int:
        return time.monotonic_ns() // 1000

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("membership: %s", error, exc_info=error)

    # ---- datagrams

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """One datagram; what can't be taken is counted and changes nothing."""
        try:
            message = self.codec.decode(data)
        except PeerMessageError:
            return
        began = time.perf_counter()
        self.counts["received"] += 1
        self.counts["bytes received"] += len(data)
        self._carry(self.member.receive(self._now(), text(addr[:2]), message))
        self.longest_turn = max(self.longest_turn, time.perf_counter() - began)

    def error_received(self, exc: Exception) -> None:
        """An ICMP message: nobody listens there, which the probes find out."""
        self.counts["refused"] += 1

    def _carry(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(address, message, version):
                    data = self.codec.encode(message, version)
                    self.counts["sent"] += 1
                    self.counts["bytes sent"] += len(data)
                    if self._transport is not None:
                        try:
                            self._transport.sendto(data, place_of(address))
                        except (OSError, ValueError):  # an address that someone made up
                            self.counts["could not send"] += 1
                case Exchange(address):
                    if self._open["out"] < EXCHANGES:
                        self._spawn(self._exchange(address))
                case Changed():
                    self._changed(action)
                case Replaced(address):
                    log.error(
                        "%s: %s has taken this name; this is no member any more", self.options.name, address
                    )
        self._arm()

    def _changed(self, change: Changed) -> None:
        self._dirty = self._stale = True
        level = logging.WARNING if change.after == "failed" else logging.INFO
        if (change.before, change.after) in (("alive", "suspect"), ("suspect", "alive")):
            level = logging.DEBUG
        fields = {
            "member": change.name,
            "before": change.before,
            "after": change.after,
            "by": change.by,
            "cause": change.cause,
            "at_us": time.time_ns() // 1000,
        }
        log.log(
            level,
            "member %s is %s (was %s) by the word of %s: %s",
            change.name,
            change.after,
            change.before or "not known",
            change.by or "its own",
            change.cause,
            extra=fields,
        )

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._ended:
            return
        wait = max(0, self.member.due() - self._now()) / 1e6
        self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now, began = self._now(), time.perf_counter()
        self._carry(self.member.tick(now) if self.member.due() <= now else [])
        self.longest_turn = max(self.longest_turn, time.perf_counter() - began)

    # ---- full exchanges

    async def _exchange(self, address: str) -> None:
        self._open["out"] += 1
        writer = None
        try:
            async with asyncio.timeout(WITHIN_S):
                reader, writer = await asyncio.open_connection(
                    *place_of(address), local_addr=(self.options.listen[0], 0), limit=256 * 1024
                )
                await self._write(writer)
                state = await self._read(reader)
            await self._take(state, asked=True)
            self._stale = True
        except (OSError, EOFError, TimeoutError, ValueError, PeerMessageError):
            self._carry(self.member.exchange_failed(self._now(), address))
        finally:
            self._open["out"] -= 1
            if writer is not None:
                writer.close()

    async def _asked(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._open["in"] >= EXCHANGES:
            self.counts["exchanges refused"] += 1
            writer.transport.abort()
            return
        self._open["in"] += 1
        try:
            async with asyncio.timeout(WITHIN_S):
                state = await self._read(reader)
                await self._write(writer)
            await self._take(state, asked=False)
        except (OSError, EOFError, TimeoutError, ValueError, PeerMessageError):
            self.counts["exchanges broken"] += 1
        finally:
            self._open["in"] -= 1
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        data = self.codec.encode_state(self.member.state())
        self.counts["bytes exchanged"] += len(data)
        await write_state(writer, data)

    async def _read(self, reader: asyncio.StreamReader) -> PushPullState:
        return self.codec.decode_state(await read_state(reader))

    async def _take(self, state: PushPullState, asked: bool) -> None:
        """In pieces, so that no turn of the loop is long."""
        records = state.records
        for start in range(0, max(1, len(records)), PIECE):
            piece = msgspec.structs.replace(state, records=records[start : start + PIECE])
            began = time.perf_counter()
            self._carry(self.member.exchanged(self._now(), piece, asked))
            self.longest_turn = max(self.longest_turn, time.perf_counter() - began)
            await asyncio.sleep(0)

    # ---- what follows from it

    async def _looking(self) -> None:
        for number in itertools.count():
            self._look()
            if number % FACTS_EVERY == 0 or (number % (FACTS_EVERY // 2) == 0 and self.urgent()):
                if self._facts is not None:
                    about = self.about() if self.about is not None else None
                    weight = self.weight() if self.weight is not None else 0
                    self._carry(self.member.set_fact(self._now(), *self._facts(), about, weight))
                    names = self.direct()
                    for first in range(0, len(names), TOLD_AT_ONCE):
                        self._carry(self.member.tell(self._now(), names[first : first + TOLD_AT_ONCE]))
                        await asyncio.sleep(TOLD_APART_S)
                self._listen()
            await asyncio.sleep(LOOK_S)

    def _look(self) -> None:
        """Stance and place, by what is held now; nothing is reckoned again while nothing has changed."""
        now, member = self._now(), self.member
        if not self._stale and not self.places.waiting and now - self._looked < LOOK_ANYWAY:
            return
        self._stale, self._looked = False, now
        found = stance(self.options.name, self.seen(), now, member.starting, member.replaced is not None)
        if self.stance is None or (found.kind, found.sites) != (self.stance.kind, self.stance.sites):
            log.log(
                logging.INFO if found.kind in ("whole", "starting") else logging.WARNING, "stance: %s", found
            )
        self.stance = found
        tier = self.options.tags.get("tier", "")
        names = [n for n in member.alive() if member.known[n].record.tags.get("tier", "") == tier]
        place = self.places.update(now, found, names)
        if place is not None:
            log.info("place: %d of %d", place.index, place.of)

    def _listen(self) -> None:
        """What others find failing."""
        now, kind = self._now(), self.stance.kind if self.stance is not None else "starting"
        facts = [fact for name in self.member.alive() if (fact := self.member.fact(name, now)) is not None]
        self.doubts = doubts(kind, facts, self.options.name)
        weighed = {server: doubt.weight for server, doubt in self.doubts.items() if doubt.weight}
        if weighed and self._doubted is not None:
            self._doubted(weighed)

    def seen(self) -> list[Seen]:
        """All members as they are held, but for those that left."""
        me, rows = self.member.me, []
        if self.member.replaced is None:
            rows.append(Seen(me.name, True, 0, me.tags.get("site", "")))
        for name, known in self.member.known.items():
            record = known.record
            if record.state != MemberState.LEFT:
                rows.append(
                    Seen(name, known.there, known.since, record.tags.get("site", ""), record.reported_by)
                )
        return rows

    async def _saving(self, path: Path) -> None:
        while True:
            if self._dirty:
                self._dirty = False
                members = tuple((n, self.member.known[n].record.address) for n in self.member.alive())
                try:
                    await asyncio.to_thread(
                        snap.save, path, snap.Snapshot(self.member.me.generation, members)
                    )
                except OSError as e:
                    log.warning("the snapshot was not kept: %s: %s", path, e.strerror or e)
            await asyncio.sleep(SAVE_S)

    # ---- what operators see

    def describe(self) -> dict[str, Any]:
        """All members and how they came to be held so."""
        now, me = self._now(), self.member.me
        rows = [
            {
                "name": me.name,
                "site": me.tags.get("site", ""),
                "state": "this node",
                "since_s": 0.0,
                "by": "",
                "incarnation": me.incarnation,
                "version": me.tags.get("version", ""),
                "address": me.address,
                "life": me.generation,
            }
        ]
        for name in sorted(self.member.known):
            known = self.member.known[name]
            record, fact = known.record, self.member.fact(name, now)
            row: dict[str, Any] = {
                "name": name,
                "site": record.tags.get("site", ""),
                "state": record.state.label,
                "since_s": round((now - known.since) / 1e6, 1),
                "by": record.reported_by,
                "incarnation": record.incarnation,
                "version": record.tags.get("version", ""),
                "address": record.address,
                "life": record.generation,
            }
            if fact is not None:
                row["load"], row["copies"] = fact[0].in_flight, fact[0].subset_size
                row["failing"], row["fact_age_s"] = list(fact[0].failing_servers), round(fact[1] / 1e6, 1)
            rows.append(row)
        place = self.places.now
        return {
            "name": me.name,
            "stance": None if self.stance is None else str(self.stance),
            "kind": None if self.stance is None else self.stance.kind,
            "place": None if place is None else [place.index, place.of],
            "health": self.member.health,
            "doubted": [
                {
                    "server": server,
                    "weight": round(d.weight, 2),
                    "voices": round(d.voices, 2),
                    "by": list(d.by[:8]),
                }
                for server, d in sorted(self.doubts.items(), key=lambda item: (-item[1].weight, item[0]))
            ],
            "members": rows,
            "counts": {
                **self.counts,
                **self.member.counts,
                **{f"dropped: {k}": n for k, n in self.codec.rejected.items()},
            },
            "longest_turn_ms": round(self.longest_turn * 1e3, 3),
        }

    def why(self, name: str) -> list[dict[str, Any]]:
        """How this node came to hold what it holds of one member, oldest first.  Raises KeyError."""
        now = self._now()
        return [
            {
                "ago_s": round((now - c.at) / 1e6, 1),
                "before": c.before,
                "after": c.after,
                "by": c.by,
                "cause": c.cause,
                "address": c.address,
            }
            for c in self.member.known[name].history
        ]
