"""Members on a simulated network, for measurements of large clusters and for tests.

All random values follow from a seed; the same seed gives the same run to the last message.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from oakbridge.peers.actions import (
    Action,
    MemberChanged,
    NameTaken,
    SendDatagram,
    StartPushPull,
)
from oakbridge.peers.codec import HEADER_BYTES
from oakbridge.peers.member import Member
from oakbridge.peers.messages import Datagram, MemberRecord, encoded_size
from oakbridge.peers.protocol_options import ProtocolOptions

IP_UDP_HEADER_BYTES = 28
SOCKET_BUFFER_DATAGRAMS = 256
SEED_BITS = 64
PUSH_PULL_DELAYS = 3  # one-way delays of an exchange: connect, then each side sends


@dataclass(slots=True)
class SimulatedNetwork:
    """Properties of the network: probabilities of loss and duplication, and range of delays."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_us: int = 200
    max_delay_us: int = 2_000


@dataclass(slots=True)
class SimulatedProcess:
    """One process of a member."""

    member: Member
    address: str
    is_up: bool = True
    is_frozen: bool = False
    max_starvation_us: float = 0.0  # each wake-up and delivery is late by up to this time
    wake_up_count: int = 0
    inbox: list[tuple[str, Datagram]] | None = None  # datagrams received while frozen

    @property
    def is_running(self) -> bool:
        """Return whether the process is up and not frozen."""
        return self.is_up and not self.is_frozen


def nothing_blocked(_source: str, _destination: str) -> bool:
    """Block no datagrams."""
    return False


class SimulatedCluster:
    """Members, their network, and simulated time."""

    def __init__(
        self,
        seed: int,
        network: SimulatedNetwork | None = None,
        options: ProtocolOptions | None = None,
        *,
        count_bytes: bool = True,
    ) -> None:
        """Start without members; ``count_bytes``: also count the bytes sent."""
        self.random = random.Random(seed)
        self.network = network or SimulatedNetwork()
        self.options = options or ProtocolOptions()
        self.count_bytes = count_bytes
        self.now_us = 0
        self.processes: dict[str, SimulatedProcess] = {}  # by name
        self.processes_by_address: dict[str, SimulatedProcess] = {}
        self.changes: list[tuple[str, MemberChanged]] = []  # observer, change in its view
        self.replaced_addresses: list[str] = []  # of processes that gave up their name
        self.counts: Counter[str] = Counter()
        # Takes source and destination address.
        self.is_blocked: Callable[[str, str], bool] = nothing_blocked
        self.on_change: Callable[[str, MemberChanged], None] | None = None
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    # ---- processes

    def start(
        self,
        name: str,
        seeds: list[str],
        address: str | None = None,
        generation: int = 1,
        tags: dict[str, str] | None = None,
    ) -> SimulatedProcess:
        """Start a process.

        It replaces an earlier one of this name, which keeps running only under another address.
        """
        address = address or name
        process = self._add_process(name, address, generation, tags or {})
        self.perform(process, process.member.join(self.now_us, seeds))
        self.schedule_wake_up(process)
        return process

    def start_converged(self, tags_by_name: dict[str, dict[str, str]]) -> None:
        """Start members that already know each other."""
        for name, tags in tags_by_name.items():
            self._add_process(name, name, generation=1, tags=tags)
        records = [process.member.record for process in self.processes.values()]
        for process in self.processes.values():
            process.member.add_known_members(self.now_us, records)
            self.schedule_wake_up(process)

    def _add_process(
        self, name: str, address: str, generation: int, tags: dict[str, str]
    ) -> SimulatedProcess:
        seed = self.random.getrandbits(SEED_BITS)
        member = Member(name, address, generation, tags, seed, self.now_us, self.options)
        process = SimulatedProcess(member, address)
        self.processes[name] = self.processes_by_address[address] = process
        return process

    def kill(self, name: str) -> None:
        """Kill a process as by SIGKILL."""
        self.processes[name].is_up = False

    def freeze(self, name: str, until_us: int | None = None) -> None:
        """Stop a process as by SIGSTOP; its socket buffers SOCKET_BUFFER_DATAGRAMS datagrams."""
        process = self.processes[name]
        process.is_frozen = True
        process.inbox = []
        if until_us is not None:
            self.call_later(until_us - self.now_us, lambda: self.thaw(name))

    def thaw(self, name: str) -> None:
        """Continue a process as by SIGCONT: it reads its datagrams and fires overdue timers."""
        process = self.processes[name]
        waiting = process.inbox or []
        process.inbox = None
        process.is_frozen = False
        if not process.is_up:
            return
        for number, (source, message) in enumerate(waiting):
            self.perform(process, process.member.receive(self.now_us, source, message))
            if not number:  # the event loop reads a datagram before it runs due timers
                self._tick(process)
        self._tick(process)
        self.schedule_wake_up(process)

    # ---- time

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Call ``callback`` after ``delay_us`` of simulated time."""
        self._call_at(self.now_us + delay_us, callback)

    def run_until(self, until_us: int) -> None:
        """Advance simulated time to ``until_us``, running all callbacks due by then."""
        while self._queue and self._queue[0][0] <= until_us:
            self.now_us, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_us = until_us

    def schedule_wake_up(self, process: SimulatedProcess) -> None:
        """Schedule a wake-up at the process's next timer; it replaces an earlier one."""
        process.wake_up_count += 1
        number = process.wake_up_count
        due_us = max(self.now_us, process.member.next_due_us())
        if process.max_starvation_us:
            due_us += int(self.random.random() * process.max_starvation_us)

        def wake_up() -> None:
            if process.wake_up_count == number and process.is_running:
                self._tick(process)
                self.schedule_wake_up(process)

        self._call_at(due_us, wake_up)

    def _call_at(self, due_us: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (due_us, next(self._order), callback))

    def _tick(self, process: SimulatedProcess) -> None:
        if process.member.next_due_us() <= self.now_us:
            self.perform(process, process.member.tick(self.now_us))

    def perform(self, process: SimulatedProcess, actions: list[Action]) -> None:
        """Carry out a member's actions."""
        for action in actions:
            match action:
                case SendDatagram():
                    self._send(process, action)
                case StartPushPull(address):
                    self._start_push_pull(process, address)
                case MemberChanged():
                    self._note_change(process.member.record.name, action)
                case NameTaken():
                    self.replaced_addresses.append(process.address)

    def _note_change(self, observer: str, change: MemberChanged) -> None:
        self.changes.append((observer, change))
        if self.on_change is not None:
            self.on_change(observer, change)

    # ---- the network

    def _draw_delay_us(self, recipient: SimulatedProcess | None = None) -> int:
        starvation_us = 0
        if recipient is not None and recipient.max_starvation_us:
            starvation_us = int(self.random.random() * recipient.max_starvation_us)
        delay_us = self.random.randint(self.network.min_delay_us, self.network.max_delay_us)
        return delay_us + starvation_us

    def _send(self, process: SimulatedProcess, action: SendDatagram) -> None:
        self.counts["messages"] += 1
        if self.count_bytes:
            body_bytes = encoded_size(action.message)
            self.counts["bytes"] += HEADER_BYTES + body_bytes + IP_UDP_HEADER_BYTES
        self._transmit(process, action)
        if self.random.random() < self.network.duplication:
            self._transmit(process, action)

    def _transmit(self, process: SimulatedProcess, action: SendDatagram) -> None:
        is_lost = self.random.random() < self.network.loss
        if is_lost or self.is_blocked(process.address, action.address):
            return
        recipient = self.processes_by_address.get(action.address)
        if recipient is not None:
            delay_us = self._draw_delay_us(recipient)
            self.call_later(
                delay_us, lambda: self._deliver(recipient, process.address, action.message)
            )

    def _deliver(self, recipient: SimulatedProcess, source: str, message: Datagram) -> None:
        if not recipient.is_up:
            return
        if recipient.is_frozen:
            if recipient.inbox is not None and len(recipient.inbox) < SOCKET_BUFFER_DATAGRAMS:
                recipient.inbox.append((source, message))
            return
        self.perform(recipient, recipient.member.receive(self.now_us, source, message))
        self.schedule_wake_up(recipient)

    def _start_push_pull(self, process: SimulatedProcess, address: str) -> None:
        partner = self.processes_by_address.get(address)
        delay_us = PUSH_PULL_DELAYS * self._draw_delay_us(partner)
        self.call_later(delay_us, lambda: self._end_push_pull(process, partner, address))

    def _end_push_pull(
        self, process: SimulatedProcess, partner: SimulatedProcess | None, address: str
    ) -> None:
        if not process.is_running:
            return
        is_blocked = self.is_blocked(process.address, address) or self.is_blocked(
            address, process.address
        )
        if partner is None or not partner.is_running or is_blocked:
            self.perform(process, process.member.push_pull_failed())
            return
        own = process.member.push_pull_state()
        other = partner.member.push_pull_state()
        if self.count_bytes:
            self.counts["exchange bytes"] += encoded_size(own) + encoded_size(other)
        self.perform(partner, partner.member.push_pull_completed(self.now_us, own, initiated=False))
        self.perform(
            process, process.member.push_pull_completed(self.now_us, other, initiated=True)
        )
        self.schedule_wake_up(partner)
        self.schedule_wake_up(process)

    # ---- queries

    def count_view_errors(self, partition: set[str] | None = None) -> int:
        """Return the number of pairs (observer, subject) in which the view is wrong.

        Only the members of ``partition``, if it is given, are expected to be alive in each view.
        """
        up = {
            name
            for name, process in self.processes.items()
            if process.is_up and (partition is None or name in partition)
        }
        return sum(
            len(({*self.processes[name].member.live_names(), name}) ^ up)
            for name in up
            if not self.processes[name].is_frozen
        )

    def state_in_view(self, observer: str, subject: str) -> str:
        """Return the state of ``subject`` in the view of ``observer``, "" if it is unknown."""
        record = self.record_in_view(observer, subject)
        return record.state.label if record is not None else ""

    def record_in_view(self, observer: str, subject: str) -> MemberRecord | None:
        """Return the record of ``subject`` in the view of ``observer``, None if it is unknown."""
        known = self.processes[observer].member.members.get(subject)
        return known.record if known is not None else None
