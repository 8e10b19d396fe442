"""Dissemination: changes are piggybacked on every datagram, and gossiped while any are queued.

Sources: SWIM, section 4.1; Lifeguard, section IV-C (a datagram to a suspected member carries that
suspicion first).
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

# Size of a datagram's own fields with the longest names and addresses.
MAX_FIELDS_BYTES = 180
MAX_GOSSIP_BYTES = MAX_DATAGRAM_BYTES - HEADER_BYTES - MAX_FIELDS_BYTES
MIN_REPORT_SPACE_BYTES = 64  # with less space left, no reports of other members are added


class Destination(NamedTuple):
    """The address of a recipient, and the newest format version that it reads."""

    address: str
    max_version: int = OLDEST_VERSION


class Header(NamedTuple):
    """The fields of a datagram that depend on its kind."""

    kind: MessageKind
    sequence: int = 0
    target: str = ""
    target_address: str = ""


class Dissemination:
    """Sends datagrams, and fills each with queued records and reports."""

    def __init__(self, local: LocalMember, reports: NodeReports) -> None:
        self._local = local
        self._reports = reports
        self._broadcasts: GossipQueue[MemberRecord] = GossipQueue(local.options.max_members + 1)
        self._is_gossip_scheduled = False

    # ---- broadcasts

    def broadcast(self, record: MemberRecord) -> None:
        """Queue this record for other members."""
        if record.state not in (MemberState.ALIVE, MemberState.LEFT) and record.tags:
            record = record.without_tags()
        self._broadcasts.put(record.name, record, _item_size(record))

    def broadcast_and_gossip(self, now_us: int, record: MemberRecord) -> None:
        """Queue this record for other members, and schedule gossip if none is scheduled."""
        self.broadcast(record)
        self.start_gossip(now_us)

    def stop_broadcast(self, name: str) -> None:
        """Remove the queued record about this member."""
        self._broadcasts.discard(name)

    # ---- gossip

    def start_gossip(self, now_us: int) -> None:
        """Schedule gossip at a random point of the next interval, if none is scheduled."""
        if not self._is_gossip_scheduled:
            self._is_gossip_scheduled = True
            delay_us = self._local.random.randrange(self._local.options.gossip_interval_us)
            self._local.timers.add(now_us + delay_us, TimerKind.GOSSIP)

    def gossip(self, now_us: int) -> None:
        """Send queued records to random members and schedule the next round, if any are queued."""
        local = self._local
        self._is_gossip_scheduled = False
        if not self._broadcasts or local.replaced_by is not None:
            return
        recipients = local.table.sample(
            local.random, local.options.gossip_fanout, allow_suspects=False
        )
        for known in recipients:
            self.send(known.record, Header(MessageKind.GOSSIP), now_us)
        self._is_gossip_scheduled = True
        local.timers.add(now_us + local.options.gossip_interval_us, TimerKind.GOSSIP)

    # ---- datagrams

    def send(
        self,
        recipient: MemberRecord,
        header: Header,
        now_us: int,
        first: MemberRecord | None = None,
    ) -> None:
        """Send a datagram to a member; if it is suspected or failed, its own record goes first."""
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
        """Send a datagram to an address; ``first`` is a record that goes before the queued ones."""
        own_reports: tuple[NodeReport, ...] = ()
        if with_own_report:
            own_reports = (self._reports.own_with_age(now_us),)
        available_bytes = MAX_GOSSIP_BYTES - sum(map(_item_size, own_reports))
        records = self._take_records(available_bytes, first)
        available_bytes -= sum(map(_item_size, records))
        version = min(destination.max_version, self._local.options.max_version)
        reports: tuple[NodeReport, ...] = ()
        if version >= FIRST_VERSION_WITH_REPORTS:
            reports = own_reports
            if available_bytes > MIN_REPORT_SPACE_BYTES and self._reports.has_pending:
                reports += self._reports.take(available_bytes, self._transmit_limit(), now_us)
        message = self._message(header, records, reports)
        self._local.emit(SendDatagram(destination.address, message, version))

    def _take_records(self, available_bytes: int, first: MemberRecord | None) -> list[MemberRecord]:
        records: list[MemberRecord] = []
        if first is not None:
            first = first if first.state == MemberState.ALIVE else first.without_tags()
            records.append(first)
            available_bytes -= _item_size(first)
        return records + self._broadcasts.take(
            available_bytes, self._transmit_limit(), MAX_DATAGRAM_ITEMS - 1
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
