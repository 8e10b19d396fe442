"""A randomized fault soak: real nodes and servers, faults that overlap, and the rules as the oracle.

By hand: ``python benchmarks/faults/soak.py --seeds 1-50 --seconds 12``; from the root, with ``tests`` and
its folders on PYTHONPATH as in pyproject.toml.  Everything but the machine's timing follows from the
seed.  A run has 10 to 25 processes and some tens of clients.
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
from soak_rules import Findings, check, read_attempts
from soak_servers import SoakServers
from soak_told import told_of_drains

LONGEST_DEADLINE_S = 2.0  # of the classes
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # after SIGTERM: the earliest that the rules allow
WALL_CLOCK_STEPS_S = (-3600, 0, 3600)
CROWD_SIZE, CROWD_S = 160, 2.0
MAX_HOLD_UP_S = 0.12  # a process may be held up so long
# Discovery can't be reached for so long at most, and then can for so long at least.
MAX_UNREACHABLE_S, MIN_REACHABLE_S = 2.9, 4.0
ANSWER_S, REFUSAL_S = 0.15, 0.006  # of discovery that is asked by all nodes, in some runs
LONG_DRAIN_S = (6.8, 8.5)  # past the time at which a change counts as told
SHORT_DRAIN_S = (1.0, 2.0)
OWN_DELAY_PERIOD_S = 0.02
MAX_FAULT_S, ACCEPT_PAUSE_S = 0.5, 0.5
UNSURE_S = 1.0  # the longest fault, and what it broke
# Faults after which an answer that discovery has written may not have arrived.
BREAKS_ANSWERS = (Fault.SEND, Fault.RECEIVE, Fault.CONNECT, Fault.SOCKET)

# Each fault, the errors that Linux documents for it, and the share of calls that fail.
FAULTS: tuple[tuple[Fault, tuple[int, ...], int], ...] = (
    (Fault.ACCEPT, (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM), 100),
    (Fault.ACCEPT, (errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN), 60),
    (Fault.SOCKET, (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM), 100),
    (Fault.CONNECT, (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS), 100),
    (Fault.CONNECT, (errno.EINTR, errno.ETIMEDOUT, errno.EHOSTUNREACH), 50),
    (Fault.SEND, (errno.ETIMEDOUT, errno.EHOSTUNREACH), 5),
    (Fault.RECEIVE, (errno.ETIMEDOUT, errno.EHOSTUNREACH), 5),
    (Fault.SEND_PASSING, (errno.ENOBUFS, errno.ENOMEM), 30),
    (Fault.RECEIVE_PASSING, (errno.ENOBUFS, errno.ENOMEM), 30),
    (Fault.WAIT, (errno.EINTR,), 50),
    (Fault.EPOLL_CONTROL, (errno.ENOMEM, errno.ENOSPC), 50),
    (Fault.SHORT_SEND, (0,), 70),
    (Fault.SHORT_RECEIVE, (0,), 70),
)


@dataclass(slots=True)
class SoakResult:
    """What one run found."""

    seed: int
    findings: Findings
    outcomes: Counter[str]
    injected: Counter[str]
    attempts: int
    mode: str  # of discovery
    own_delay_s: float  # for which the soak's own process stood still at most

    def __str__(self) -> str:
        """Return one line, and one for each rule that was broken."""
        outcomes = ", ".join(f"{k} {v}" for k, v in sorted(self.outcomes.items()))
        injected = ", ".join(f"{k} {v}" for k, v in sorted(self.injected.items()))
        line = f"seed {self.seed}, lists {self.mode}: {outcomes}; {self.attempts} attempts"
        line += f"; injected: {injected}; own delay {self.own_delay_s:.2f} s"
        return f"{line}\n{self.findings}" if self.findings.by_rule else f"{line}; rules kept"


@dataclass(slots=True)
class Soak:
    """One run: its processes, its clients, and the schedules of its faults."""

    seed: int
    seconds: float
    folder: Path
    requests: list[SentRequest] = field(default_factory=list)
    nodes: list[SoakNode] = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    pushed: bool = False  # whether discovery is an agent, to which lists are pushed
    _discoveries: list[NodeDiscovery] = field(default_factory=list)
    _queue: RequestQueue | None = None  # of discovery that is asked
    _ends_at: float = 0.0
    _own_delay_s: float = 0.0

    async def run(self) -> SoakResult:
        """Play the run, and check what clients and servers saw."""
        draw = random.Random(self.seed)
        servers = SoakServers(self.folder, draw.randint(5, 8), self.seed)
        self.pushed = draw.random() < 0.5
        if not self.pushed and draw.random() < 0.6:
            self._queue = RequestQueue(ANSWER_S, REFUSAL_S)
        discoveries = [
            NodeDiscovery(servers.published, self._queue) for _ in range(draw.randint(4, 6))
        ]
        self._discoveries = discoveries
        for discovery in discoveries:
            await discovery.start()
        try:
            await self._start_nodes(draw, servers, discoveries)
            self._ends_at = time.monotonic() + self.seconds
            await self._play(draw, servers)
        finally:
            for node in self.nodes:
                await node.process.stop()
            for discovery in discoveries:
                discovery.close()
            servers.close()
        attempts = read_attempts(servers.logs, servers.kills)
        told = [
            told
            for number, discovery in enumerate(discoveries)
            for told in told_of_drains(number, discovery, servers.drains, pushed=self.pushed)
        ]
        found = check(self.requests, attempts, told)
        for rule, texts in found.by_rule.items():
            self.findings.by_rule[rule] += texts
        self._check_cut_answers(found.cut_long, sum(map(len, servers.kills.values())))
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
        return "asked" if self._queue is None else "asked of a queue"

    async def _start_nodes(
        self, draw: random.Random, servers: SoakServers, discoveries: list[NodeDiscovery]
    ) -> None:
        cancelling = draw.random() < 0.7
        settings = node_settings(discovery="pushed" if self.pushed else "on_request")
        settings["invariants"] |= {"ask-within": draw.choice((4_000_000, 10_000_000))}
        settings["allowed"] = settings["allowed"] | {
            "cancelling": cancelling,
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

    async def _play(self, draw: random.Random, servers: SoakServers) -> None:
        clients = [
            Client(self.nodes, draw.getrandbits(32), self.requests, self._is_over)
            for _ in range(draw.randint(25, 45))
        ]
        schedules = [self._measure_own_delay()]
        schedules += [self._change_servers(servers, random.Random(draw.getrandbits(32)))]
        for node in self.nodes:
            # Two faults of a node at a time.
            of_node = (self._inject, self._inject, self._restart, self._hold_up, self._reload)
            schedules += [one(node, random.Random(draw.getrandbits(32))) for one in of_node]
        if draw.random() < 0.4:
            schedules.append(self._crowd(random.Random(draw.getrandbits(32))))
        if draw.random() < 0.8:
            schedules.append(self._trouble_discovery(random.Random(draw.getrandbits(32))))
        tasks = [asyncio.create_task(schedule) for schedule in schedules]
        try:
            async with asyncio.timeout(self.seconds + 30):
                await asyncio.gather(*(client.run() for client in clients))
                await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _is_over(self) -> bool:
        return time.monotonic() >= self._ends_at

    def _left_s(self) -> float:
        return self._ends_at - time.monotonic()

    async def _measure_own_delay(self) -> None:
        """Note how late this process wakes up: what it measures is late by as much."""
        while not self._is_over():
            due = time.monotonic() + OWN_DELAY_PERIOD_S
            await asyncio.sleep(OWN_DELAY_PERIOD_S)
            self._own_delay_s = max(self._own_delay_s, time.monotonic() - due)

    # ---- schedules

    async def _inject(self, node: SoakNode, draw: random.Random) -> None:
        """Have one fault after another in a node, with pauses."""
        while self._left_s() > 1.5:
            await asyncio.sleep(draw.uniform(0.1, 0.8))
            fault, errors, percent = draw.choice(FAULTS)
            if fault is Fault.ACCEPT:
                if time.monotonic() < node.accepts_until:
                    continue  # two in a row would outlast the shortest request and its slack
                node.accepts_until = time.monotonic() + MAX_FAULT_S + ACCEPT_PAUSE_S
            if fault in BREAKS_ANSWERS:
                self._discoveries[node.number].unsure_until = time.monotonic() + UNSURE_S
            node.process.faults.start(fault, draw.choice(errors), percent)
            if draw.random() < 0.2:
                node.process.faults.step_wall_clock(draw.choice(WALL_CLOCK_STEPS_S))
            await asyncio.sleep(draw.uniform(0.1, MAX_FAULT_S))
            node.process.faults.stop(fault)

    async def _restart(self, node: SoakNode, draw: random.Random) -> None:
        """End a node by signals in series, kill it at the earliest, and start it again."""
        await asyncio.sleep(draw.uniform(0.5, 4.0))
        while self._left_s() > KILL_AFTER_S + 1.0:
            if node.process.is_operated and draw.random() < 0.7:
                await self._hand_over(node, draw)
                continue
            if draw.random() < 0.3:
                self._signal(node, signal.SIGHUP)
                await asyncio.sleep(draw.uniform(0.0, 0.2))
            terminated_at = time.monotonic()
            node.ending_since = terminated_at
            self._signal(node, signal.SIGTERM)
            for number in draw.choices((signal.SIGHUP, signal.SIGTERM), k=draw.randint(0, 2)):
                await asyncio.sleep(draw.uniform(0.01, 0.4))
                self._signal(node, number)
            await asyncio.sleep(terminated_at + KILL_AFTER_S - time.monotonic())
            await self._kill(node)
            self._discoveries[node.number].on_node_started()
            await node.process.start(wait=False)
            await with_timeout(node.process.ready())
            node.is_up, node.ending_since = True, None
            await asyncio.sleep(draw.uniform(0.5, 4.0))

    async def _hold_up(self, node: SoakNode, draw: random.Random) -> None:
        """Have a node stand still for a moment, now and then."""
        while self._left_s() > 2.0:
            await asyncio.sleep(draw.uniform(0.5, 3.0))
            process = node.process.process
            assert process is not None
            self._signal_process(process, signal.SIGSTOP)
            await asyncio.sleep(draw.uniform(0.0, MAX_HOLD_UP_S))
            self._signal_process(process, signal.SIGCONT)

    async def _hand_over(self, node: SoakNode, draw: random.Random) -> None:
        """Start a process beside the one that runs, which it takes over, and end that one."""
        previous = node.process.process
        assert previous is not None
        node.is_starting = True
        started_at, taken_over = time.monotonic(), node.process.log().count("taken over")
        await node.process.start(wait=False)
        await asyncio.sleep(draw.uniform(0.6, 1.5))  # sockets may be short at its start
        node.is_starting = False
        if node.process.log().count("taken over") == taken_over:
            # It will find the other one ending, and serve alone: a new process, told of nothing.
            self._discoveries[node.number].on_node_started(started_at)
            self._discoveries[node.number].has_two_callers = True
        terminated_at = time.monotonic()
        for number in (signal.SIGTERM, *draw.choices((signal.SIGHUP, signal.SIGTERM), k=1)):
            self._signal_process(previous, number)
            await asyncio.sleep(draw.uniform(0.01, 0.3))
        await asyncio.sleep(terminated_at + KILL_AFTER_S - time.monotonic())
        await self._end_process(node, previous)
        self._discoveries[node.number].has_two_callers = False
        await asyncio.sleep(draw.uniform(0.2, 2.0))

    @staticmethod
    def _signal(node: SoakNode, number: signal.Signals) -> None:
        """Send a signal; not by asyncio's process, which may take its exit code away unseen."""
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
        await self._end_process(node, process)

    async def _end_process(self, node: SoakNode, process: asyncio.subprocess.Process) -> None:
        self._signal_process(process, signal.SIGKILL)
        code = await process.wait()
        # The interpreter gives the signals back to the system before the process has ended.
        usual = (0, -signal.SIGTERM, -signal.SIGHUP, -signal.SIGKILL)
        if code not in usual:
            self.findings.add("crash", f"node {node.number} ended with {code}")

    async def _change_servers(self, servers: SoakServers, draw: random.Random) -> None:
        """Drain one server after another, and have each back cold."""
        while self._left_s() > 3.0:
            await asyncio.sleep(draw.uniform(0.5, 2.0))
            name = draw.choice(servers.names)
            servers.drain(name)
            drain_s = draw.uniform(*draw.choice((SHORT_DRAIN_S, LONG_DRAIN_S)))
            await asyncio.sleep(min(drain_s, max(0.0, self._left_s() - 0.5)))
            servers.restart(name)

    async def _reload(self, node: SoakNode, draw: random.Random) -> None:
        """Have configurations in series move discovery for a node."""
        discovery = self._discoveries[node.number]
        while self._left_s() > 2.0:
            await asyncio.sleep(draw.uniform(0.5, 5.0))
            for _ in range(draw.randint(1, 4)):
                await asyncio.sleep(draw.uniform(0.1, 0.9))
                if not node.takes_signals():
                    continue
                discovery.moved_address = draw.choice(list(MovedAddress))
                port = await discovery.move()
                node.process.reconfigure(discovery=f"127.0.0.1:{port}")
                if node.takes_signals():  # one that has begun meanwhile reads the file as it is
                    self._signal(node, signal.SIGHUP)

    async def _trouble_discovery(self, draw: random.Random) -> None:
        """Have answers of discovery be lost or stop half-way for some nodes, or others crowd it."""
        while self._left_s() > MAX_UNREACHABLE_S:
            await asyncio.sleep(draw.uniform(0.2, 1.5))
            seconds = draw.uniform(0.5, MAX_UNREACHABLE_S)
            if self._queue is not None and draw.random() < 0.5:
                self._queue.fill(seconds)
                await asyncio.sleep(seconds)
            else:
                await self._lose_answers(draw, seconds)
            await asyncio.sleep(draw.uniform(MIN_REACHABLE_S, MIN_REACHABLE_S + 2.0))

    async def _lose_answers(self, draw: random.Random, seconds: float) -> None:
        discoveries = draw.sample(self._discoveries, draw.randint(1, len(self._discoveries)))
        for discovery in discoveries:
            discovery.start_fault(draw.choice((AnswerFault.LOST, AnswerFault.HALF)))
        await asyncio.sleep(seconds)
        for discovery in discoveries:
            discovery.stop_fault()

    async def _crowd(self, draw: random.Random) -> None:
        while self._left_s() > CROWD_S + 1.0:
            await asyncio.sleep(draw.uniform(0.3, 1.5))
            await hold_crowd(draw.choice(self.nodes), CROWD_SIZE, CROWD_S)

    # ---- what the nodes say

    def _check_cut_answers(self, cut: Counter[int], kills: int) -> None:
        """Check that no more long answers broke off than connections to servers were broken."""
        for node in self.nodes:
            faults = node.process.faults
            broken = faults.injected(Fault.RECEIVE) + faults.injected(Fault.SEND) + kills
            if cut[node.number] > broken:
                text = f"node {node.number}: {cut[node.number]} long answers cut short"
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
    """Play one run in a folder."""
    return asyncio.run(Soak(seed, seconds, folder).run())


def main(say: Callable[[str], None] = print) -> int:
    """Play runs by hand; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--keep", type=Path, help="Keep the logs of each run here.")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    broken = []
    for seed in range(int(first), int(last or first) + 1):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=options.keep))
        result = run_soak(seed, options.seconds, folder)
        say(str(result))
        if result.findings.by_rule:
            broken.append(seed)
    say(f"seeds with a broken rule: {broken or 'none'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
