"""A randomized fault soak: runs real nodes and servers under overlapping faults, checks the rules.

Run manually with ``python benchmarks/faults/soak.py --seeds 1-50 --seconds 12`` from the
repository's root, with ``tests`` and its folders on PYTHONPATH as in pyproject.toml.  The seed
determines everything but the machine's timing.  A run has 10 to 25 processes and some tens of
clients.
"""

from __future__ import annotations

import argparse
import asyncio
import errno
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from discovery_standin import AnswerFault, MovedAddress, NodeDiscovery, RequestQueue
from fault_control import Fault
from node_process import NodeProcess, node_settings
from peers import with_timeout
from soak_clients import Client, SentRequest, SoakNode, hold_crowd
from soak_notices import drain_notices
from soak_rules import Findings, check, read_attempts
from soak_servers import SoakServers

MAX_DEADLINE_S = 2.0  # of all request classes
KILL_AFTER_S = MAX_DEADLINE_S + 0.7  # after SIGTERM: the earliest time that the rules allow
WALL_CLOCK_STEPS_S = (-3600, 0, 3600)
CROWD_SIZE, CROWD_S = 160, 2.0
MAX_PAUSE_S = 0.12  # of a process that SIGSTOP stops
# The longest outage of discovery, and the shortest time between two outages.
MAX_OUTAGE_S, MIN_OUTAGE_GAP_S = 2.9, 4.0
# How long a response or a refusal keeps discovery busy, in runs where all nodes share its queue.
RESPONSE_S, REFUSAL_S = 0.15, 0.006
LONG_DRAIN_S = (6.8, 8.5)  # longer than NOTICE_LIMIT_S, after which each node counts as notified
SHORT_DRAIN_S = (1.0, 2.0)
OWN_DELAY_INTERVAL_S = 0.02
MAX_FAULT_S, MIN_ACCEPT_FAULT_GAP_S = 0.5, 0.5
DELIVERY_UNSURE_S = 1.0  # the longest fault and its after-effects
# Faults during which a response that discovery has written may not arrive at the node.
RESPONSE_LOSS_FAULTS = (Fault.SEND, Fault.RECEIVE, Fault.CONNECT, Fault.SOCKET)

# Each fault, the errors that Linux documents for it, and the percentage of calls that fail.
FAULTS: tuple[tuple[Fault, tuple[int, ...], int], ...] = (
    (Fault.ACCEPT, (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM), 100),
    (Fault.ACCEPT, (errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN), 60),
    (Fault.SOCKET, (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM), 100),
    (Fault.CONNECT, (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS), 100),
    (Fault.CONNECT, (errno.EINTR, errno.ETIMEDOUT, errno.EHOSTUNREACH), 50),
    (Fault.SEND, (errno.ETIMEDOUT, errno.EHOSTUNREACH), 5),
    (Fault.RECEIVE, (errno.ETIMEDOUT, errno.EHOSTUNREACH), 5),
    (Fault.SEND_TRANSIENT, (errno.ENOBUFS, errno.ENOMEM), 30),
    (Fault.RECEIVE_TRANSIENT, (errno.ENOBUFS, errno.ENOMEM), 30),
    (Fault.WAIT, (errno.EINTR,), 50),
    (Fault.EPOLL_CONTROL, (errno.ENOMEM, errno.ENOSPC), 50),
    (Fault.SHORT_SEND, (0,), 70),
    (Fault.SHORT_RECEIVE, (0,), 70),
)


@dataclass(slots=True)
class SoakResult:
    """The findings and counts of one run."""

    seed: int
    findings: Findings
    outcomes: Counter[str]
    injected: Counter[str]
    attempts: int
    mode: str  # how nodes get endpoint lists from discovery
    own_delay_s: float  # the longest delay of the soak's own process

    def __str__(self) -> str:
        """Return one line for the run, and one per broken rule."""
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        injected = ", ".join(f"{name} {count}" for name, count in sorted(self.injected.items()))
        line = f"seed {self.seed}, lists {self.mode}: {outcomes}; {self.attempts} attempts"
        line += f"; injected: {injected}; own delay {self.own_delay_s:.2f} s"
        return f"{line}\n{self.findings}" if self.findings.by_rule else f"{line}; rules kept"


@dataclass(slots=True)
class Soak:
    """One run: its processes, clients and fault schedules."""

    seed: int
    seconds: float
    folder: Path
    requests: list[SentRequest] = field(default_factory=list)
    nodes: list[SoakNode] = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    pushed: bool = False  # whether discovery is an agent that gets pushed lists
    _discoveries: list[NodeDiscovery] = field(default_factory=list)
    _queue: RequestQueue | None = None  # shared by all nodes that poll discovery
    _end_at: float = 0.0
    _own_delay_s: float = 0.0

    async def run(self) -> SoakResult:
        """Run the soak, and check the records of clients and servers against the rules."""
        draw = random.Random(self.seed)
        servers = SoakServers(self.folder, draw.randint(5, 8), self.seed)
        self.pushed = draw.random() < 0.5
        if not self.pushed and draw.random() < 0.6:
            self._queue = RequestQueue(RESPONSE_S, REFUSAL_S)
        discoveries = [
            NodeDiscovery(servers.published, self._queue) for _ in range(draw.randint(4, 6))
        ]
        self._discoveries = discoveries
        for discovery in discoveries:
            await discovery.start()
        try:
            await self._start_nodes(draw, servers, discoveries)
            self._end_at = time.monotonic() + self.seconds
            await self._run_schedules(draw, servers)
        finally:
            for node in self.nodes:
                await node.process.stop()
            for discovery in discoveries:
                discovery.close()
            servers.close()
        attempts = read_attempts(servers.logs, servers.kills)
        notices = [
            notice
            for number, discovery in enumerate(discoveries)
            for notice in drain_notices(number, discovery, servers.drains, pushed=self.pushed)
        ]
        found = check(self.requests, attempts, notices)
        for rule, texts in found.by_rule.items():
            self.findings.by_rule[rule] += texts
        self._check_truncated_responses(
            found.truncated_long_responses, sum(map(len, servers.kills.values()))
        )
        self._check_logs()
        return SoakResult(
            self.seed,
            self.findings,
            Counter(request.outcome.value for request in self.requests),
            self._injected(),
            sum(map(len, attempts.values())),
            self._mode(),
            self._own_delay_s,
        )

    def _mode(self) -> str:
        if self.pushed:
            return "pushed"
        return "polled" if self._queue is None else "polled through a queue"

    async def _start_nodes(
        self, draw: random.Random, servers: SoakServers, discoveries: list[NodeDiscovery]
    ) -> None:
        is_cancelling = draw.random() < 0.7
        settings = node_settings(discovery="pushed" if self.pushed else "on_request")
        settings["invariants"] |= {"ask-within": draw.choice((4_000_000, 10_000_000))}
        settings["allowed"] = settings["allowed"] | {
            "cancelling": is_cancelling,
            "conn-idle": draw.choice((1_000_000, 30_000_000)),
            "connect-timeout": draw.choice((150_000, 1_000_000)),
        }
        settings["instances"] = len(discoveries)
        for number, discovery in enumerate(discoveries):
            process = NodeProcess(
                self.folder,
                [servers.ports[name] for name in servers.names],
                name=f"n{number}",
                seed=self.seed * 100 + number + 1,
                settings=settings,
                discovery=discovery.port,
                operated=draw.random() < 0.4,
            )
            self.nodes.append(SoakNode(number, process))
        await asyncio.gather(*(node.process.start() for node in self.nodes))

    async def _run_schedules(self, draw: random.Random, servers: SoakServers) -> None:
        clients = [
            Client(self.nodes, draw.getrandbits(32), self.requests, self._is_over)
            for _ in range(draw.randint(25, 45))
        ]
        schedules = [self._measure_own_delay()]
        schedules += [self._change_servers(servers, random.Random(draw.getrandbits(32)))]
        for node in self.nodes:
            # Two fault schedules per node: up to two faults of a node overlap.
            node_schedules = (self._inject, self._inject, self._restart, self._pause, self._reload)
            schedules += [
                schedule(node, random.Random(draw.getrandbits(32))) for schedule in node_schedules
            ]
        if draw.random() < 0.4:
            schedules.append(self._hold_crowds(random.Random(draw.getrandbits(32))))
        if draw.random() < 0.8:
            schedules.append(self._disturb_discovery(random.Random(draw.getrandbits(32))))
        tasks = [asyncio.create_task(coroutine) for coroutine in schedules]
        try:
            async with asyncio.timeout(self.seconds + 30):
                await asyncio.gather(*(client.run() for client in clients))
                await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _is_over(self) -> bool:
        return time.monotonic() >= self._end_at

    def _remaining_s(self) -> float:
        return self._end_at - time.monotonic()

    async def _measure_own_delay(self) -> None:
        """Record how late this process wakes up: its own measurements are late by as much."""
        while not self._is_over():
            due_at = time.monotonic() + OWN_DELAY_INTERVAL_S
            await asyncio.sleep(OWN_DELAY_INTERVAL_S)
            self._own_delay_s = max(self._own_delay_s, time.monotonic() - due_at)

    # ---- schedules

    async def _inject(self, node: SoakNode, draw: random.Random) -> None:
        """Inject one fault after another into a node, with gaps."""
        while self._remaining_s() > 1.5:
            await asyncio.sleep(draw.uniform(0.1, 0.8))
            fault, errors, percent = draw.choice(FAULTS)
            if fault is Fault.ACCEPT:
                if time.monotonic() < node.accept_fault_not_before:
                    continue  # two in a row last longer than the shortest timeout and its slack
                node.accept_fault_not_before = (
                    time.monotonic() + MAX_FAULT_S + MIN_ACCEPT_FAULT_GAP_S
                )
            if fault in RESPONSE_LOSS_FAULTS:
                self._discoveries[node.number].delivery_unsure_until = (
                    time.monotonic() + DELIVERY_UNSURE_S
                )
            node.process.faults.start(fault, draw.choice(errors), percent)
            if draw.random() < 0.2:
                node.process.faults.step_wall_clock(draw.choice(WALL_CLOCK_STEPS_S))
            await asyncio.sleep(draw.uniform(0.1, MAX_FAULT_S))
            node.process.faults.stop(fault)

    async def _restart(self, node: SoakNode, draw: random.Random) -> None:
        """Terminate a node by signals, kill it at the earliest allowed time, and restart it."""
        await asyncio.sleep(draw.uniform(0.5, 4.0))
        while self._remaining_s() > KILL_AFTER_S + 1.0:
            if node.process.is_operated and draw.random() < 0.7:
                await self._hand_over(node, draw)
                continue
            if draw.random() < 0.3:
                self._signal(node, signal.SIGHUP)
                await asyncio.sleep(draw.uniform(0.0, 0.2))
            terminated_at = time.monotonic()
            node.terminated_at = terminated_at
            self._signal(node, signal.SIGTERM)
            for number in draw.choices((signal.SIGHUP, signal.SIGTERM), k=draw.randint(0, 2)):
                await asyncio.sleep(draw.uniform(0.01, 0.4))
                self._signal(node, number)
            await asyncio.sleep(terminated_at + KILL_AFTER_S - time.monotonic())
            await self._kill(node)
            self._discoveries[node.number].on_node_started()
            await node.process.start(wait=False)
            await with_timeout(node.process.ready())
            node.is_up, node.terminated_at = True, None
            await asyncio.sleep(draw.uniform(0.5, 4.0))

    async def _pause(self, node: SoakNode, draw: random.Random) -> None:
        """Stop a node with SIGSTOP for a moment, repeatedly."""
        while self._remaining_s() > 2.0:
            await asyncio.sleep(draw.uniform(0.5, 3.0))
            process = node.process.process
            assert process is not None
            self._signal_process(process, signal.SIGSTOP)
            await asyncio.sleep(draw.uniform(0.0, MAX_PAUSE_S))
            self._signal_process(process, signal.SIGCONT)

    async def _hand_over(self, node: SoakNode, draw: random.Random) -> None:
        """Start a successor beside the running process, and terminate the predecessor."""
        predecessor = node.process.process
        assert predecessor is not None
        node.is_starting = True
        started_at, takeover_count = time.monotonic(), node.process.log().count("taken over")
        await node.process.start(wait=False)
        # Faults may deny the new process sockets as it starts.
        await asyncio.sleep(draw.uniform(0.6, 1.5))
        node.is_starting = False
        if node.process.log().count("taken over") == takeover_count:
            # The new process finds the predecessor shutting down and starts without a hand-over:
            # no response counts as written to it yet.
            self._discoveries[node.number].on_node_started(started_at)
            self._discoveries[node.number].has_separate_processes = True
        terminated_at = time.monotonic()
        for number in (signal.SIGTERM, *draw.choices((signal.SIGHUP, signal.SIGTERM), k=1)):
            self._signal_process(predecessor, number)
            await asyncio.sleep(draw.uniform(0.01, 0.3))
        await asyncio.sleep(terminated_at + KILL_AFTER_S - time.monotonic())
        await self._kill_process(node, predecessor)
        self._discoveries[node.number].has_separate_processes = False
        await asyncio.sleep(draw.uniform(0.2, 2.0))

    @staticmethod
    def _signal(node: SoakNode, number: signal.Signals) -> None:
        """Send a signal to the node's present process.

        Not by asyncio's method, which may collect the exit code of an exited process.
        """
        process = node.process.process
        assert process is not None
        Soak._signal_process(process, number)

    @staticmethod
    def _signal_process(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        if process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(process.pid, number)

    async def _kill(self, node: SoakNode) -> None:
        process = node.process.process
        assert process is not None
        node.is_up = False
        await self._kill_process(node, process)

    async def _kill_process(self, node: SoakNode, process: asyncio.subprocess.Process) -> None:
        self._signal_process(process, signal.SIGKILL)
        code = await process.wait()
        # The interpreter restores the default signal handlers before the process has exited.
        expected = (0, -signal.SIGTERM, -signal.SIGHUP, -signal.SIGKILL)
        if code not in expected:
            self.findings.add("crash", f"node {node.number} exited with code {code}")

    async def _change_servers(self, servers: SoakServers, draw: random.Random) -> None:
        """Drain one server after another, and restart each of them."""
        while self._remaining_s() > 3.0:
            await asyncio.sleep(draw.uniform(0.5, 2.0))
            name = draw.choice(servers.names)
            servers.drain(name)
            drain_s = draw.uniform(*draw.choice((SHORT_DRAIN_S, LONG_DRAIN_S)))
            await asyncio.sleep(min(drain_s, max(0.0, self._remaining_s() - 0.5)))
            servers.restart(name)

    async def _reload(self, node: SoakNode, draw: random.Random) -> None:
        """Reload a node with series of configurations that each move its discovery."""
        discovery = self._discoveries[node.number]
        while self._remaining_s() > 2.0:
            await asyncio.sleep(draw.uniform(0.5, 5.0))
            for _ in range(draw.randint(1, 4)):
                await asyncio.sleep(draw.uniform(0.1, 0.9))
                if not node.handles_signals():
                    continue
                discovery.moved_address = draw.choice(list(MovedAddress))
                port = await discovery.move()
                node.process.reconfigure(discovery=f"127.0.0.1:{port}")
                # A process that has started meanwhile has read the new file at its start.
                if node.handles_signals():
                    self._signal(node, signal.SIGHUP)

    async def _disturb_discovery(self, draw: random.Random) -> None:
        """Lose or cut off discovery responses to some nodes, or fill its queue, repeatedly."""
        while self._remaining_s() > MAX_OUTAGE_S:
            await asyncio.sleep(draw.uniform(0.2, 1.5))
            seconds = draw.uniform(0.5, MAX_OUTAGE_S)
            if self._queue is not None and draw.random() < 0.5:
                self._queue.fill(seconds)
                await asyncio.sleep(seconds)
            else:
                await self._lose_responses(draw, seconds)
            await asyncio.sleep(draw.uniform(MIN_OUTAGE_GAP_S, MIN_OUTAGE_GAP_S + 2.0))

    async def _lose_responses(self, draw: random.Random, seconds: float) -> None:
        discoveries = draw.sample(self._discoveries, draw.randint(1, len(self._discoveries)))
        for discovery in discoveries:
            discovery.start_fault(draw.choice((AnswerFault.LOST, AnswerFault.HALF)))
        await asyncio.sleep(seconds)
        for discovery in discoveries:
            discovery.stop_fault()

    async def _hold_crowds(self, draw: random.Random) -> None:
        while self._remaining_s() > CROWD_S + 1.0:
            await asyncio.sleep(draw.uniform(0.3, 1.5))
            await hold_crowd(draw.choice(self.nodes), CROWD_SIZE, CROWD_S)

    # ---- checks of what the nodes did

    def _check_truncated_responses(self, truncated: Counter[int], kills: int) -> None:
        """Check that no more long responses were cut short than server connections failed."""
        for node in self.nodes:
            faults = node.process.faults
            broken = faults.injected(Fault.RECEIVE) + faults.injected(Fault.SEND) + kills
            if truncated[node.number] > broken:
                text = f"node {node.number}: {truncated[node.number]} long responses cut short"
                self.findings.add("lost", text)

    def _check_logs(self) -> None:
        for node in self.nodes:
            for line in node.process.log().splitlines():
                if "Traceback" in line or "invariant violated" in line:
                    self.findings.add("log", f"node {node.number}: {line}")

    def _injected(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for node in self.nodes:
            for fault in Fault:
                total[fault.name] += node.process.faults.injected(fault)
        return +total


def run_soak(seed: int, seconds: float, folder: Path) -> SoakResult:
    """Run the soak once, with its files in a folder, and return its result."""
    return asyncio.run(Soak(seed, seconds, folder).run())


def main(write_line: Callable[[str], None] = print) -> int:
    """Run the seeds given on the command line; return exit code 1 if a rule is broken, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--keep", type=Path, help="Keep the logs of each run here.")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    broken_seeds = []
    for seed in range(int(first), int(last or first) + 1):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.keep))
        result = run_soak(seed, options.seconds, folder)
        write_line(str(result))
        if result.findings.by_rule:
            broken_seeds.append(seed)
    write_line(f"seeds with a broken rule: {broken_seeds or 'none'}")
    return 1 if broken_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
