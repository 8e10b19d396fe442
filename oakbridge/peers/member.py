"""One member: a face over the parts of the protocol.  Pure: messages and the time in, actions out.

SWIM with Lifeguard's corrections, and own ones, each for one way in which members are wrong:

- A process that was frozen or starved of its processor finds all its time-outs past at once.  A
  timer that fires late delays all others by as much: time in which the process did not run does not
  count against others.
- Another member's verdict about one that is held for alive is only an accusation
  (:mod:`~oakbridge.peers.membership`).
- How suspicions ended lately tells how long the next one lasts
  (:mod:`~oakbridge.peers.suspicion_monitor`).
- Whoever was held for failed missed all gossip meanwhile, and asks for all that there is
  (:mod:`~oakbridge.peers.push_pull`).
- Members that failed are tried again now and then (:mod:`~oakbridge.peers.join`).
- A name that is taken by a later start is given up (:mod:`~oakbridge.peers.refutation`).

Times are microseconds of a clock that never goes back.
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
# Of the probe time-out: a timer that fires later than this tells of a starved process.
LATE_PART = 0.4
FANOUTS_TOLD_OF_LEAVING = 4


class Member:
    """The member that this process is, and all that it holds of the others."""

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
        """Become a member that knows nobody.

        ``generation`` is above those of earlier starts as far as is known, such as the time of day;
        ``seed`` is that of all random draws.
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

    # ---- what can be asked

    @property
    def record(self) -> MemberRecord:
        """Return this member's own record."""
        return self._local.record

    @property
    def members(self) -> dict[str, KnownMember]:
        """Return the other members by name, those that failed or left included."""
        return self._local.table.members

    @property
    def counts(self) -> Counter[MemberCounter]:
        """Return what has been counted since the start."""
        return self._local.counts

    @property
    def health_score(self) -> int:
        """Return Lifeguard's local health score; 0 is well."""
        return self._local.health.score

    @property
    def is_joining(self) -> bool:
        """Return whether this member still waits for a first push-pull exchange."""
        return self._local.is_joining

    @property
    def has_left(self) -> bool:
        """Return whether this member has left on purpose."""
        return self._local.has_left

    @property
    def replaced_by(self) -> MemberRecord | None:
        """Return the later start that has taken this member's name, if there is one."""
        return self._local.replaced_by

    def live_names(self) -> list[str]:
        """Return the names of the other members held for alive."""
        return self._local.table.live_names()

    def live_count(self) -> int:
        """Return the number of members held for alive, this one included."""
        return self._local.table.live_count

    def next_due_us(self) -> int:
        """Return when :meth:`tick` has to be called next."""
        return self._local.timers.next_due_us()

    def pending_timers(self, kind: TimerKind) -> list[str | int]:
        """Return the keys of the timers of a kind."""
        return self._local.timers.pending(kind)

    def push_pull_state(self) -> PushPullState:
        """Return all that is known, for a push-pull exchange."""
        return self._push_pull.state()

    def report(self, name: str, now_us: int) -> AgedReport | None:
        """Return a member's last report of its load, this one's own included."""
        return self._reports.get(name, now_us)

    # ---- commands

    def join(self, now_us: int, seeds: Iterable[str]) -> list[Action]:
        """Join by the members at these addresses; with none but this one's, begin alone.

        Called again, the addresses replace the earlier ones; a join under way goes on with them.
        """
        self._join.start(now_us, seeds)
        return self._local.take_actions()

    def introduce(self, now_us: int, records: Iterable[MemberRecord]) -> None:
        """Hold these members for known to everybody, as after a long rest: nothing is gossiped."""
        table = self._local.table
        for record in records:
            if record.name != self.record.name and table.get(record.name) is None:
                table.add(record, now_us)
                table.add_live(record.name)
        self._dissemination.stop_broadcast(self.record.name)
        self._local.is_joining = False

    def leave(self, now_us: int) -> list[Action]:
        """Leave on purpose: tell some members at once, and the rest by them."""
        local = self._local
        if local.is_active:
            local.mark_left()
            self._dissemination.broadcast(local.record)
            count = FANOUTS_TOLD_OF_LEAVING * local.options.gossip_fanout
            for known in local.table.sample(local.random, count):
                header = Header(MessageKind.GOSSIP)
                self._dissemination.send(known.record, header, now_us, first=local.record)
        return local.take_actions()

    def set_load(self, now_us: int, load: LocalLoad) -> list[Action]:
        """Report this load to the others, where datagrams have room."""
        self._reports.set_own(now_us, load)
        return self._local.take_actions()

    def send_report(self, now_us: int, names: Iterable[str]) -> list[Action]:
        """Send the own report to these members directly.

        By others it comes the later the more members there are.
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
        """Draw from this generator from now on."""
        self._local.random = generator

    # ---- events

    def push_pull_completed(
        self, now_us: int, state: PushPullState, *, initiated: bool
    ) -> list[Action]:
        """Take what a push-pull exchange brought; ``initiated``: this member began it."""
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
        """Note that a push-pull exchange has come to nothing."""
        self._push_pull.failed()
        return self._local.take_actions()

    def receive(self, now_us: int, source: str, message: Datagram) -> list[Action]:
        """Take a datagram."""
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
            local.counts[MemberCounter.OWN_NAME] += 1  # records decide which process stays
            return
        known = local.table.get(message.sender)
        if known is not None and known.record.generation > message.generation:
            self._tell_replaced(now_us, source, known)
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
                self._correct(now_us, sender)

    def _tell_replaced(self, now_us: int, source: str, known: KnownMember) -> None:
        """Tell a process of an old generation who has its name."""
        self._local.counts[MemberCounter.OLD_GENERATIONS] += 1
        destination = Destination(source, known.record.max_version)
        header = Header(MessageKind.GOSSIP)
        self._dissemination.send_to(destination, header, now_us, first=known.record)

    def _correct(self, now_us: int, sender: KnownMember | None) -> None:
        """Tell a member that gossips what is claimed about it, if it is held for gone.

        Seldom, as it may hold the same of this one and answer likewise.
        """
        if sender is None or sender.is_live:
            return
        if now_us - sender.last_corrected_us >= self._local.options.probe_timeout_us:
            sender.last_corrected_us = now_us
            self._dissemination.send(sender.record, Header(MessageKind.GOSSIP), now_us)

    # ---- timers

    def _compensate_for_pause(self, now_us: int) -> None:
        """Find out, before anything else is done, whether this process did not run for a while."""
        local = self._local
        late_us = now_us - local.timers.next_due_us()
        if not local.options.local_health:
            return
        if late_us > local.options.probe_timeout_us * LATE_PART:
            local.counts[MemberCounter.LATE_TIMERS] += 1
            local.health.worse()
            local.timers.delay_all(late_us)
            self._suspicions.delay_all(late_us)

    def _fire(self, now_us: int, timer: Timer) -> None:  # noqa: C901  # a table: one case a kind
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
