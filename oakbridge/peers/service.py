"""Runs a member on sockets: datagrams over UDP, push-pull exchanges over TCP, timers, snapshots.

Protocol decisions are made in :mod:`~oakbridge.peers.member`.  Work per iteration of the event loop
is bounded: each callback handles one datagram, exchanges are limited in number and time, and a
received state is applied in batches.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgspec

from oakbridge.node.address import Address
from oakbridge.peers import operator_view, snapshot
from oakbridge.peers.actions import Action, MemberChanged, NameTaken, SendDatagram, StartPushPull
from oakbridge.peers.addresses import format_address, parse_member_address
from oakbridge.peers.codec import Codec, PeerMessageError
from oakbridge.peers.failure_reports import FailureReports, weigh_failure_reports
from oakbridge.peers.framing import STREAM_LIMIT_BYTES
from oakbridge.peers.member import Member
from oakbridge.peers.messages import MemberState, PushPullState, SiteReport
from oakbridge.peers.node_reports import LocalLoad
from oakbridge.peers.protocol_options import ProtocolOptions
from oakbridge.peers.push_pull_transport import PushPullTransport
from oakbridge.peers.service_counter import ServiceCounter
from oakbridge.peers.view_monitor import ViewMonitor
from oakbridge.peers.view_state import ClusterView, ViewState

log = logging.getLogger(__name__)

US_PER_S = 1_000_000
RECORDS_PER_ITERATION = 24  # of a push-pull state, applied per event loop iteration
DIRECT_REPORTS_PER_BATCH = 16
DIRECT_REPORT_BATCH_DELAY_S = 0.005  # between two batches
VIEW_INTERVAL_S = 0.5
UPDATES_PER_REPORT = 4  # updates run at VIEW_INTERVAL_S
UPDATES_PER_URGENT_REPORT = 2
SAVE_INTERVAL_S = 10.0
LEAVE_DELAY_S = 1.0  # time for a leaving member to gossip that it leaves
RECEIVE_BUFFER_BYTES = 1024 * 1024
ACCEPT_BACKLOG = 256
SEED_BITS = 64
# Changes between these states are logged at DEBUG.
LIVE_STATES = (MemberState.ALIVE.label, MemberState.SUSPECT.label)


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Options of one member."""

    name: str
    listen: Address
    secret: bytes = field(repr=False)
    advertise: Address | None = None  # address at which others reach it, if not ``listen``
    seeds: tuple[Address, ...] = ()
    expects_more_seeds: bool = False  # whether set_seeds() is called later
    tags: dict[str, str] = field(default_factory=dict)
    snapshot_path: Path | None = None
    protocol: ProtocolOptions = field(default_factory=ProtocolOptions)


def monotonic_us() -> int:
    """Return the time of a monotonic clock, in microseconds."""
    return time.monotonic_ns() // 1000


class MembershipService(asyncio.DatagramProtocol):
    """Runs this process as a member."""

    member: Member  # set by start()

    def __init__(
        self,
        options: ServiceOptions,
        load_source: Callable[[], LocalLoad] | None = None,
        on_failure_reports: Callable[[dict[str, float]], None] | None = None,
        clock: Callable[[], int] = monotonic_us,
    ) -> None:
        """Prepare a member; :meth:`start` runs it.

        Args:
            options: the member's options.
            load_source: returns the load to report to other members.
            on_failure_reports: called every two seconds with the weight (0 to 1) of other members'
                failure reports for each server, if any has weight.
            clock: returns monotonic time in microseconds.
        """
        self.options = options
        self.codec = Codec(options.secret)
        self.counts: Counter[ServiceCounter] = Counter()
        self.longest_callback_s = 0.0
        self.view_monitor = ViewMonitor(options.name, options.tags.get("tier", ""))
        self.failure_reports: dict[str, FailureReports] = {}
        self.on_failure_reports = on_failure_reports
        # Set by the runners of sites and of subset assignment.
        self.site_report: Callable[[], SiteReport] | None = None
        self.requests_per_10s: Callable[[], int] | None = None  # this node's rate
        self.direct_recipients: Callable[[], list[str]] = list  # names to send reports directly
        # Whether to report twice as often.
        self.is_report_urgent: Callable[[], bool] = lambda: False
        self._load_source = load_source
        self._clock = clock
        self._address = format_address(options.advertise or options.listen)
        self._random = random.Random()
        self._seeds: tuple[str, ...] = ()
        self._tasks: set[asyncio.Task[None]] = set()
        self._push_pulls = PushPullTransport(self, options.listen[0], self.codec, self.counts)
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._is_snapshot_stale = True
        self._is_closed = False

    @property
    def view(self) -> ClusterView | None:
        """Return the view of the cluster, None before the first assessment."""
        return self.view_monitor.current

    # ---- life cycle

    async def start(self) -> None:
        """Listen on the sockets and join the cluster.  Raises OSError or SnapshotError."""
        saved = self._load_snapshot()
        self.member = Member(
            self.options.name,
            self._address,
            generation=max(saved.generation + 1, int(time.time())),
            tags=self.options.tags,
            seed=self._random.getrandbits(SEED_BITS),
            now_us=self._clock(),
            options=self.options.protocol,
        )
        await self._listen()
        self._seeds = (*map(format_address, self.options.seeds), *saved.seeds())
        if self._seeds or not self.options.expects_more_seeds:
            self.perform(self.member.join(self._clock(), self._seeds))
        self._spawn(self._run_periodically())
        if self.options.snapshot_path is not None:
            self._spawn(self._save_snapshots(self.options.snapshot_path))

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.options.listen
        )
        udp_socket = self._transport.get_extra_info("socket")
        with suppress(OSError):
            udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            self._server = await asyncio.start_server(
                self._push_pulls.serve,
                *udp_socket.getsockname()[:2],
                backlog=ACCEPT_BACKLOG,
                limit=STREAM_LIMIT_BYTES,
            )
        except OSError:
            self._transport.close()
            raise

    async def stop(self) -> None:
        """Leave the cluster, wait LEAVE_DELAY_S for gossip to spread, and close the sockets."""
        if self._transport is not None and not self._is_closed:
            self.perform(self.member.leave(self._clock()))
            if self.member.live_names():
                await asyncio.sleep(LEAVE_DELAY_S)
        self.close()

    def close(self) -> None:
        """Close the sockets and cancel all tasks; other members detect this as a failure."""
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Join through these addresses and those of the options and the snapshot.

        They replace the addresses of the previous call.
        """
        addresses = (*self._seeds, *map(format_address, seeds))
        self.perform(self.member.join(self._clock(), addresses))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("membership task failed: error=%s", error, exc_info=error)

    # ---- datagrams and timers

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle one datagram; one that can't be decoded is counted and changes nothing."""
        try:
            message = self.codec.decode(data)
        except PeerMessageError:
            return
        with self._measure_callback():
            self.counts[ServiceCounter.RECEIVED] += 1
            self.counts[ServiceCounter.RECEIVED_BYTES] += len(data)
            source = format_address(addr[:2])
            self.perform(self.member.receive(self._clock(), source, message))

    def error_received(self, exc: Exception) -> None:  # noqa: ARG002  # asyncio's signature
        """Count an ICMP error: no process listens at the recipient, which probes detect as well."""
        self.counts[ServiceCounter.ICMP_REFUSED] += 1

    def perform(self, actions: list[Action]) -> None:
        """Carry out the member's actions."""
        for action in actions:
            match action:
                case SendDatagram():
                    self._send(action)
                case StartPushPull(address):
                    if self._push_pulls.can_initiate:
                        self._spawn(self._push_pulls.initiate(address))
                case MemberChanged():
                    self._on_change(action)
                case NameTaken(address):
                    log.error(
                        "name taken by a later process, no longer a member: name=%s address=%s",
                        self.options.name,
                        address,
                    )
        self._set_timer()

    def _send(self, action: SendDatagram) -> None:
        data = self.codec.encode(action.message, action.version)
        self.counts[ServiceCounter.SENT] += 1
        self.counts[ServiceCounter.SENT_BYTES] += len(data)
        if self._transport is None:
            return
        try:
            self._transport.sendto(data, parse_member_address(action.address))
        except (OSError, ValueError):  # another member sent an invalid address
            self.counts[ServiceCounter.SEND_FAILED] += 1

    def _on_change(self, change: MemberChanged) -> None:
        self._is_snapshot_stale = True
        self.view_monitor.invalidate()
        level = logging.INFO
        if change.after == MemberState.FAILED.label:
            level = logging.WARNING
        elif change.before in LIVE_STATES and change.after in LIVE_STATES:
            level = logging.DEBUG
        log.log(
            level,
            "member state changed: member=%s state=%s previous=%s reported_by=%s cause=%s",
            change.name,
            change.after,
            change.before or "unknown",
            change.reported_by or "itself",
            change.cause,
            extra={
                "member": change.name,
                "before": change.before,
                "after": change.after,
                "by": change.reported_by,
                "cause": change.cause,
                "at_us": time.time_ns() // 1000,
            },
        )

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._is_closed:
            return
        delay_s = max(0, self.member.next_due_us() - self._clock()) / US_PER_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        with self._measure_callback():
            now_us = self._clock()
            is_due = self.member.next_due_us() <= now_us
            self.perform(self.member.tick(now_us) if is_due else [])

    @contextmanager
    def _measure_callback(self) -> Iterator[None]:
        started_s = time.perf_counter()
        yield
        self.longest_callback_s = max(self.longest_callback_s, time.perf_counter() - started_s)

    # ---- push-pull exchanges

    def own_state(self) -> PushPullState:
        """Return this member's side of an exchange."""
        return self.member.push_pull_state()

    async def push_pull_completed(self, state: PushPullState, *, initiated: bool) -> None:
        """Apply the other side in batches, so that no iteration of the event loop takes long."""
        for start in range(0, max(1, len(state.records)), RECORDS_PER_ITERATION):
            records = state.records[start : start + RECORDS_PER_ITERATION]
            part_of_state = msgspec.structs.replace(state, records=records)
            with self._measure_callback():
                now_us = self._clock()
                actions = self.member.push_pull_completed(
                    now_us, part_of_state, initiated=initiated
                )
                self.perform(actions)
            await asyncio.sleep(0)
        if initiated:
            self.view_monitor.invalidate()

    def push_pull_failed(self) -> None:
        """Handle the failure of an exchange that this member initiated."""
        self.perform(self.member.push_pull_failed())

    # ---- view, load reports and failure reports

    async def _run_periodically(self) -> None:
        for update_number in itertools.count():
            self.view_monitor.update(self._clock(), self.member)
            is_urgent_update = (
                update_number % UPDATES_PER_URGENT_REPORT == 0 and self.is_report_urgent()
            )
            if update_number % UPDATES_PER_REPORT == 0 or is_urgent_update:
                await self._report_load()
                self.weigh_failure_reports()
            await asyncio.sleep(VIEW_INTERVAL_S)

    async def _report_load(self) -> None:
        if self._load_source is None:
            return
        load = replace(
            self._load_source(),
            site_report=self.site_report() if self.site_report is not None else None,
            requests_per_10s=self.requests_per_10s() if self.requests_per_10s is not None else 0,
        )
        self.perform(self.member.set_load(self._clock(), load))
        names = self.direct_recipients()
        for start in range(0, len(names), DIRECT_REPORTS_PER_BATCH):
            batch = names[start : start + DIRECT_REPORTS_PER_BATCH]
            self.perform(self.member.send_report(self._clock(), batch))
            await asyncio.sleep(DIRECT_REPORT_BATCH_DELAY_S)

    def weigh_failure_reports(self) -> None:
        """Weigh other members' failure reports, and pass the weights to ``on_failure_reports``."""
        now_us = self._clock()
        state = self.view.state if self.view is not None else ViewState.STARTING
        found = (self.member.report(name, now_us) for name in self.member.live_names())
        reports = [report for report in found if report is not None]
        self.failure_reports = weigh_failure_reports(state, reports, self.options.name)
        weights = {
            server: reports.weight
            for server, reports in self.failure_reports.items()
            if reports.weight
        }
        if weights and self.on_failure_reports is not None:
            self.on_failure_reports(weights)

    # ---- snapshot

    def _load_snapshot(self) -> snapshot.Snapshot:
        path = self.options.snapshot_path
        return snapshot.load(path) if path is not None else snapshot.Snapshot()

    async def _save_snapshots(self, path: Path) -> None:
        while True:
            if self._is_snapshot_stale:
                self._is_snapshot_stale = False
                try:
                    await asyncio.to_thread(snapshot.save, path, self._snapshot())
                except OSError as error:
                    self._is_snapshot_stale = True  # retried at the next interval
                    log.warning(
                        "snapshot not written: path=%s error=%s", path, error.strerror or error
                    )
            await asyncio.sleep(SAVE_INTERVAL_S)

    def _snapshot(self) -> snapshot.Snapshot:
        members = tuple(
            (name, self.member.members[name].record.address) for name in self.member.live_names()
        )
        return snapshot.Snapshot(self.member.record.generation, members)

    # ---- operators' requests

    def describe(self) -> dict[str, Any]:
        """Return this node's view of all members, for ``oakbridge peers --json``."""
        return operator_view.describe(self, self._clock())

    def state_history(self, name: str) -> list[dict[str, Any]]:
        """Return the state changes of a member, oldest first.  Raises KeyError if it is unknown."""
        return operator_view.history(self.member.members[name], self._clock())
