"""Members on a simulated network, by a seed: for figures at any size, for tests, and for the search of all orders.

Everything is drawn from the seed; the same one plays the same course to the last message.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from oakbridge.peers.codec import HEADER_BYTES
from oakbridge.peers.member import Action, Changed, Exchange, Member, Options, Replaced, Send
from oakbridge.peers.messages import Datagram, MemberRecord

_size = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class Network:
    """What happens to what is sent.  Delays in microseconds."""

    loss: float = 0.0
    doubled: float = 0.0
    least: int = 200
    most: int = 2_000


@dataclass(slots=True)
class Host:
    """One process."""

    member: Member
    address: str
    up: bool = True
    frozen: bool = False
    starved: float = 0.0  # every time-slice is taken away for up to this many microseconds
    wakes: int = 0
    inbox: list[tuple[str, Datagram]] | None = None


class Fleet:
    """Members, and the time."""

    def __init__(
        self, seed: int, network: Network | None = None, options: Options | None = None, measure: bool = True
    ) -> None:
        self.random = random.Random(seed)
        self.network, self.options, self.measure = network or Network(), options or Options(), measure
        self.now = 0
        self.hosts: dict[str, Host] = {}  # by name
        self.at: dict[str, Host] = {}  # by address
        self.changes: list[tuple[str, Changed]] = []  # who holds it, what
        self.replaced: list[str] = []
        self.counts: Counter[str] = Counter()
        self.cut: Callable[[str, str], bool] = lambda a, b: (
            False
        )  # whether nothing goes from a to b, by address
        self.on_change: Callable[[str, Changed], None] | None = None
        self._queue: list[tuple[int, int, Any]] = []
        self._order = itertools.count()

    # ---- processes

    def start(
        self,
        name: str,
        seeds: list[str],
        address: str | None = None,
        generation: int = 1,
        tags: dict[str, str] | None = None,
    ) -> Host:
        """Start a process; of an old one of this name nothing is kept, unless it has another address."""
        address = address or name
        member = Member(
            name, address, generation, tags or {}, self.random.getrandbits(64), self.now, self.options
        )
        host = self.hosts[name] = self.at[address] = Host(member, address)
        self.carry(host, member.join(self.now, seeds))
        self._wake(host)
        return host

    def acquainted(self, tags: dict[str, dict[str, str]]) -> None:
        """Have members of these names and tags, that met long ago."""
        for name, known in tags.items():
            member = Member(name, name, 1, known, self.random.getrandbits(64), self.now, self.options)
            self.hosts[name] = self.at[name] = Host(member, name)
        records = [host.member.me for host in self.hosts.values()]
        for host in self.hosts.values():
            host.member.acquaint(self.now, records)
            self._wake(host)

    def kill(self, name: str) -> None:
        """SIGKILL."""
        self.hosts[name].up = False

    def freeze(self, name: str, until: int | None = None) -> None:
        """SIGSTOP; datagrams wait for it, as many as a socket holds."""
        host = self.hosts[name]
        host.frozen, host.inbox = True, []
        if until is not None:
            self.later(until - self.now, lambda: self.thaw(name))

    def thaw(self, name: str) -> None:
        """SIGCONT: what is due is late, and what has waited is read."""
        host = self.hosts[name]
        waited, host.inbox, host.frozen = host.inbox or [], None, False
        if host.up:
            for number, (source, message) in enumerate(waited):
                self.carry(host, host.member.receive(self.now, source, message))
                if not number:  # a loop reads a socket before it looks at its timers
                    self._tick(host)
            self._tick(host)
            self._wake(host)

    def later(self, delay: int, action: Callable[[], None]) -> None:
        """Do this after so long."""
        heapq.heappush(self._queue, (self.now + delay, next(self._order), action))

    # ---- time

    def run(self, until: int) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def _wake(self, host: Host) -> None:
        host.wakes += 1
        number = host.wakes
        due = max(self.now, host.member.due())
        if host.starved:
            due += int(self.random.random() * host.starved)

        def woken() -> None:
            if host.wakes == number and host.up and not host.frozen:
                self._tick(host)
                self._wake(host)

        heapq.heappush(self._queue, (due, next(self._order), woken))

    def _tick(self, host: Host) -> None:
        if host.member.due() <= self.now:
            self.carry(host, host.member.tick(self.now))

    def carry(self, host: Host, actions: list[Action]) -> None:
        """Carry out what a member asks for."""
        for action in actions:
            match action:
                case Send():
                    self._send(host, action)
                case Exchange(address):
                    self._exchange(host, address)
                case Changed():
                    self.changes.append((host.member.me.name, action))
                    if self.on_change is not None:
                        self.on_change(host.member.me.name, action)
                case Replaced():
                    self.replaced.append(host.address)

    # ---- the network

    def _delay(self, to: Host | None = None) -> int:
        slow = int(self.random.random() * to.starved) if to is not None and to.starved else 0
        return self.random.randint(self.network.least, self.network.most) + slow

    def _send(self, host: Host, sent: Send) -> None:
        self.counts["messages"] += 1
        if self.measure:
            self.counts["bytes"] += HEADER_BYTES + len(_size(sent.message)) + 28  # IP and UDP headers
        for copy in range(2):
            if copy and self.random.random() >= self.network.doubled:
                break
            if self.random.random() < self.network.loss or self.cut(host.address, sent.address):
                continue
            to = self.at.get(sent.address)
            if to is not None:
                self.later(self._delay(to), lambda to=to: self._arrive(to, host.address, sent.message))  # type: ignore[misc]

    def _arrive(self, to: Host, source: str, message: Datagram) -> None:
        if not to.up:
            return
        if to.frozen:
            if to.inbox is not None and len(to.inbox) < 256:
                to.inbox.append((source, message))
            return
        self.carry(to, to.member.receive(self.now, source, message))
        self._wake(to)

    def _exchange(self, host: Host, address: str) -> None:
        to = self.at.get(address)

        def met() -> None:
            if not host.up or host.frozen:
                return
            cut = self.cut(host.address, address) or self.cut(address, host.address)
            if to is None or not to.up or to.frozen or cut:
                self.carry(host, host.member.exchange_failed(self.now, address))
                return
            mine, theirs = host.member.state(), to.member.state()
            if self.measure:
                self.counts["exchange bytes"] += len(_size(mine)) + len(_size(theirs))
            self.carry(to, to.member.exchanged(self.now, mine, asked=False))
            self.carry(host, host.member.exchanged(self.now, theirs, asked=True))
            self._wake(to)
            self._wake(host)

        self.later(3 * self._delay(to), met)

    # ---- what can be asked

    def wrong(self, part: set[str] | None = None) -> int:
        """Pairs (who, about whom) where the view is not the truth; within a part that is cut off: its truth."""
        there = {n for n, h in self.hosts.items() if h.up and (part is None or n in part)}
        total = 0
        for name in there:
            if self.hosts[name].frozen:
                continue
            held = set(self.hosts[name].member.alive()) | {name}
            total += len(held ^ there)
        return total

    def held(self, who: str, about: str) -> str:
        """What one holds of another."""
        known = self.hosts[who].member.known.get(about)
        return known.record.state.label if known else ""

    def record(self, who: str, about: str) -> MemberRecord | None:
        """The record that one holds of another."""
        known = self.hosts[who].member.known.get(about)
        return known.record if known else None
