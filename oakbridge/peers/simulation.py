"""Members on a simulated network, by a seed: for figures at any size, and for tests.

Everything is drawn from the seed; the same one plays the same run to the last message.
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
PUSH_PULL_DELAYS = 3  # a connection is set up, then each side sends


@dataclass(slots=True)
class SimulatedNetwork:
    """What happens to what is sent."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_us: int = 200
    max_delay_us: int = 2_000


@dataclass(slots=True)
class SimulatedProcess:
    """One process."""

    member: Member
    address: str
    is_up: bool = True
    is_frozen: bool = False
    max_starvation_us: float = 0.0  # every time slice is taken away for up to as long
    wake_ups: int = 0
    inbox: list[tuple[str, Datagram]] | None = None  # of a frozen process

    @property
    def is_running(self) -> bool:
        """Return whether it is up and not frozen."""
        return self.is_up and not self.is_frozen


def nothing_blocked(_source: str, _destination: str) -> bool:
    """Let everything through."""
    return False


class SimulatedCluster:
    """Members, their network, and the time."""

    def __init__(
        self,
        seed: int,
        network: SimulatedNetwork | None = None,
        options: ProtocolOptions | None = None,
        *,
        measure: bool = True,
    ) -> None:
        """Begin with no member; ``measure``: count bytes, too."""
        self.random = random.Random(seed)
        self.network = network or SimulatedNetwork()
        self.options = options or ProtocolOptions()
        self.measure = measure
        self.now_us = 0
        self.processes: dict[str, SimulatedProcess] = {}  # by name
        self.by_address: dict[str, SimulatedProcess] = {}
        self.changes: list[tuple[str, MemberChanged]] = []  # who holds it, what
        self.replaced: list[str] = []  # addresses
        self.counts: Counter[str] = Counter()
        self.is_blocked: Callable[[str, str], bool] = nothing_blocked  # from and to address
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

        Of an earlier one of this name nothing is kept, unless it has another address.
        """
        address = address or name
        process = self._add_process(name, address, generation, tags or {})
        self.perform(process, process.member.join(self.now_us, seeds))
        self.schedule_wake_up(process)
        return process

    def start_converged(self, tags_by_name: dict[str, dict[str, str]]) -> None:
        """Start members that met long ago."""
        for name, tags in tags_by_name.items():
            self._add_process(name, name, generation=1, tags=tags)
        records = [process.member.record for process in self.processes.values()]
        for process in self.processes.values():
            process.member.introduce(self.now_us, records)
            self.schedule_wake_up(process)

    def _add_process(
        self, name: str, address: str, generation: int, tags: dict[str, str]
    ) -> SimulatedProcess:
        seed = self.random.getrandbits(SEED_BITS)
        member = Member(name, address, generation, tags, seed, self.now_us, self.options)
        process = SimulatedProcess(member, address)
        self.processes[name] = self.by_address[address] = process
        return process

    def kill(self, name: str) -> None:
        """Send SIGKILL."""
        self.processes[name].is_up = False

    def freeze(self, name: str, until_us: int | None = None) -> None:
        """Send SIGSTOP; datagrams wait for the process, as many as a socket holds."""
        process = self.processes[name]
        process.is_frozen = True
        process.inbox = []
        if until_us is not None:
            self.call_later(until_us - self.now_us, lambda: self.thaw(name))

    def thaw(self, name: str) -> None:
        """Send SIGCONT: what is due is late, and what has waited is read."""
        process = self.processes[name]
        waiting = process.inbox or []
        process.inbox = None
        process.is_frozen = False
        if not process.is_up:
            return
        for number, (source, message) in enumerate(waiting):
            self.perform(process, process.member.receive(self.now_us, source, message))
            if not number:  # a loop reads a socket before it looks at its timers
                self._tick(process)
        self._tick(process)
        self.schedule_wake_up(process)

    # ---- time

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Call back after so long."""
        self._call_at(self.now_us + delay_us, callback)

    def run_until(self, until_us: int) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until_us:
            self.now_us, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_us = until_us

    def schedule_wake_up(self, process: SimulatedProcess) -> None:
        """Wake a process when its next timer is due, in place of an earlier wake-up."""
        process.wake_ups += 1
        number = process.wake_ups
        due_us = max(self.now_us, process.member.next_due_us())
        if process.max_starvation_us:
            due_us += int(self.random.random() * process.max_starvation_us)

        def wake_up() -> None:
            if process.wake_ups == number and process.is_running:
                self._tick(process)
                self.schedule_wake_up(process)

        self._call_at(due_us, wake_up)

    def _call_at(self, due_us: int, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (due_us, next(self._order), callback))

    def _tick(self, process: SimulatedProcess) -> None:
        if process.member.next_due_us() <= self.now_us:
            self.perform(process, process.member.tick(self.now_us))

    def perform(self, process: SimulatedProcess, actions: list[Action]) -> None:
        """Carry out what a member asks for."""
        for action in actions:
            match action:
                case SendDatagram():
                    self._send(process, action)
                case StartPushPull(address):
                    self._start_push_pull(process, address)
                case MemberChanged():
                    self._note_change(process.member.record.name, action)
                case NameTaken():
                    self.replaced.append(process.address)

    def _note_change(self, holder: str, change: MemberChanged) -> None:
        self.changes.append((holder, change))
        if self.on_change is not None:
            self.on_change(holder, change)

    # ---- the network

    def _draw_delay_us(self, recipient: SimulatedProcess | None = None) -> int:
        starved_us = 0
        if recipient is not None and recipient.max_starvation_us:
            starved_us = int(self.random.random() * recipient.max_starvation_us)
        delay_us = self.random.randint(self.network.min_delay_us, self.network.max_delay_us)
        return delay_us + starved_us

    def _send(self, process: SimulatedProcess, action: SendDatagram) -> None:
        self.counts["messages"] += 1
        if self.measure:
            body_bytes = encoded_size(action.message)
            self.counts["bytes"] += HEADER_BYTES + body_bytes + IP_UDP_HEADER_BYTES
        self._transmit(process, action)
        if self.random.random() < self.network.duplication:
            self._transmit(process, action)

    def _transmit(self, process: SimulatedProcess, action: SendDatagram) -> None:
        is_lost = self.random.random() < self.network.loss
        if is_lost or self.is_blocked(process.address, action.address):
            return
        recipient = self.by_address.get(action.address)
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
        partner = self.by_address.get(address)
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
        if self.measure:
            self.counts["exchange bytes"] += encoded_size(own) + encoded_size(other)
        self.perform(partner, partner.member.push_pull_completed(self.now_us, own, initiated=False))
        self.perform(
            process, process.member.push_pull_completed(self.now_us, other, initiated=True)
        )
        self.schedule_wake_up(partner)
        self.schedule_wake_up(process)

    # ---- what can be asked

    def count_view_errors(self, part: set[str] | None = None) -> int:
        """Count pairs (who, about whom) where the view is not the truth.

        Within a ``part`` that is cut off its own members are the truth.
        """
        up = {
            name
            for name, process in self.processes.items()
            if process.is_up and (part is None or name in part)
        }
        return sum(
            len(({*self.processes[name].member.live_names(), name}) ^ up)
            for name in up
            if not self.processes[name].is_frozen
        )

    def state_held(self, holder: str, about: str) -> str:
        """Return the state that one holds of another, "" if it does not know it."""
        record = self.record_held(holder, about)
        return record.state.label if record is not None else ""

    def record_held(self, holder: str, about: str) -> MemberRecord | None:
        """Return the record that one holds of another."""
        known = self.processes[holder].member.members.get(about)
        return known.record if known is not None else None
