"""Dissemination: what changed is piggybacked on every datagram, and gossiped while there is any.

Source: SWIM, section 4.1; Lifeguard, section IV-C (a suspected member is told first of all).
"""

from __future__ import annotations

from typing import NamedTuple

from oakbridge.peers.actions import SendDatagram
from oakbridge.peers.codec import (
    FIRST_VERSION_WITH_REPORTS,
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    OLDEST_VERSION,
)
from oakbridge.peers.gossip_queue import GossipQueue, transmit_limit
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.messages import (
    MAX_DATAGRAM_ITEMS,
    Datagram,
    MemberRecord,
    MemberState,
    MessageKind,
    NodeReport,
    encoded_size,
)
from oakbridge.peers.node_reports import ITEM_OVERHEAD_BYTES, NodeReports
from oakbridge.peers.timers import TimerKind

FIELDS_BYTES = 180  # of a datagram with the longest names and addresses
GOSSIP_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES - FIELDS_BYTES
MIN_REPORT_ROOM_BYTES = 64


class Destination(NamedTuple):
    """Where a datagram goes, and the newest version that is read there."""

    address: str
    max_version: int = OLDEST_VERSION


class Header(NamedTuple):
    """What a datagram asks or answers."""

    kind: MessageKind
    sequence: int = 0
    target: str = ""
    target_address: str = ""


class Dissemination:
    """Sends datagrams, and fills each up with what other members may not know yet."""

    def __init__(self, local: LocalMember, reports: NodeReports) -> None:
        self._local = local
        self._reports = reports
        self._broadcasts: GossipQueue[MemberRecord] = GossipQueue(local.options.max_members + 1)
        self._is_gossiping = False

    # ---- broadcasts

    def broadcast(self, record: MemberRecord) -> None:
        """Tell other members of this record."""
        if record.state not in (MemberState.ALIVE, MemberState.LEFT) and record.tags:
            record = record.without_tags()
        self._broadcasts.put(record.name, record, _item_size(record))

    def broadcast_soon(self, now_us: int, record: MemberRecord) -> None:
        """Tell other members of this record, and gossip if that is not under way."""
        self.broadcast(record)
        self.start_gossip(now_us)

    def stop_broadcast(self, name: str) -> None:
        """Tell nothing about this member any more."""
        self._broadcasts.discard(name)

    # ---- gossip

    def start_gossip(self, now_us: int) -> None:
        """Gossip soon, if that is not under way."""
        if not self._is_gossiping:
            self._is_gossiping = True
            delay_us = self._local.random.randrange(self._local.options.gossip_interval_us)
            self._local.timers.add(now_us + delay_us, TimerKind.GOSSIP)

    def gossip(self, now_us: int) -> None:
        """Send to some members at random while there is anything to tell; else rest."""
        local = self._local
        self._is_gossiping = False
        if not self._broadcasts or local.replaced_by is not None:
            return
        recipients = local.table.sample(
            local.random, local.options.gossip_fanout, allow_suspects=False
        )
        for known in recipients:
            self.send(known.record, Header(MessageKind.GOSSIP), now_us)
        self._is_gossiping = True
        local.timers.add(now_us + local.options.gossip_interval_us, TimerKind.GOSSIP)

    # ---- datagrams

    def send(
        self,
        recipient: MemberRecord,
        header: Header,
        now_us: int,
        first: MemberRecord | None = None,
    ) -> None:
        """Send to a member; one that is suspected or held for failed is told so before all else."""
        if first is None and recipient.state in (MemberState.SUSPECT, MemberState.FAILED):
            first = recipient
        destination = Destination(recipient.address, recipient.max_version)
        self.send_to(destination, header, now_us, first=first)

    def send_to(
        self,
        destination: Destination,
        header: Header,
        now_us: int,
        *,
        first: MemberRecord | None = None,
        with_own_report: bool = False,
    ) -> None:
        """Send to an address; ``first`` is a record that goes before those of the queue."""
        own_reports: tuple[NodeReport, ...] = ()
        if with_own_report:
            own_reports = (self._reports.own_to_send(now_us),)
        room_bytes = GOSSIP_BYTES - sum(map(_item_size, own_reports))
        records = self._take_records(room_bytes, first)
        room_bytes -= sum(map(_item_size, records))
        version = min(destination.max_version, self._local.options.max_version)
        reports: tuple[NodeReport, ...] = ()
        if version >= FIRST_VERSION_WITH_REPORTS:
            reports = own_reports
            if room_bytes > MIN_REPORT_ROOM_BYTES and self._reports.has_pending:
                reports += self._reports.take(room_bytes, self._transmit_limit(), now_us)
        message = self._message(header, records, reports)
        self._local.emit(SendDatagram(destination.address, message, version))

    def _take_records(self, room_bytes: int, first: MemberRecord | None) -> list[MemberRecord]:
        records: list[MemberRecord] = []
        if first is not None:
            first = first if first.state == MemberState.ALIVE else first.without_tags()
            records.append(first)
            room_bytes -= _item_size(first)
        return records + self._broadcasts.take(
            room_bytes, self._transmit_limit(), MAX_DATAGRAM_ITEMS - 1
        )

    def _transmit_limit(self) -> int:
        return transmit_limit(self._local.table.live_count)

    def _message(
        self, header: Header, records: list[MemberRecord], reports: tuple[NodeReport, ...]
    ) -> Datagram:
        sender = self._local.record
        return Datagram(
            header.kind,
            header.sequence,
            sender.name,
            sender.generation,
            sender.incarnation,
            target=header.target,
            target_address=header.target_address,
            records=tuple(records),
            reports=reports,
        )


def _item_size(item: MemberRecord | NodeReport) -> int:
    return encoded_size(item) + ITEM_OVERHEAD_BYTES
