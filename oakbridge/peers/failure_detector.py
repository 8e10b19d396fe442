"""SWIM's failure detector: direct probes, indirect probes through helpers, and relayed probes.

In each probe interval one member is pinged.  If it doesn't acknowledge within the timeout, helpers
are asked to ping it; if there is no acknowledgement by the end of the interval, it is suspected.
Sources: SWIM, section 3.1; Lifeguard, section IV-A (helpers reply with a NACK, intervals grow with
the local health score).
"""

from __future__ import annotations

from dataclasses import dataclass

from oakbridge.peers.actions import MemberCounter
from oakbridge.peers.dissemination import Destination, Dissemination, Header
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.member_table import KnownMember
from oakbridge.peers.membership import Membership
from oakbridge.peers.messages import Datagram, MemberState, MessageKind
from oakbridge.peers.probe_rotation import ProbeRotation
from oakbridge.peers.timers import TimerKind

MAX_RELAYS = 256  # concurrent probes on behalf of other members


@dataclass(slots=True)
class _Probe:
    target: str
    sequence: int
    nack_count: int = 0
    is_acked: bool = False


@dataclass(frozen=True, slots=True)
class _Relay:
    """A probe on behalf of another member."""

    requester: str
    requester_sequence: int
    target: str


class FailureDetector:
    """Probes other members, acknowledges their probes, and probes on their behalf."""

    def __init__(
        self,
        local: LocalMember,
        dissemination: Dissemination,
        membership: Membership,
        rotation: ProbeRotation,
    ) -> None:
        self._local = local
        self._dissemination = dissemination
        self._membership = membership
        self._rotation = rotation
        self._probe: _Probe | None = None
        self._last_sequence = 0
        self._relays: dict[int, _Relay] = {}

    def start(self, now_us: int) -> None:
        """Schedule the first probe at a random point of one interval."""
        delay_us = self._local.random.randrange(self._local.options.probe_interval_us)
        self._local.timers.add(now_us + delay_us, TimerKind.PROBE)

    # ---- own probes

    def on_probe_timer(self, now_us: int) -> None:
        """Finish the current probe, start the next one, and schedule the one after it."""
        local = self._local
        if local.is_active:
            self._finish_probe(now_us)
            self._start_probe(now_us)
        interval_us = local.options.probe_interval_us * local.health.multiplier
        local.timers.add(now_us + interval_us, TimerKind.PROBE)

    def on_indirect_probe_timer(self, now_us: int, sequence: str | int) -> None:
        """Ask helpers to probe a target that has not acknowledged within the timeout."""
        local = self._local
        probe = self._probe
        if not local.is_active or probe is None or probe.sequence != sequence or probe.is_acked:
            return
        if not local.table.is_live(probe.target):
            return
        target = local.table.members[probe.target].record
        helpers = local.table.sample(
            local.random,
            local.options.indirect_probes,
            exclude=probe.target,
            allow_suspects=False,
        )
        header = Header(MessageKind.PING_REQ, probe.sequence, target.name, target.address)
        for helper in helpers:
            self._dissemination.send(helper.record, header, now_us)

    def _finish_probe(self, now_us: int) -> None:
        probe = self._probe
        self._probe = None
        if probe is None or probe.is_acked:
            return
        # A reachable helper sends an ACK or a NACK.  If none did, this member may be the cause.
        if not probe.nack_count:
            self._local.health.record_silence()
        self._membership.suspect(now_us, probe.target)

    def _start_probe(self, now_us: int) -> None:
        local = self._local
        target = self._rotation.next_target()
        if target is None:
            return
        sequence = self._next_sequence()
        self._probe = _Probe(target, sequence)
        header = Header(MessageKind.PING, sequence, target)
        self._dissemination.send(local.table.members[target].record, header, now_us)
        timeout_us = local.options.probe_timeout_us * local.health.multiplier
        local.timers.add(now_us + timeout_us, TimerKind.INDIRECT_PROBE, sequence)

    def _next_sequence(self) -> int:
        self._last_sequence += 1
        return self._last_sequence

    # ---- messages

    def on_ping(
        self, now_us: int, source: str, message: Datagram, sender: KnownMember | None
    ) -> None:
        """Acknowledge a probe, unless its target is an earlier member at this address."""
        if message.target != self._local.record.name:
            self._local.counts[MemberCounter.WRONG_TARGET] += 1
            return
        destination = Destination(source)
        first = None
        if sender is not None:
            destination = Destination(source, sender.record.max_version)
            first = sender.record if sender.record.state != MemberState.ALIVE else None
        header = Header(MessageKind.ACK, message.sequence)
        self._dissemination.send_to(destination, header, now_us, first=first)

    def on_ack(self, now_us: int, message: Datagram) -> None:
        """Handle the acknowledgement of a relayed probe or of the current probe."""
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            if relay.target == message.sender:
                self._reply(now_us, relay, MessageKind.ACK)
            return
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence and not probe.is_acked:
            probe.is_acked = True
            self._local.health.record_timely_ack()

    def on_nack(self, message: Datagram) -> None:
        """Count a helper that is reachable but could not reach the target."""
        if self._probe is not None and self._probe.sequence == message.sequence:
            self._probe.nack_count += 1

    def on_ping_req(self, now_us: int, message: Datagram) -> None:
        """Probe a target on behalf of another member."""
        local = self._local
        is_full = len(self._relays) >= MAX_RELAYS
        if is_full or local.table.get(message.sender) is None or not message.target_address:
            local.counts[MemberCounter.RELAYS_REFUSED] += is_full
            return
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(message.sender, message.sequence, message.target)
        header = Header(MessageKind.PING, sequence, message.target)
        known = local.table.get(message.target)
        if known is not None and known.record.address == message.target_address:
            self._dissemination.send(known.record, header, now_us)
        else:
            self._dissemination.send_to(Destination(message.target_address), header, now_us)
        timeout_us = local.options.probe_timeout_us * 4 // 5 * local.health.multiplier
        local.timers.add(now_us + timeout_us, TimerKind.RELAY, sequence)

    def on_relay_timer(self, now_us: int, sequence: str | int) -> None:
        """Send a NACK to the requester: a relayed probe was not acknowledged within its timeout."""
        relay = self._relays.pop(int(sequence), None)
        if relay is not None and self._local.is_active:
            self._reply(now_us, relay, MessageKind.NACK)

    def _reply(self, now_us: int, relay: _Relay, kind: MessageKind) -> None:
        requester = self._local.table.get(relay.requester)
        if requester is not None:
            header = Header(kind, relay.requester_sequence)
            self._dissemination.send(requester.record, header, now_us)
