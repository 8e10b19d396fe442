"""The fleet's figures: an agent's memory and idle CPU with ten nodes, and `status` of a thousand agents.

    python benchmarks/fleet.py [--agents 1000] [--nodes 10] [--idle 10]

The thousand agents live in one process: each has a listener, a certificate and a state of its own and answers by the
real protocol, with one instance that has no node behind it.  The operator is another process.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from oakbridge.agent.agent import Agent
from oakbridge.agent.node_process import listener_pid
from oakbridge.agent.operator_api import OperatorApi
from oakbridge.agent.store import Store
from oakbridge.fleet import messages, pki
from oakbridge.fleet.client import FleetClient
from oakbridge.fleet.identity import Identity, IdentityKind, Role
from oakbridge.fleet.inventory import Inventory
from oakbridge.fleet.server import AgentServer

CONFIG = {
    "oakbridge.toml": '[servers]\ninline = [{name = "a", address = "127.0.0.1:9"}]\n\n'
    '[[class]]\nname = "look"\naim = "1s"\ndeadline = "9s"\n'
}


def authority(folder: Path) -> None:
    """A fleet with an operator and one certificate for agents of the name ``h``."""
    pki.create_authority(folder, "f")
    pki.issue_certificate(
        folder, Identity("f", IdentityKind.OPERATOR, "admin", Role.WRITE), folder / "admin"
    )
    pki.issue_certificate(folder, Identity("f", IdentityKind.AGENT, "h", Role.READ), folder / "h")


def ports(count: int) -> list[int]:
    """So many free ports."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    found = [int(s.getsockname()[1]) for s in socks]
    for sock in socks:
        sock.close()
    return found


def cpu_and_memory(pid: int) -> tuple[float, float]:
    """CPU seconds so far, and megabytes resident."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    status = Path(f"/proc/{pid}/status").read_text()
    resident = (
        int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])
        / 1024
    )
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), resident


async def changed(operator: FleetClient, names: list[str]) -> None:
    """Give every instance its first generation, and wait until all have taken it."""
    await operator.call("h", messages.LeaseRequest(1, 300_000_000))
    for name in names:
        await operator.call(
            "h", messages.StepRequest(1, f"s-{name}", name, 1, 0, 1_000_000, CONFIG)
        )
    while True:
        heard = await operator.call("h", messages.StatusRequest())
        rows = heard.body.get("instances", [])
        if rows and all(row["outcomes"] and row["answers"] for row in rows):
            return
        await asyncio.sleep(0.5)


def one_agent(folder: Path, nodes: int, idle_s: float) -> None:
    """An agent as a process, with real nodes: its memory, and its CPU while nothing happens."""
    authority(folder)
    own, *others = ports(nodes + 1)
    names = [f"n{i}" for i in range(nodes)]
    lines = [
        f'name = "h"\nfleet = "f"\nlisten = "127.0.0.1:{own}"\nstate = "s"\nauthority = "ca.crt"\ncertificate = "h"'
    ]
    lines += [
        f'[[instance]]\nname = "{n}"\nlisten = ["127.0.0.1:{p}"]'
        for n, p in zip(names, others, strict=True)
    ]
    (folder / "agent.toml").write_text("\n".join(lines))
    process = subprocess.Popen(
        [sys.executable, "-m", "oakbridge.cli", "agent", "--config", str(folder / "agent.toml")],
        stderr=subprocess.DEVNULL,
    )  # fmt: skip
    try:
        tls = pki.tls_context(folder / "ca.crt", folder / "admin", server=False)
        operator = FleetClient(Inventory("f", {"h": ("127.0.0.1", own)}), tls, 20)
        time.sleep(1)
        asyncio.run(changed(operator, names))
        before, _ = cpu_and_memory(process.pid)
        time.sleep(idle_s)
        after, resident = cpu_and_memory(process.pid)
        share = 100 * (after - before) / idle_s
        print(
            f"an agent with {nodes} nodes: {resident:.1f} MB resident, {share:.1f}% of a core while idle"
        )
    finally:
        process.kill()
        process.wait()
        for name in names:
            pid = listener_pid(folder / "s" / f"{name}.sock")
            if pid is not None:
                os.kill(pid, signal.SIGKILL)


def many(folder: Path, listen: list[int], ready: Any) -> None:
    """Another process: all agents."""

    async def serve() -> None:
        tls = pki.tls_context(folder / "ca.crt", folder / "h", server=True)
        for i, port in enumerate(listen):
            agent = Agent(Store(folder / f"s{i}"), "h", "f")
            agent.add_instance("n", ["127.0.0.1:1"], folder / "none.sock")
            await AgentServer(tls, "f", OperatorApi(agent).handle).start(("127.0.0.1", port))
        ready.send(True)
        await asyncio.sleep(600)

    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    asyncio.run(serve())


def thousand(folder: Path, count: int) -> None:
    """How long `status` of all takes."""
    authority(folder)
    listen = ports(count)
    here, there = multiprocessing.Pipe()
    process = multiprocessing.Process(target=many, args=(folder, listen, there))
    process.start()
    try:
        here.recv()
        tls = pki.tls_context(folder / "ca.crt", folder / "admin", server=False)
        took = []
        for _ in range(3):
            # All have one certificate here, and so one name: they are asked one by one by their addresses.
            operators = [
                FleetClient(Inventory("f", {"h": ("127.0.0.1", port)}), tls, 20) for port in listen
            ]
            places = asyncio.Semaphore(64)

            async def ask(operator: FleetClient, places: asyncio.Semaphore = places) -> int:
                async with places:
                    return (await operator.call("h", messages.StatusRequest())).status

            async def ask_all(
                operators: list[FleetClient] = operators, ask: Any = ask
            ) -> list[int]:
                return list(await asyncio.gather(*(ask(o) for o in operators)))

            begin = time.monotonic()
            statuses = asyncio.run(ask_all())
            took.append(time.monotonic() - begin)
            assert statuses == [200] * count
        print(f"status of {count} agents: {', '.join(f'{t:.2f} s' for t in took)}")
    finally:
        process.kill()
        process.join()


def main() -> None:
    """Measure both."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--agents", type=int, default=1000)
    parser.add_argument("--nodes", type=int, default=10)
    parser.add_argument("--idle", type=float, default=10.0)
    given = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    with tempfile.TemporaryDirectory() as folder:
        one_agent(Path(folder), given.nodes, given.idle)
    with tempfile.TemporaryDirectory() as folder:
        thousand(Path(folder), given.agents)


if __name__ == "__main__":
    main()
