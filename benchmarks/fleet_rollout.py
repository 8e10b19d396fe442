"""Measures rollouts over 1,000 agents on simulated hosts (s), with and without silent agents.

    python benchmarks/fleet_rollout.py [--agents 1000] [--frozen 20] [--processes 4]

The agents speak the real protocol.  They run in a few processes; each agent has its own listener,
certificate and state on disk.  The hosts and nodes are simulated (`oakbridge/standin/host.py`),
so the figures are the cost of the protocol, the journals and the coordinator alone.  In the last
rollout ``--frozen`` agents stop answering after 4 s.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import resource
import shutil
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from oakbridge.agent.agent import Agent
from oakbridge.agent.operator_api import OperatorApi
from oakbridge.agent.store import Store
from oakbridge.fleet import messages, pki
from oakbridge.fleet.client import FleetClient
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory
from oakbridge.fleet.server import AgentServer
from oakbridge.rollout.change import ReplaceFiles, SetValues
from oakbridge.rollout.coordinator import Coordinator, RolloutOptions
from oakbridge.rollout.journal import Journal, JournalEntry
from oakbridge.rollout.plan import Target, WaveOptions, plan_waves
from oakbridge.rollout.record import RolloutRecord
from oakbridge.standin.host import SimulatedHost

CONFIG = '[servers]\ninline = [{name = "a", address = "127.0.0.1:9"}]\n\n[[class]]\nname = "look"\naim = "1s"\n'


def run_agents(folder: Path, names: list[str], pipe: Any) -> None:
    """Run agents; send their addresses on the pipe, then freeze the agents named on it."""

    async def serve() -> None:
        servers: dict[str, AgentServer] = {}
        for name in names:
            tls = pki.tls_context(folder / "ca.crt", folder / name, server=True)
            agent = Agent(Store(folder / f"s-{name}"), name, "f", host=SimulatedHost(rate=50.0))
            agent.add_instance("n", ["127.0.0.1:1"], folder / f"s-{name}" / "n.sock")
            agent.start()
            frozen = asyncio.Event()

            async def answer(
                identity: Identity,
                method: str,
                path: str,
                body: bytes,
                agent: Agent = agent,
                frozen: asyncio.Event = frozen,
            ) -> messages.Response:
                if frozen.is_set():
                    await asyncio.sleep(3600)
                return await OperatorApi(agent).handle(identity, method, path, body)

            servers[name] = AgentServer(tls, "f", answer)
            servers[name].frozen = frozen  # type: ignore[attr-defined]
            await servers[name].start(("127.0.0.1", 0))
        pipe.send({name: server.address for name, server in servers.items()})
        loop = asyncio.get_running_loop()
        while True:
            for name in await loop.run_in_executor(None, pipe.recv):
                servers[name].frozen.set()  # type: ignore[attr-defined]

    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    asyncio.run(serve())


async def run_rollout(
    folder: Path, operator: FleetClient, change: Any, options: RolloutOptions, max_unavailable: int
) -> None:
    """Run one rollout; print its phase, the outcomes of its instances and its duration."""
    journal, begin = Journal(folder), time.monotonic()
    lease = await operator.acquire_lease(60.0)
    statuses = await operator.call_all(messages.StatusRequest())
    lease_s = time.monotonic() - begin
    targets = [
        Target(status.agent, row["name"], "", row["generation"])
        for status in statuses
        if status.status == 200
        for row in status.body["instances"]
    ]
    waves = plan_waves(targets, WaveOptions(max_unavailable=max_unavailable))
    record = RolloutRecord(waves, max_unavailable, False)
    entry = JournalEntry(lease.token, "bench", time.time(), time.time(), "", change, record)
    journal.add(entry)
    coordinator = Coordinator(operator, journal, entry, lease, options)
    phase = await coordinator.run()
    await operator.release_lease(coordinator.lease)
    outcomes = Counter(row.outcome.value for row in coordinator.machine.statuses().values())
    took_s = time.monotonic() - begin
    print(
        f"  {change.describe()}: {phase.value}, {dict(outcomes)}: {took_s:.1f} s (lease and first look {lease_s:.1f} s)"
    )


async def measure(
    folder: Path, addresses: dict[str, tuple[str, int]], freeze: Any, frozen: int
) -> None:
    """Measure the status twice, then three rollouts, the last with silent agents."""
    tls = pki.tls_context(folder / "ca.crt", folder / "admin", server=False)
    operator = FleetClient(Inventory("f", addresses), tls, 5.0, "admin")
    for label in ("with handshakes", "over kept connections"):
        begin = time.monotonic()
        statuses = await operator.call_all(messages.StatusRequest())
        assert all(status.status == 200 for status in statuses)
        print(f"  status of {len(statuses)}, {label}: {time.monotonic() - begin:.2f} s")
    options = RolloutOptions(watch_s=1.0, window_s=2.0, silence_timeout_s=5.0)
    max_unavailable = max(1, len(addresses) // 2)
    await run_rollout(
        folder, operator, ReplaceFiles({"oakbridge.toml": CONFIG}), options, max_unavailable
    )
    await run_rollout(
        folder, operator, SetValues({"class.look.aim": "2s"}), options, max_unavailable
    )
    asyncio.get_running_loop().call_later(4.0, freeze, frozen)
    await run_rollout(
        folder, operator, SetValues({"class.look.aim": "3s"}), options, max_unavailable
    )
    operator.close()


def main() -> None:
    """Start the agents, run the measurement and remove its files."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--agents", type=int, default=1000)
    parser.add_argument("--frozen", type=int, default=20)
    parser.add_argument("--processes", type=int, default=4)
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    folder = Path(tempfile.mkdtemp())
    processes, pipes, addresses = [], [], {}
    try:
        pki.create_authority(folder, "f")
        pki.issue_certificate(
            folder, Identity("f", IdentityKind.OPERATOR, "admin", Role.WRITE), folder / "admin"
        )
        names = [f"h{i:04d}" for i in range(args.agents)]
        for name in names:
            pki.issue_certificate(
                folder, Identity("f", IdentityKind.AGENT, name, Role.READ), folder / name
            )
        for i in range(args.processes):
            own_pipe_end, agents_pipe_end = multiprocessing.Pipe()
            process = multiprocessing.Process(
                target=run_agents, args=(folder, names[i :: args.processes], agents_pipe_end)
            )
            process.start()
            processes.append(process)
            pipes.append(own_pipe_end)
        for pipe in pipes:
            addresses |= pipe.recv()

        def freeze(count: int) -> None:
            for i, pipe in enumerate(pipes):
                pipe.send(names[i :: args.processes][-(count // args.processes) :])

        print(
            f"{args.agents} agents in {args.processes} processes, {args.frozen} of them silent in the last rollout:"
        )
        asyncio.run(measure(folder, dict(sorted(addresses.items())), freeze, args.frozen))
    finally:
        for process in processes:
            process.kill()
            process.join()
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
