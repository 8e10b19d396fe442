"""A rollout over a thousand agents that speak the real protocol, on played hosts; with and without silent ones.

    python benchmarks/fleet_rollout.py [--agents 1000] [--frozen 20] [--processes 4]

Agents live in a few processes, each agent with a listener, a certificate of its own and a state on disk; the nodes are
played (`oakbridge/standin/host.py`), so the figures are those of the protocol, the journals and the coordinator.
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
from oakbridge.standin.host import PlayedHost

CONFIG = '[servers]\ninline = [{name = "a", address = "127.0.0.1:9"}]\n\n[[class]]\nname = "look"\naim = "1s"\n'


def host(folder: Path, names: list[str], talk: Any) -> None:
    """A process with many agents; tells their ports, and freezes those that it is told to."""

    async def serve() -> None:
        servers: dict[str, AgentServer] = {}
        for name in names:
            tls = pki.tls_context(folder / "ca.crt", folder / name, server=True)
            agent = Agent(Store(folder / f"s-{name}"), name, "f", host=PlayedHost(rate=50.0))
            agent.add_instance("n", ["127.0.0.1:1"], folder / f"s-{name}" / "n.sock")
            agent.start()
            frozen = asyncio.Event()

            async def answer(
                who: Identity,
                method: str,
                path: str,
                body: bytes,
                agent: Agent = agent,
                frozen: asyncio.Event = frozen,
            ) -> messages.Response:
                if frozen.is_set():
                    await asyncio.sleep(3600)
                return await OperatorApi(agent).handle(who, method, path, body)

            servers[name] = AgentServer(tls, "f", answer)
            servers[name].frozen = frozen  # type: ignore[attr-defined]
            await servers[name].start(("127.0.0.1", 0))
        talk.send({name: server.address for name, server in servers.items()})
        loop = asyncio.get_running_loop()
        while True:
            for name in await loop.run_in_executor(None, talk.recv):
                servers[name].frozen.set()  # type: ignore[attr-defined]

    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    asyncio.run(serve())


async def roll(
    folder: Path, operator: FleetClient, change: Any, options: RolloutOptions, unavailable: int
) -> None:
    """One rollout; prints what it came to."""
    journal, began = Journal(folder), time.monotonic()
    held = await operator.acquire_lease(60.0)
    heard = await operator.call_all(messages.StatusRequest())
    leased = time.monotonic() - began
    targets = [
        Target(h.agent, row["name"], "", row["generation"])
        for h in heard
        if h.status == 200
        for row in h.body["instances"]
    ]
    waves = plan_waves(targets, WaveOptions(max_unavailable=unavailable))
    record = RolloutRecord(waves, unavailable, False)
    entry = JournalEntry(held.token, "bench", time.time(), time.time(), "", change, record)
    journal.add(entry)
    coordinator = Coordinator(operator, journal, entry, held, options)
    phase = await coordinator.run()
    await operator.release_lease(coordinator.held)
    outcomes = Counter(row.outcome.value for row in coordinator.machine.statuses().values())
    took = time.monotonic() - began
    print(
        f"  {change.describe()}: {phase.value}, {dict(outcomes)}: {took:.1f} s (lease and first look {leased:.1f} s)"
    )


async def measure(
    folder: Path, addresses: dict[str, tuple[str, int]], freeze: Any, frozen: int
) -> None:
    """Status, then rollouts, the last one with silent agents."""
    tls = pki.tls_context(folder / "ca.crt", folder / "admin", server=False)
    operator = FleetClient(Inventory("f", addresses), tls, 5.0, "admin")
    for turn in ("with handshakes", "over kept connections"):
        began = time.monotonic()
        heard = await operator.call_all(messages.StatusRequest())
        assert all(h.status == 200 for h in heard)
        print(f"  status of {len(heard)}, {turn}: {time.monotonic() - began:.2f} s")
    options = RolloutOptions(watch_s=1.0, window_s=2.0, silence_timeout_s=5.0)
    waves = max(1, len(addresses) // 2)
    await roll(folder, operator, ReplaceFiles({"oakbridge.toml": CONFIG}), options, waves)
    await roll(folder, operator, SetValues({"class.look.aim": "2s"}), options, waves)
    asyncio.get_running_loop().call_later(4.0, freeze, frozen)
    await roll(folder, operator, SetValues({"class.look.aim": "3s"}), options, waves)
    operator.close()


def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--agents", type=int, default=1000)
    parser.add_argument("--frozen", type=int, default=20)
    parser.add_argument("--processes", type=int, default=4)
    given = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    folder = Path(tempfile.mkdtemp())
    processes, talks, addresses = [], [], {}
    try:
        pki.create_authority(folder, "f")
        pki.issue_certificate(
            folder, Identity("f", IdentityKind.OPERATOR, "admin", Role.WRITE), folder / "admin"
        )
        names = [f"h{i:04d}" for i in range(given.agents)]
        for name in names:
            pki.issue_certificate(
                folder, Identity("f", IdentityKind.AGENT, name, Role.READ), folder / name
            )
        for i in range(given.processes):
            here, there = multiprocessing.Pipe()
            process = multiprocessing.Process(
                target=host, args=(folder, names[i :: given.processes], there)
            )
            process.start()
            processes.append(process)
            talks.append(here)
        for talk in talks:
            addresses |= talk.recv()

        def freeze(count: int) -> None:
            for i, talk in enumerate(talks):
                talk.send(names[i :: given.processes][-(count // given.processes) :])

        print(
            f"{given.agents} agents in {given.processes} processes, {given.frozen} of them silent in the last rollout:"
        )
        asyncio.run(measure(folder, dict(sorted(addresses.items())), freeze, given.frozen))
    finally:
        for process in processes:
            process.kill()
            process.join()
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
