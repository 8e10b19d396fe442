"""One member: the interface to the protocol.  No I/O: messages and the time in, actions out.

The protocol is SWIM with Lifeguard's extensions and these of oakbridge, each against one kind of
false verdict:

- A process that was frozen or starved of CPU finds all its timeouts expired at once.  So a timer
  that fires late delays all others by the same time: time in which this process did not run doesn't
  count against other members.
- Another member's claim that a live member failed only starts a suspicion
  (:mod:`~oakbridge.peers.membership`).
- The recent fraction of refuted suspicions lengthens the next ones
  (:mod:`~oakbridge.peers.suspicion_monitor`).
- A member that was declared failed has missed all gossip since, and requests a push-pull exchange
  (:mod:`~oakbridge.peers.push_pull`).
- Failed members are retried at intervals (:mod:`~oakbridge.peers.join`).
- A process gives up its name to one that started later (:mod:`~oakbridge.peers.refutation`).

Times are microseconds of a monotonic clock.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable

from oakbridge.peers.actions import Action, MemberCounter
from oakbridge.peers.dissemination import Destination, Dissemination, Header
from oakbridge.peers.failure_detector import FailureDetector
from oakbridge.peers.join import Join, Reconnect
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.membership import Membership
from oakbridge.peers.messages import (
    Datagram,
    MemberRecord,
    MemberState,
    MessageKind,
    PushPullState,
    Tags,
)
from oakbridge.peers.node_reports import AgedReport, LocalLoad, NodeReports
from oakbridge.peers.probe_rotation import ProbeRotation
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.push_pull import PushPull
from oakbridge.peers.suspicion_monitor import SuspicionMonitor
from oakbridge.peers.timers import Timer, TimerKind

TOKEN_BITS = 62
# Fraction of the probe timeout.  If a timer fires later than that, this process was paused.
MAX_TIMER_DELAY_FRACTION = 0.4
LEAVE_FANOUT_MULTIPLIER = 4  # a leaving member notifies this many times the gossip fanout


class Member:
    """The member of this process, with its view of the other members."""

    def __init__(
        self,
        name: str,
        address: str,
        generation: int,
        tags: Tags,
        seed: int,
        now_us: int,
        options: ProtocolOptions | None = None,
    ) -> None:
        """Create a member that knows no others.

        ``generation`` is above all known generations of this name, for example the time of day;
        ``seed`` seeds the random generator.
        """
        options = options or ProtocolOptions()
        generator = random.Random(seed)
        record = MemberRecord(
            name,
            address,
            generation,
            token=generator.getrandbits(TOKEN_BITS),
            incarnation=0,
            state=MemberState.ALIVE,
            max_version=options.max_version,
            tags=tags,
        )
        self._local = local = LocalMember(record, options, generator)
        self._reports = NodeReports(local)
        self._dissemination = Dissemination(local, self._reports)
        self._push_pull = PushPull(local, now_us)
        self._join = Join(local)
        self._reconnect = Reconnect(local, self._dissemination, self._push_pull, self._join)
        rotation = ProbeRotation(local)
        self._suspicions = SuspicionMonitor(local, self._dissemination, rotation, now_us)
        self._membership = Membership(
            local, self._dissemination, self._push_pull, self._suspicions, rotation
        )
        self._detector = FailureDetector(local, self._dissemination, self._membership, rotation)
        self._start(now_us)

    def _start(self, now_us: int) -> None:
        self._dissemination.broadcast(self._local.record)
        self._detector.start(now_us)
        self._reconnect.start(now_us)
        self._push_pull.start(now_us)
        self._membership.start(now_us)
        self._dissemination.start_gossip(now_us)

    # ---- queries

    @property
    def record(self) -> MemberRecord:
        """Return this member's own record."""
        return self._local.record

    @property
    def members(self) -> dict[str, KnownMember]:
        """Return the other members by name, including those that failed or left."""
        return self._local.table.members

    @property
    def counts(self) -> Counter[MemberCounter]:
        """Return the event counters since the start."""
        return self._local.counts

    @property
    def health_score(self) -> int:
        """Return Lifeguard's local health score; 0 is healthy."""
        return self._local.health.score

    @property
    def is_joining(self) -> bool:
        """Return whether this member has yet to complete a first push-pull exchange."""
        return self._local.is_joining

    @property
    def has_left(self) -> bool:
        """Return whether this member has left on purpose."""
        return self._local.has_left

    @property
    def replaced_by(self) -> MemberRecord | None:
        """Return the record of a process that started later under this member's name, if any."""
        return self._local.replaced_by

    def live_names(self) -> list[str]:
        """Return the names of the other live members, including suspected ones."""
        return self._local.table.live_names()

    def live_count(self) -> int:
        """Return the number of live members, including this one."""
        return self._local.table.live_count

    def next_due_us(self) -> int:
        """Return the time at which :meth:`tick` is to be called next."""
        return self._local.timers.next_due_us()

    def pending_timers(self, kind: TimerKind) -> list[str | int]:
        """Return the keys of the pending timers of a kind."""
        return self._local.timers.pending(kind)

    def push_pull_state(self) -> PushPullState:
        """Return this member's side of a push-pull exchange: all known records."""
        return self._push_pull.state()

    def report(self, name: str, now_us: int) -> AgedReport | None:
        """Return the last load report of a member or of this one, None if there is none."""
        return self._reports.get(name, now_us)

    # ---- commands

    def join(self, now_us: int, seeds: Iterable[str]) -> list[Action]:
        """Join through the members at these addresses; without any other address, start a cluster.

        Addresses of a later call replace the earlier ones, also in a join that is in progress.
        """
        self._join.start(now_us, seeds)
        return self._local.take_actions()

    def add_known_members(self, now_us: int, records: Iterable[MemberRecord]) -> None:
        """Add members of a converged cluster: neither they nor this member are gossiped."""
        table = self._local.table
        for record in records:
            if record.name != self.record.name and table.get(record.name) is None:
                table.add(record, now_us)
                table.add_live(record.name)
        self._dissemination.stop_broadcast(self.record.name)
        self._local.is_joining = False

    def leave(self, now_us: int) -> list[Action]:
        """Leave the cluster: notify some members directly, which gossip it to the others."""
        local = self._local
        if local.is_active:
            local.mark_left()
            self._dissemination.broadcast(local.record)
            count = LEAVE_FANOUT_MULTIPLIER * local.options.gossip_fanout
            for known in local.table.sample(local.random, count):
                header = Header(MessageKind.GOSSIP)
                self._dissemination.send(known.record, header, now_us, first=local.record)
        return local.take_actions()

    def set_load(self, now_us: int, load: LocalLoad) -> list[Action]:
        """Set the load to report; datagrams with space left carry it to the other members."""
        self._reports.set_own(now_us, load)
        return self._local.take_actions()

    def send_report(self, now_us: int, names: Iterable[str]) -> list[Action]:
        """Send this member's load report directly to these members.

        A report that others pass on arrives later the more members there are.
        """
        local = self._local
        if local.is_active and self._reports.has_own:
            for name in names:
                known = local.table.get(name)
                if known is not None and known.is_live:
                    destination = Destination(known.record.address, known.record.max_version)
                    self._dissemination.send_to(
                        destination, Header(MessageKind.GOSSIP), now_us, with_own_report=True
                    )
        return local.take_actions()

    def use_generator(self, generator: random.Random) -> None:
        """Replace the random generator."""
        self._local.random = generator

    # ---- events

    def push_pull_completed(
        self, now_us: int, state: PushPullState, *, initiated: bool
    ) -> list[Action]:
        """Apply the other side of an exchange; ``initiated``: whether this member started it."""
        if self._local.is_active:
            self._compensate_for_pause(now_us)
            for record in state.records:
                self._membership.apply(now_us, record, state.sender, "full exchange")
            for report in state.reports:
                self._reports.receive(now_us, report)
            if initiated:
                self._push_pull.completed()
        return self._local.take_actions()

    def push_pull_failed(self) -> list[Action]:
        """Count a push-pull exchange that failed."""
        self._push_pull.failed()
        return self._local.take_actions()

    def receive(self, now_us: int, source: str, message: Datagram) -> list[Action]:
        """Handle a datagram from the address ``source``."""
        if self._local.is_active:
            self._compensate_for_pause(now_us)
            self._receive(now_us, source, message)
        return self._local.take_actions()

    def tick(self, now_us: int) -> list[Action]:
        """Fire the timers that are due."""
        self._compensate_for_pause(now_us)
        while (timer := self._local.timers.pop_due(now_us)) is not None:
            self._fire(now_us, timer)
        return self._local.take_actions()

    def _receive(self, now_us: int, source: str, message: Datagram) -> None:
        local = self._local
        if message.sender == local.record.name:
            # The records of both processes decide which one keeps the name.
            local.counts[MemberCounter.SENDER_HAS_OWN_NAME] += 1
            return
        known = local.table.get(message.sender)
        if known is not None and known.record.generation > message.generation:
            self._notify_replaced(now_us, source, known)
            return
        for record in message.records:
            self._membership.apply(now_us, record, message.sender, "news")
        for report in message.reports:
            self._reports.receive(now_us, report)
        sender = local.table.get(message.sender)
        if sender is None or sender.record.generation < message.generation:
            self._push_pull.request(now_us, source)
        self._dispatch(now_us, source, message, sender)

    def _dispatch(
        self, now_us: int, source: str, message: Datagram, sender: KnownMember | None
    ) -> None:
        match message.kind:
            case MessageKind.PING:
                self._detector.on_ping(now_us, source, message, sender)
            case MessageKind.ACK:
                self._detector.on_ack(now_us, message)
            case MessageKind.PING_REQ:
                self._detector.on_ping_req(now_us, message)
            case MessageKind.NACK:
                self._detector.on_nack(message)
            case MessageKind.GOSSIP:
                self._send_correction(now_us, sender)

    def _notify_replaced(self, now_us: int, source: str, known: KnownMember) -> None:
        """Send an older process of a name the record of the process that replaced it."""
        self._local.counts[MemberCounter.OLD_GENERATIONS] += 1
        destination = Destination(source, known.record.max_version)
        header = Header(MessageKind.GOSSIP)
        self._dissemination.send_to(destination, header, now_us, first=known.record)

    def _send_correction(self, now_us: int, sender: KnownMember | None) -> None:
        """Send a member that gossips the claim about itself, if it is considered failed or left.

        At most once per probe timeout, as that member may consider this one failed and reply alike.
        """
        if sender is None or sender.is_live:
            return
        if now_us - sender.last_corrected_us >= self._local.options.probe_timeout_us:
            sender.last_corrected_us = now_us
            self._dissemination.send(sender.record, Header(MessageKind.GOSSIP), now_us)

    # ---- timers

    def _compensate_for_pause(self, now_us: int) -> None:
        """Detect a pause of this process and delay all timers by it, before any other work."""
        local = self._local
        delay_us = now_us - local.timers.next_due_us()
        if not local.options.local_health:
            return
        if delay_us > local.options.probe_timeout_us * MAX_TIMER_DELAY_FRACTION:
            local.counts[MemberCounter.LATE_TIMERS] += 1
            local.health.record_local_fault()
            local.timers.delay_all(delay_us)
            self._suspicions.delay_all(delay_us)

    def _fire(self, now_us: int, timer: Timer) -> None:  # noqa: C901  # one case per kind
        match timer.kind:
            case TimerKind.PROBE:
                self._detector.on_probe_timer(now_us)
            case TimerKind.INDIRECT_PROBE:
                self._detector.on_indirect_probe_timer(now_us, timer.key)
            case TimerKind.RELAY:
                self._detector.on_relay_timer(now_us, timer.key)
            case TimerKind.SUSPICION:
                self._membership.on_suspicion_timer(now_us, str(timer.key))
            case TimerKind.GOSSIP:
                self._dissemination.gossip(now_us)
            case TimerKind.PUSH_PULL:
                self._push_pull.on_timer(now_us)
            case TimerKind.CATCH_UP:
                self._push_pull.on_catch_up_timer(now_us, timer.key)
            case TimerKind.RECONNECT:
                self._reconnect.on_timer(now_us)
            case TimerKind.JOIN:
                self._join.on_timer(now_us)
            case TimerKind.FORGET:
                self._membership.on_forget_timer(now_us)
