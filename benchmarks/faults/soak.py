"""A randomized fault soak: real nodes and servers, faults that overlap, and the rules as the oracle.

By hand: ``python benchmarks/faults/soak.py --seeds 1-50 --seconds 12``; from the root, with ``tests`` and
its folders on PYTHONPATH as in pyproject.toml.  Everything but the machine's timing follows from the
seed.  A run has 10 to 25 processes and some tens of clients.
"""

from __future__ import annotations

import argparse
import asyncio
import errno
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from fault_control import Fault
from node_process import NodeProcess, node_settings
from peers import endpoint, free_ports, listing, read_message, reply, soon
from soak_clients import Client, SentRequest, SoakNode, hold_crowd
from soak_rules import Findings, Told, check, read_attempts

SERVER_PROGRAM = Path(__file__).with_name("soak_server.py")
LONGEST_DEADLINE_S = 2.0  # of the classes
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # after SIGTERM: the earliest that the rules allow
TOLD_S = 6.0  # after which a change counts as told, whether or not it arrived
WALL_CLOCK_STEPS_S = (-3600, 0, 3600)
CROWD_SIZE, CROWD_S = 160, 2.0
MAX_HOLD_UP_S = 0.12  # a process may be held up so long

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

    def __str__(self) -> str:
        """Return one line, and one for each rule that was broken."""
        outcomes = ", ".join(f"{k} {v}" for k, v in sorted(self.outcomes.items()))
        injected = ", ".join(f"{k} {v}" for k, v in sorted(self.injected.items()))
        line = f"seed {self.seed}: {outcomes}; {self.attempts} attempts; injected: {injected}"
        return f"{line}\n{self.findings}" if self.findings.by_rule else f"{line}; rules kept"


@dataclass(slots=True)
class NodeRun:
    """One process of a node: from when it ran, and when it was told of each version of the list."""

    started_at: float
    written_at: dict[int, float] = field(default_factory=dict)


class NodeDiscovery:
    """Discovery as one node sees it: the shared list, and when its processes were told of it."""

    def __init__(self, fleet: SoakServers) -> None:
        self._fleet = fleet
        self.runs = [NodeRun(time.monotonic())]
        self.port = 0

    def on_node_started(self) -> None:
        """Note that a new process runs, which has been told nothing."""
        self.runs.append(NodeRun(time.monotonic()))

    async def start(self) -> asyncio.Server:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        run = self.runs[-1]  # a call of a process that was killed tells the next one nothing
        try:
            first, _, _ = await read_message(reader)
            since, timeout_s = _watch_of(first.split(" ")[1])
            if since is not None:
                await self._fleet.wait_for_change(since, timeout_s)
            index = self._fleet.index
            writer.write(reply(200, json.dumps(self._fleet.listing()).encode()))
            now = time.monotonic()
            for version in range(index + 1):
                run.written_at.setdefault(version, now)
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the node is gone, or the run has ended
        finally:
            writer.close()


def _watch_of(target: str) -> tuple[int | None, float]:
    query = target.partition("?")[2]
    if not query:
        return None, 0.0
    values = dict(part.split("=") for part in query.split("&"))
    return int(values["since"]), int(values["timeout_ms"]) / 1000


class SoakServers:
    """The servers' processes, and what discovery has to tell of them."""

    def __init__(self, folder: Path, count: int, seed: int) -> None:
        self.index = 1
        self.pushed = False  # whether discovery is an agent, to which lists are pushed
        self.names = [f"s-{number}" for number in range(count)]
        self.ports = dict(zip(self.names, free_ports(count), strict=True))
        self.logs = [folder / f"{name}.jsonl" for name in self.names]
        self.drains: list[tuple[str, int, float]] = []  # name, version, when it was published
        self.kills: dict[str, list[float]] = {name: [] for name in self.names}
        self.returns: dict[tuple[str, int], float] = {}  # when a drain of that version ended
        self._folder, self._seed = folder, seed
        self._draining: dict[str, int] = {}
        self._since_ms = dict.fromkeys(self.names, 0)
        self._changed = asyncio.Event()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a server's process."""
        number = self.names.index(name)
        log = self.logs[number]
        log.touch()
        command = [sys.executable, SERVER_PROGRAM, self.ports[name], self._seed * 100 + number, log]
        self._processes[name] = subprocess.Popen([str(word) for word in command])

    def listing(self) -> dict:
        """Return the whole list, in discovery's form."""
        entries = [
            endpoint(
                name,
                self.ports[name],
                "draining" if name in self._draining else "ready",
                self._since_ms[name],
            )
            for name in self.names
        ]
        return listing(self.index, *entries)

    async def wait_for_change(self, since: int, timeout_s: float) -> None:
        """Wait until there is something newer than a version, or for so long."""
        if since < self.index and since >= 0:
            return
        if since < 0:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    def drain(self, name: str) -> None:
        """Have a server drain."""
        self._draining[name] = self.index + 1
        self._publish()
        self.drains.append((name, self.index, time.monotonic()))

    def restart(self, name: str) -> None:
        """Kill a server that drains, and have it back, cold."""
        self._processes[name].kill()
        self._processes[name].wait()
        self.kills[name].append(time.monotonic())
        self.start(name)
        self._since_ms[name] = int(time.time() * 1000)
        self.returns[name, self._draining.pop(name)] = time.monotonic()
        self._publish()

    def _publish(self) -> None:
        self.index += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def told(self, node: int, discovery: NodeDiscovery) -> list[Told]:
        """Return when a node was told of each drain."""
        found = []
        for name, version, published_at in self.drains:
            returned_at = self.returns.get((name, version), float("inf"))
            ends = [run.started_at for run in discovery.runs[1:]] + [float("inf")]
            for run, ended_at in zip(discovery.runs, ends, strict=True):
                had_at = max(published_at, run.started_at)
                told_by = had_at + TOLD_S
                since = min(run.written_at.get(version, told_by), told_by)
                if self.pushed:  # what the agent has counts as told, whether or not it is asked
                    since = had_at
                found.append(Told(node, name, since, min(returned_at, ended_at)))
        return found

    def close(self) -> None:
        """Kill all processes."""
        for process in self._processes.values():
            process.kill()
            process.wait()


@dataclass(slots=True)
class Soak:
    """One run: its processes, its clients, and the schedules of its faults."""

    seed: int
    seconds: float
    folder: Path
    requests: list[SentRequest] = field(default_factory=list)
    nodes: list[SoakNode] = field(default_factory=list)
    findings: Findings = field(default_factory=Findings)
    _discoveries: list[NodeDiscovery] = field(default_factory=list)
    _ends_at: float = 0.0

    async def run(self) -> SoakResult:
        """Play the run, and check what clients and servers saw."""
        draw = random.Random(self.seed)
        servers = SoakServers(self.folder, draw.randint(5, 8), self.seed)
        discoveries = [NodeDiscovery(servers) for _ in range(draw.randint(4, 6))]
        self._discoveries = discoveries
        listeners = [await discovery.start() for discovery in discoveries]
        try:
            await self._start_nodes(draw, servers, discoveries)
            self._ends_at = time.monotonic() + self.seconds
            await self._play(draw, servers)
        finally:
            for node in self.nodes:
                await node.process.stop()
            for listener in listeners:
                listener.close()
            servers.close()
        attempts = read_attempts(servers.logs, servers.kills)
        told = [t for n, d in enumerate(discoveries) for t in servers.told(n, d)]
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
        )

    async def _start_nodes(
        self, draw: random.Random, servers: SoakServers, discoveries: list[NodeDiscovery]
    ) -> None:
        servers.pushed, cancelling = draw.random() < 0.5, draw.random() < 0.7
        settings = node_settings(discovery="pushed" if servers.pushed else "on_request")
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
        schedules = [self._change_servers(servers, random.Random(draw.getrandbits(32)))]
        for node in self.nodes:
            # Two faults of a node at a time.
            of_node = (self._inject, self._inject, self._restart, self._hold_up)
            schedules += [one(node, random.Random(draw.getrandbits(32))) for one in of_node]
        if draw.random() < 0.4:
            schedules.append(self._crowd(random.Random(draw.getrandbits(32))))
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

    # ---- schedules

    async def _inject(self, node: SoakNode, draw: random.Random) -> None:
        """Have one fault after another in a node, with pauses."""
        while self._left_s() > 1.5:
            await asyncio.sleep(draw.uniform(0.1, 0.8))
            fault, errors, percent = draw.choice(FAULTS)
            node.process.faults.start(fault, draw.choice(errors), percent)
            if draw.random() < 0.2:
                node.process.faults.step_wall_clock(draw.choice(WALL_CLOCK_STEPS_S))
            await asyncio.sleep(draw.uniform(0.1, 0.5))
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
            await soon(node.process.ready())
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
        self._discoveries[node.number].on_node_started()
        await node.process.start(wait=False)
        await asyncio.sleep(draw.uniform(0.6, 1.5))  # sockets may be short at its start
        terminated_at = time.monotonic()
        for number in (signal.SIGTERM, *draw.choices((signal.SIGHUP, signal.SIGTERM), k=1)):
            self._signal_process(previous, number)
            await asyncio.sleep(draw.uniform(0.01, 0.3))
        await asyncio.sleep(terminated_at + KILL_AFTER_S - time.monotonic())
        await self._end_process(node, previous)
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
            await asyncio.sleep(draw.uniform(1.0, 2.0))
            servers.restart(name)

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
