"""One member: probes, suspicion, refutation, news.  Pure: messages and the time in, actions out.

SWIM with Lifeguard's corrections, and six of our own, each for one of the ways in which members are wrong:

- A process that was frozen or starved of its processor finds all its time-outs past at once.  A timer that fires late
  moves all others by as much: time in which the process did not run does not count against others.
- Word that a member has failed, about one held for alive, is only an accusation: it begins a suspicion of the shortest
  kind, and the accused is told at once.  So two parts that were cut off from each other heal without calling their own
  neighbours failed.
- How suspicions ended lately tells how long the next one lasts: on a lossy network they are refuted.
- Whoever was called failed was told no news meanwhile: it asks for all that there is, until it has had it.
- Members that failed are looked at now and then, one by one, so that a part that was cut off is found again.
- A name that is taken by a later start: see ``record``.

Times are microseconds of a clock that never goes back.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from oakbridge.peers.codec import HEADER_BYTES, MAX_DATAGRAM_BYTES, NEWEST_VERSION
from oakbridge.peers.messages import (
    Datagram,
    MemberRecord,
    MemberState,
    MessageKind,
    NodeReport,
    PushPullState,
    SiteReport,
    Tags,
)
from oakbridge.peers.news import News, tellings
from oakbridge.peers.suspicion import BETA, ENOUGH, Suspicion, least

MOST_HEALTH = 8  # Lifeguard's S
SILENT_HEALTH = 1  # as far as the silence of others goes; late timers, which can only be our own doing, go on
MOST_PATIENCE = 3.0  # suspicions last so much longer, where all of them were refuted lately
LEARN = 0.1
RELAYS = 256  # indirect probes for others at once
HISTORY = 8  # changes of one member that are kept, for `peers why`
CATCH_UP = 4_000_000  # until it asks another one, twice as long each time: after a heal many do at once
KNOCK_EVERY = 2_000_000  # at most one full exchange that is not due in so long
LATE_PART = 0.4  # of the probe's time-out: a timer that fires later than this tells of a starved process
ROOM = (
    MAX_DATAGRAM_BYTES - HEADER_BYTES - 180
)  # for news; the rest are the fields of the longest names and addresses

_encode = msgspec.msgpack.Encoder().encode


@dataclass(frozen=True, slots=True)
class Options:
    """What can be set.  Times in microseconds."""

    period: int = 500_000  # a probe each
    probe_timeout: int = 200_000  # until others are asked to probe
    indirect: int = 3  # so many of them
    gossip: int = 200_000  # while there is news, it is sent so often
    fanout: int = 3  # to so many
    exchange: int = 30_000_000  # a full exchange; with more than 64 members in proportion rarer
    reach: int = 4_000_000  # one that failed is looked at
    forget: int = 24 * 3_600_000_000  # one that failed or left is remembered
    most: int = 10_000  # members, those that failed or left included
    local_health: bool = True
    speaks: int = NEWEST_VERSION


@dataclass(frozen=True, slots=True)
class Send:
    """Send this message."""

    address: str
    message: Datagram
    version: int


@dataclass(frozen=True, slots=True)
class Exchange:
    """Exchange all that is known with whoever is at this address; ``Member.exchanged`` hears of the end."""

    address: str


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state has changed.  ``before`` is "" for one that was not known."""

    at: int
    name: str
    before: str
    after: str
    by: str  # by whose word
    cause: str
    address: str


@dataclass(frozen=True, slots=True)
class Replaced:
    """A later start has taken this member's name: it is no member any more."""

    by_address: str


Action = Send | Exchange | Changed | Replaced
Timer = Literal[
    "probe", "ask", "catch up", "suspicion", "gossip", "exchange", "reach", "relay", "join", "forget"
]


@dataclass(slots=True)
class Known:
    """What is held of one other member."""

    record: MemberRecord
    since: int  # when it came into its state
    told: int = -(2**62)  # when it was last told what is said of it, unasked
    suspicion: Suspicion | None = None
    fact: NodeReport | None = None
    fact_at: int = 0
    history: tuple[Changed, ...] = ()  # thousands of members have none

    @property
    def there(self) -> bool:
        """Held for alive; a suspected one is, until its time is over."""
        return self.record.state <= MemberState.SUSPECT


@dataclass(slots=True)
class _Probe:
    target: str
    seq: int
    helpers: list[str] = field(default_factory=list)
    nacks: int = 0
    acked: bool = False


class Member:
    """This process as a member, and all that it holds of the others."""

    def __init__(
        self,
        name: str,
        address: str,
        generation: int,
        tags: Tags,
        seed: int,
        now: int,
        options: Options | None = None,
    ) -> None:
        """``generation``: above that of earlier starts as far as is known, such as the time of day."""
        self.options = options or Options()
        self._random = random.Random(seed)
        token = self._random.getrandbits(62)
        self.me = MemberRecord(
            name, address, generation, token, 0, MemberState.ALIVE, "", self.options.speaks, tags
        )
        self.known: dict[str, Known] = {}
        self.health = 0  # Lifeguard's multiplier less one: 0 is well
        self.starting = True  # until a first exchange
        self.replaced: MemberRecord | None = None
        self.left = False
        self._behind = (
            0  # held for failed, it has asked so often for the news that went past it; 0: it has them
        )
        self._failed_as = -1  # the last incarnation in which it was
        self.counts: Counter[str] = Counter()
        self._seeds: list[str] = []
        self._tries = 0
        self._news: News[MemberRecord] = News(self.options.most + 1)
        self._facts: News[str] = News(self.options.most + 1)
        self._my_fact: NodeReport | None = None
        self._my_fact_at = 0
        self._order: list[str] = []
        self._there: list[str] = []  # names held for alive, for draws
        self._place: dict[str, int] = {}  # in that list
        self._probe: _Probe | None = None
        self._refuted, self._refuted_at = 0.0, now
        self._seq = 0
        self._relays: dict[int, tuple[str, int, str]] = {}  # our number: (who asked, its number, target)
        self._knocked = now - KNOCK_EVERY
        self._heap: list[tuple[int, int, Timer, str | int]] = []
        self._timers = 0
        self._gossiping = False
        self._out: list[Action] = []
        self._tell(self.me)
        self._at(now + self._random.randrange(self.options.period), "probe")
        self._at(now + self._pause(self.options.reach), "reach")
        self._at(now + self._pause(self.options.exchange), "exchange")
        self._at(now + self.options.forget // 24, "forget")
        self._gossip_soon(now)

    # ---- what others ask

    def alive(self) -> list[str]:
        """The names held for alive, without this one's."""
        return list(self._there)

    def count(self) -> int:
        """Members held for alive, this one included."""
        return len(self._there) + 1

    def due(self) -> int:
        """When ``tick`` has to be called next."""
        return self._heap[0][0]

    def state(self) -> PushPullState:
        """All that is known, for a full exchange."""
        records = (self.me, *(k.record for k in self.known.values()))
        return PushPullState(self.me.name, self.me.generation, records)

    def fact(self, name: str, now: int) -> tuple[NodeReport, int] | None:
        """What a member said of its present, and how old that is in microseconds."""
        if name == self.me.name:
            return None if self._my_fact is None else (self._my_fact, now - self._my_fact_at)
        known = self.known.get(name)
        if known is None or known.fact is None:
            return None
        return known.fact, known.fact.age_ms * 1000 + now - known.fact_at

    # ---- what happens

    def join(self, now: int, seeds: Iterable[str]) -> list[Action]:
        """Take up with the members at these addresses; with none that is another this member begins alone.

        Called again, other addresses take their place; a start that is under way goes on with them.
        """
        self._seeds = [s for s in dict.fromkeys(seeds) if s != self.me.address]
        if not self._seeds:
            self.starting = False
        elif self.starting and not self._tries:
            self._join(now)
        return self._done()

    def acquaint(self, now: int, records: Iterable[MemberRecord]) -> None:
        """Hold these for known to everybody, as after a long rest together: none of it is news."""
        for record in records:
            if record.name != self.me.name and record.name not in self.known:
                self.known[record.name] = Known(record, now)
                self._place[record.name] = len(self._there)
                self._there.append(record.name)
        self._news.drop(self.me.name)
        self.starting = False

    def leave(self, now: int) -> list[Action]:
        """Leave on purpose: told to some at once, and to the rest by them."""
        if self.replaced is None and not self.left:
            self.left = True
            self.me = msgspec.structs.replace(
                self.me, incarnation=self.me.incarnation + 1, state=MemberState.LEFT
            )
            self._tell(self.me)
            for name in self._draw(4 * self.options.fanout):
                self._send(self.known[name].record, MessageKind.GOSSIP, 0, now, first=self.me)
        return self._done()

    def set_fact(
        self, now: int, load: int, copies: int, failing: tuple[str, ...],
        about: SiteReport | None = None, weight: int = 0,
    ) -> list[Action]:  # fmt: skip
        """What is so at present; told where there is room."""
        number = self._my_fact.sequence + 1 if self._my_fact is not None else 1
        self._my_fact = NodeReport(
            self.me.name, self.me.generation, number, 0, load, copies, failing[:8], about, weight
        )
        self._my_fact_at = now
        self._facts.put(self.me.name, self.me.name, len(_encode(self._my_fact)))
        return self._done()

    def tell(self, now: int, names: Iterable[str]) -> list[Action]:
        """Tell these what is so at present, directly: by others it comes the later the more members there are."""
        if not self.left and self.replaced is None and self._my_fact is not None:
            for name in names:
                if (known := self.known.get(name)) is not None and known.there:
                    self._compose(
                        known.record.address,
                        known.record.max_version,
                        None,
                        MessageKind.GOSSIP,
                        0,
                        now,
                        own=True,
                    )
        return self._done()

    def exchanged(self, now: int, state: PushPullState, asked: bool) -> list[Action]:
        """A full exchange brought this; ``asked``: this member began it."""
        if self.left or self.replaced is not None:
            return self._done()
        self._woke(now)
        for record in state.records:
            self._hear(now, record, state.sender, "full exchange")
        for fact in state.reports:
            self._hear_fact(now, fact)
        if asked:
            self.starting, self._behind = False, 0
        return self._done()

    def exchange_failed(self, now: int, address: str) -> list[Action]:
        """A full exchange came to nothing."""
        self.counts["exchanges failed"] += 1
        return self._done()

    def receive(self, now: int, source: str, message: Datagram) -> list[Action]:
        """A datagram."""
        if self.left or self.replaced is not None:
            return self._done()
        self._woke(now)
        if message.sender == self.me.name:
            self.counts["own name"] += 1  # another of this name; records decide which one stays
            return self._done()
        known = self.known.get(message.sender)
        if known is not None and known.record.generation > message.generation:
            self.counts["of old lives"] += 1  # it has been replaced, and is told
            self._compose(source, known.record.max_version, known.record, MessageKind.GOSSIP, 0, now)
            return self._done()
        for record in message.records:
            self._hear(now, record, message.sender, "news")
        for fact in message.reports:
            self._hear_fact(now, fact)
        known = self.known.get(message.sender)
        if known is None or known.record.generation < message.generation:
            self._knock(now, source)
        match message.kind:
            case MessageKind.PING:
                self._pinged(now, source, message, known)
            case MessageKind.ACK:
                self._acked(now, message)
            case MessageKind.PING_REQ:
                self._asked(now, source, message)
            case MessageKind.NACK:
                if self._probe is not None and self._probe.seq == message.sequence:
                    self._probe.nacks += 1
            case _:
                # It does not know what is said of it; seldom, as it may hold the same of us and answer likewise.
                if known is not None and not known.there and now - known.told >= self.options.probe_timeout:
                    known.told = now
                    self._send(known.record, MessageKind.GOSSIP, 0, now)
        return self._done()

    def tick(self, now: int) -> list[Action]:
        """Time has come to ``due``, or is past it."""
        self._woke(now)
        while self._heap[0][0] <= now:
            _, _, kind, key = heapq.heappop(self._heap)
            self._fire(now, kind, key)
        return self._done()

    # ---- timers

    def _woke(self, now: int) -> None:
        """Look, before anything else is done, whether this process did not run: that time counts against nobody."""
        late = now - self._heap[0][0]
        if self.options.local_health and late > self.options.probe_timeout * LATE_PART:
            self.counts["late"] += 1
            self._feel(1)
            self._heap = [(when + late, n, kind, key) for when, n, kind, key in self._heap]
            heapq.heapify(self._heap)
            for known in self.known.values():
                if known.suspicion is not None:
                    known.suspicion.began += late

    def _at(self, when: int, kind: Timer, key: str | int = 0) -> None:
        self._timers += 1
        heapq.heappush(self._heap, (when, self._timers, kind, key))

    def _pause(self, mean: int) -> int:
        """Between half of it and half more, so that members do not move in step."""
        return mean // 2 + self._random.randrange(mean)

    def _fire(self, now: int, kind: Timer, key: str | int) -> None:
        over = self.left or self.replaced is not None
        match kind:
            case "probe":
                if not over:
                    self._next_probe(now)
                self._at(now + self.options.period * (self.health + 1), "probe")
            case "ask":
                if not over:
                    self._ask_others(now, key)
            case "suspicion":
                if not over:
                    self._suspicion_over(now, str(key))
            case "gossip":
                self._gossip(now)
            case "exchange":
                if not over and self._there:
                    self._knock(now, self.known[self._random.choice(self._there)].record.address)
                rarer = max(1, self.count() // 64)
                self._at(now + self._pause(self.options.exchange * rarer), "exchange")
            case "reach":
                if not over:
                    self._reach(now)
                self._at(now + self._pause(self.options.reach), "reach")
            case "relay":
                asked = self._relays.pop(int(key), None)
                if asked is not None and not over and (known := self.known.get(asked[0])) is not None:
                    self._send(known.record, MessageKind.NACK, asked[1], now)
            case "catch up":
                if self._behind and key == self._failed_as and not over:
                    self._catch_up(now)
            case "join":
                if self.starting and not over:
                    self._join(now)
            case _:
                self._forget(now)
                self._at(now + self.options.forget // 24, "forget")

    def _join(self, now: int) -> None:
        """One seed after another, in a random order, ever more slowly."""
        if self._tries % len(self._seeds) == 0:
            self._random.shuffle(self._seeds)
        self._out.append(Exchange(self._seeds[self._tries % len(self._seeds)]))
        self._tries += 1
        self._at(now + self._pause(min(5_000_000, 250_000 * 2 ** min(self._tries, 5))), "join")

    def _catch_up(self, now: int) -> None:
        """Ask one that is there for all that it knows, and another one if that comes to nothing."""
        if self._there:
            self._out.append(Exchange(self.known[self._random.choice(self._there)].record.address))
        self._at(now + self._pause(CATCH_UP << min(self._behind, 4)), "catch up", self._failed_as)
        self._behind += 1

    def _feel(self, change: int) -> None:
        if self.options.local_health:
            self.health = min(MOST_HEALTH, max(0, self.health + change))

    # ---- probes

    def _next_probe(self, now: int) -> None:
        probe = self._probe
        if probe is not None and not probe.acked:
            # A helper that hears us says so in any case: if all are silent, it may be ourselves (Lifeguard, IV-A).
            # It may as well be that we are cut off, and slowness would only delay finding it out: so only a bit.
            if not probe.nacks and self.health < SILENT_HEALTH:
                self._feel(1)
            self._suspect(now, probe.target)
        self._probe = None
        target = self._next_target()
        if target is None:
            return
        self._seq += 1
        self._probe = _Probe(target, self._seq)
        self._send(self.known[target].record, MessageKind.PING, self._seq, now, target=target)
        self._at(now + self.options.probe_timeout * (self.health + 1), "ask", self._seq)

    def _next_target(self) -> str | None:
        """Round by round, each round in a new order: nobody waits longer than two rounds (SWIM, 4.3)."""
        for _ in range(2):
            while self._order:
                name = self._order.pop()
                if name in self._place and not self._settled(name):
                    return name
            self._order = list(self._there)
            self._random.shuffle(self._order)
        return None

    def _settled(self, name: str) -> bool:
        """Suspected by as many as count: where many fail at once, probes go to those of whom nothing is known yet."""
        suspicion = self.known[name].suspicion
        return suspicion is not None and len(suspicion.accusers) > suspicion.enough

    def _ask_others(self, now: int, key: str | int) -> None:
        probe = self._probe
        if probe is None or probe.seq != key or probe.acked or probe.target not in self._place:
            return
        target = self.known[probe.target].record
        for name in self._draw(self.options.indirect, besides=probe.target, well=True):
            probe.helpers.append(name)
            record = self.known[name].record
            self._send(
                record, MessageKind.PING_REQ, probe.seq, now, target=probe.target, address=target.address
            )

    def _asked(self, now: int, source: str, message: Datagram) -> None:
        if len(self._relays) >= RELAYS or message.sender not in self.known or not message.target_address:
            self.counts["relays refused"] += len(self._relays) >= RELAYS
            return
        self._seq += 1
        self._relays[self._seq] = (message.sender, message.sequence, message.target)
        known = self.known.get(message.target)
        if known is not None and known.record.address == message.target_address:
            self._send(known.record, MessageKind.PING, self._seq, now, target=message.target)
        else:
            self._compose(
                message.target_address, 1, None, MessageKind.PING, self._seq, now, target=message.target
            )
        self._at(now + self.options.probe_timeout * 4 // 5 * (self.health + 1), "relay", self._seq)

    def _pinged(self, now: int, source: str, message: Datagram, known: Known | None) -> None:
        if message.target != self.me.name:
            self.counts["not for me"] += 1  # another had this address before
            return
        version = known.record.max_version if known is not None else 1
        first = known.record if known is not None and known.record.state != MemberState.ALIVE else None
        self._compose(source, version, first, MessageKind.ACK, message.sequence, now)

    def _acked(self, now: int, message: Datagram) -> None:
        asked = self._relays.pop(message.sequence, None)
        if asked is not None:
            if asked[2] == message.sender and (known := self.known.get(asked[0])) is not None:
                self._send(known.record, MessageKind.ACK, asked[1], now)
            return
        probe = self._probe
        if probe is not None and probe.seq == message.sequence and not probe.acked:
            probe.acked = True
            self._feel(-1)

    def _reach(self, now: int) -> None:
        """Look at one that failed: it may have been cut off, and be there again."""
        gone = [n for n, k in self.known.items() if k.record.state == MemberState.FAILED]
        # A fleet whose first members met in pairs is several fleets until the seeds have met, too.
        there = {k.record.address for k in self.known.values() if k.there}
        strangers = sorted(s for s in self._seeds if s not in there)
        if not gone and not strangers:
            return
        number = self._random.randrange(len(gone) + len(strangers))
        if number < len(gone):
            self._send(self.known[gone[number]].record, MessageKind.PING, 0, now, target=gone[number])
        else:
            self._knock(now, strangers[number - len(gone)])

    # ---- what is heard

    def _hear(self, now: int, record: MemberRecord, via: str, how: str) -> None:
        if record.name == self.me.name:
            return self._about_me(now, record)
        known = self.known.get(record.name)
        if known is None:
            return self._meet(now, record, via, how)
        old = known.record
        same = old.process_key == record.process_key
        if same and record.precedence == old.precedence and old.state == MemberState.SUSPECT:
            return self._confirm(now, known, record.reported_by)
        if not record.supersedes(old):
            return
        if same:
            if (
                record.state != MemberState.ALIVE
            ):  # sayings of others come without what only the member itself can change
                record = msgspec.structs.replace(record, tags=old.tags, address=old.address)
            if record.state == MemberState.FAILED and old.state <= MemberState.SUSPECT:
                return self._accused(now, known, record, via)
        cause = "a new process of this name" if not same else how
        self._set(now, known, record, record.reported_by or via, cause)

    def _accused(self, now: int, known: Known, record: MemberRecord, via: str) -> None:
        """Someone says that it has failed."""
        # Told while it is suspected, or told again, a verdict shortens nothing: after a heal it often comes before the
        # refutation, which has the shortest time since the suspicion began in any case.
        if known.suspicion is None:
            self._set(
                now,
                known,
                record.with_state(MemberState.SUSPECT, record.reported_by),
                record.reported_by or via,
                "called failed, not by us",
            )
            self._send(known.record, MessageKind.PING, 0, now, target=record.name)
        suspicion = known.suspicion
        if suspicion is None or suspicion.accused:
            return
        suspicion.enough, suspicion.accused = 0, True  # nothing more is needed: the shortest time
        if suspicion.ends() <= now:
            return self._set(now, known, record, record.reported_by or via, "heard it while suspecting it")
        self._at(suspicion.ends(), "suspicion", record.name)

    def _meet(self, now: int, record: MemberRecord, via: str, how: str) -> None:
        if len(self.known) + 1 >= self.options.most and not self._make_room(record):
            self.counts["full"] += 1
            return
        known = self.known[record.name] = Known(record, now)
        if record.state == MemberState.SUSPECT:
            self._doubt(now, known, record.reported_by)
        self._listed(record.name, known.there)
        self._told(now, known, "", record.reported_by or via, f"first heard of by {how}")
        self._tell(record)
        self._gossip_soon(now)

    def _make_room(self, record: MemberRecord) -> bool:
        """Forget the one that has been gone longest, for one that is there."""
        if record.state > MemberState.SUSPECT:
            return False
        gone = [(k.since, n) for n, k in self.known.items() if not k.there]
        if gone:
            del self.known[min(gone)[1]]
        return bool(gone)

    def _about_me(self, now: int, record: MemberRecord) -> None:
        mine = self.me
        if record.process_key < mine.process_key:
            return self._tell(mine)
        if record.process_key == mine.process_key:
            if record.state == MemberState.FAILED and record.incarnation > self._failed_as:
                self._failed_as = record.incarnation
                self._behind = 0
                self._catch_up(now)
            if record.incarnation < mine.incarnation or (
                record.state == MemberState.ALIVE and record == mine
            ):
                return
            if record.state == MemberState.ALIVE and record.incarnation == mine.incarnation:
                return
            self.counts["refuted"] += 1
            self._feel(1)
            self._raise(now, mine.generation, record.incarnation + 1)
        elif self.starting or record.state > MemberState.SUSPECT or record.address == mine.address:
            # Nobody lives at this address but this process: that is its own past, of which its seeds did not know.
            self.counts["lives"] += 1
            self._raise(now, record.generation + 1, 0)
        elif self.replaced is None:
            self.replaced = record
            self._out.append(Replaced(record.address))

    def _raise(self, now: int, generation: int, incarnation: int) -> None:
        self.me = msgspec.structs.replace(self.me, generation=generation, incarnation=incarnation)
        self._tell(self.me)
        self._gossip_soon(now)

    def _hear_fact(self, now: int, fact: NodeReport) -> None:
        known = self.known.get(fact.name)
        if known is None or fact.generation != known.record.generation:
            return
        if known.fact is None or fact.precedence > known.fact.precedence:
            known.fact, known.fact_at = fact, now
            self._facts.put(fact.name, fact.name, len(_encode(fact)) + 3)

    # ---- what is held

    def _suspect(self, now: int, name: str) -> None:
        known = self.known.get(name)
        if known is None or not known.there:
            return
        if known.record.state == MemberState.SUSPECT:
            return self._confirm(now, known, self.me.name)
        record = known.record.with_state(MemberState.SUSPECT, self.me.name)
        self._set(now, known, record, self.me.name, "no answer to a probe, nor by others")

    def _confirm(self, now: int, known: Known, accuser: str) -> None:
        if known.suspicion is not None and known.suspicion.confirm(accuser):
            self._at(max(now, known.suspicion.ends()), "suspicion", known.record.name)
            self._tell(
                known.record.with_state(MemberState.SUSPECT, accuser)
            )  # so that others can count it too
            self._gossip_soon(now)

    def _doubt(self, now: int, known: Known, accuser: str) -> None:
        shortest = round(
            least(self.count(), self.options.period) * (1 + MOST_PATIENCE * self._refuted_lately(now))
        )
        longest = round(shortest * BETA) if self.options.local_health else shortest
        enough = max(0, min(ENOUGH, self.count() - 3))
        known.suspicion = Suspicion(now, shortest, longest, {accuser}, enough)
        # A few look for themselves at once: what is true is confirmed in a period or two, what is not is refuted.
        if accuser != self.me.name and self._random.random() * self.count() < 2 * ENOUGH:
            self._order.append(known.record.name)
        self._at(known.suspicion.ends(), "suspicion", known.record.name)

    def _refuted_lately(self, now: int) -> float:
        """Which part of the suspicions was refuted, 0 to 1; forgotten by half in 10 s."""
        self._refuted *= 0.5 ** ((now - self._refuted_at) / 10_000_000)
        self._refuted_at = now
        return self._refuted

    def _learn(self, now: int, refuted: bool) -> None:
        """How a suspicion ended tells how much the next one is worth: on a lossy network they are refuted."""
        lately = self._refuted_lately(now)
        self._refuted = lately + LEARN * ((1.0 if refuted else 0.0) - lately)

    def _suspicion_over(self, now: int, name: str) -> None:
        known = self.known.get(name)
        if known is None or known.suspicion is None or known.suspicion.ends() > now:
            return
        record = known.record.with_state(MemberState.FAILED, self.me.name)
        who = ", ".join(sorted(known.suspicion.accusers)[:4])
        self._set(now, known, record, self.me.name, f"suspected by {who} and not refuted in time")

    def _set(self, now: int, known: Known, record: MemberRecord, by: str, cause: str) -> None:
        before = known.record.state.label
        fresh = record.process_key != known.record.process_key
        if (
            before == "suspect"
            and not fresh
            and record.state in (MemberState.ALIVE, MemberState.FAILED)
            and self.options.local_health
        ):
            self._learn(now, record.state == MemberState.ALIVE)
        known.record, known.suspicion = record, None
        if fresh:
            known.fact = None
        if record.state == MemberState.SUSPECT:
            self._doubt(now, known, record.reported_by)
        if before != record.state.label or fresh:
            known.since = now
            self._told(now, known, before, by, cause)
        self._listed(record.name, known.there)
        if before == "failed" and known.there:
            self._knock(now, record.address)  # it may be one of many that are back
        self._tell(record)
        self._gossip_soon(now)

    def _told(self, now: int, known: Known, before: str, by: str, cause: str) -> None:
        record = known.record
        change = Changed(now, record.name, before, record.state.label, by, cause, record.address)
        known.history = (*known.history[1 - HISTORY :], change)
        self._out.append(change)

    def _listed(self, name: str, there: bool) -> None:
        """Keep the list of those that are there; a new one is probed at a random point of this round."""
        if there and name not in self._place:
            self._place[name] = len(self._there)
            self._there.append(name)
            self._order.insert(self._random.randrange(len(self._order) + 1), name)
        elif not there and name in self._place:
            place, last = self._place.pop(name), self._there.pop()
            if last != name:
                self._there[place] = last
                self._place[last] = place

    def _forget(self, now: int) -> None:
        old = [n for n, k in self.known.items() if not k.there and now - k.since > self.options.forget]
        for name in old:
            del self.known[name]
            self._news.drop(name)

    # ---- what is said

    def _tell(self, record: MemberRecord) -> None:
        if record.state not in (MemberState.ALIVE, MemberState.LEFT) and record.tags:
            record = msgspec.structs.replace(record, tags={})
        self._news.put(record.name, record, len(_encode(record)) + 3)

    def _knock(self, now: int, address: str) -> None:
        """Ask for a full exchange; where many come at once, one tells of the others."""
        if now - self._knocked >= KNOCK_EVERY:
            self._knocked = now
            self._out.append(Exchange(address))

    def _draw(self, many: int, besides: str = "", well: bool = False) -> list[str]:
        """Some of those that are there; ``well``: none that are suspected."""
        drawn: dict[str, None] = {}
        for _ in range(4 * many if self._there else 0):
            name = self._random.choice(self._there)
            if name != besides and not (well and self.known[name].record.state == MemberState.SUSPECT):
                drawn[name] = None
            if len(drawn) == many:
                break
        return list(drawn)

    def _gossip_soon(self, now: int) -> None:
        if not self._gossiping:
            self._gossiping = True
            self._at(now + self._random.randrange(self.options.gossip), "gossip")

    def _gossip(self, now: int) -> None:
        """While there is news: to some at random.  With none this rests, and costs nothing."""
        self._gossiping = False
        if not len(self._news) or self.replaced is not None:
            return
        for name in self._draw(self.options.fanout, well=True):
            self._send(self.known[name].record, MessageKind.GOSSIP, 0, now)
        self._gossiping = True
        self._at(now + self.options.gossip, "gossip")

    def _send(
        self,
        to: MemberRecord,
        kind: MessageKind,
        seq: int,
        now: int,
        target: str = "",
        address: str = "",
        first: MemberRecord | None = None,
    ) -> None:
        """To a member; one that is suspected or called failed is told so before all else (Lifeguard, IV-C)."""
        first = first or (to if to.state in (MemberState.SUSPECT, MemberState.FAILED) else None)
        self._compose(to.address, to.max_version, first, kind, seq, now, target, address)

    def _compose(
        self,
        where: str,
        speaks: int,
        first: MemberRecord | None,
        kind: MessageKind,
        seq: int,
        now: int,
        target: str = "",
        address: str = "",
        own: bool = False,
    ) -> None:
        room, news = ROOM, []
        mine = (self._aged(self.me.name, now),) if own else ()
        room -= sum(len(_encode(fact)) + 3 for fact in mine)
        if first is not None:
            first = msgspec.structs.replace(first, tags={}) if first.state != MemberState.ALIVE else first
            room -= len(_encode(first)) + 3
            news.append(first)
        news += self._news.take(room, tellings(self.count()), 63)
        room -= sum(len(_encode(r)) + 3 for r in news[1 if first is not None else 0 :])
        version = min(speaks, self.options.speaks)
        facts: tuple[NodeReport, ...] = ()
        if version >= 2:
            facts = mine
        if version >= 2 and len(self._facts) and room > 64:
            facts += tuple(self._aged(n, now) for n in self._facts.take(room, tellings(self.count()), 16))
        me = self.me
        message = Datagram(
            kind, seq, me.name, me.generation, me.incarnation, target, address, tuple(news), facts
        )  # fmt: skip
        self._out.append(Send(where, message, version))

    def _aged(self, name: str, now: int) -> NodeReport:
        found = self.fact(name, now)
        if found is None:  # forgotten meanwhile
            return NodeReport(self.me.name, self.me.generation, 0)
        fact, age = found
        return msgspec.structs.replace(fact, age_ms=min(3_600_000, age // 1000))

    def _done(self) -> list[Action]:
        out, self._out = self._out, []
        return out
