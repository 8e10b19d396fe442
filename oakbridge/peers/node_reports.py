"""Load reports: this member's own, those received from other members, and their ages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from oakbridge.peers.gossip_queue import GossipQueue
from oakbridge.peers.local_member import LocalMember
from oakbridge.peers.messages import (
    MAX_FAILING_SERVERS,
    MAX_REPORT_AGE_MS,
    NodeReport,
    SiteReport,
    encoded_size,
)

ITEM_OVERHEAD_BYTES = 3  # msgpack array header of an item
MAX_REPORTS_PER_DATAGRAM = 16
US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class LocalLoad:
    """The current load of a node, as it reports it to the other members."""

    in_flight: int  # requests
    subset_size: int  # servers in use
    failing_servers: tuple[str, ...] = ()
    site_report: SiteReport | None = None
    requests_per_10s: int = 0  # 0: not reported


class AgedReport(NamedTuple):
    """A report and its age."""

    report: NodeReport
    age_us: int


class NodeReports:
    """The reports known to this member, and the queue of those to pass on."""

    def __init__(self, local: LocalMember) -> None:
        self._local = local
        self._queue: GossipQueue[str] = GossipQueue(local.options.max_members + 1)
        self._own: NodeReport | None = None
        self._own_at_us = 0

    @property
    def has_own(self) -> bool:
        """Return whether this member has a report of its own."""
        return self._own is not None

    @property
    def has_pending(self) -> bool:
        """Return whether any report is queued."""
        return len(self._queue) > 0

    def set_own(self, now_us: int, load: LocalLoad) -> None:
        """Replace this member's own report."""
        local = self._local.record
        self._own = NodeReport(
            local.name,
            local.generation,
            sequence=self._own.sequence + 1 if self._own is not None else 1,
            in_flight=load.in_flight,
            subset_size=load.subset_size,
            failing_servers=load.failing_servers[:MAX_FAILING_SERVERS],
            site_report=load.site_report,
            requests_per_10s=load.requests_per_10s,
        )
        self._own_at_us = now_us
        self._queue.put(local.name, local.name, encoded_size(self._own))

    def receive(self, now_us: int, report: NodeReport) -> None:
        """Store and queue another member's report if it is newer than the known one."""
        known = self._local.table.get(report.name)
        if known is None or report.generation != known.record.generation:
            return
        if known.report is None or report.precedence > known.report.precedence:
            known.report = report
            known.report_at_us = now_us
            size_bytes = encoded_size(report) + ITEM_OVERHEAD_BYTES
            self._queue.put(report.name, report.name, size_bytes)

    def get(self, name: str, now_us: int) -> AgedReport | None:
        """Return a member's last report, None if there is none; the name may be this member's."""
        if name == self._local.record.name:
            if self._own is None:
                return None
            return AgedReport(self._own, now_us - self._own_at_us)
        known = self._local.table.get(name)
        if known is None or known.report is None:
            return None
        age_us = known.report.age_ms * US_PER_MS + now_us - known.report_at_us
        return AgedReport(known.report, age_us)

    def own_with_age(self, now_us: int) -> NodeReport:
        """Return this member's own report with its current age."""
        return self._with_age(self._local.record.name, now_us)

    def take(
        self, available_bytes: int, transmit_limit: int, now_us: int
    ) -> tuple[NodeReport, ...]:
        """Return queued reports that fit into ``available_bytes``, with their current ages."""
        names = self._queue.take(available_bytes, transmit_limit, MAX_REPORTS_PER_DATAGRAM)
        return tuple(self._with_age(name, now_us) for name in names)

    def _with_age(self, name: str, now_us: int) -> NodeReport:
        found = self.get(name, now_us)
        if found is None:  # the member has been forgotten since
            return NodeReport(self._local.record.name, self._local.record.generation, sequence=0)
        age_ms = min(MAX_REPORT_AGE_MS, found.age_us // US_PER_MS)
        return msgspec.structs.replace(found.report, age_ms=age_ms)
