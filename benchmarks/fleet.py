"""Measures an agent with ten nodes (MB, idle CPU) and the seconds of `status` over 1,000 agents.

    python benchmarks/fleet.py [--agents 1000] [--nodes 10] [--idle 10]

The first part starts an agent and real nodes, gives each instance its first generation, and takes
the agent's resident memory and its CPU time over ``--idle`` seconds as a percentage of a core.
In the second part 1,000 agents run in one process: each has its own listener and state and
answers by the real protocol, with one instance that has no node.  The operator runs in another
process and takes the status three times.
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


def create_fleet_authority(folder: Path) -> None:
    """Create a fleet authority with certificates for an operator and for agents named ``h``."""
    pki.create_authority(folder, "f")
    pki.issue_certificate(
        folder, Identity("f", IdentityKind.OPERATOR, "admin", Role.WRITE), folder / "admin"
    )
    pki.issue_certificate(folder, Identity("f", IdentityKind.AGENT, "h", Role.READ), folder / "h")


def free_ports(count: int) -> list[int]:
    """Return ``count`` free ports."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    port_numbers = [int(listener_socket.getsockname()[1]) for listener_socket in listeners]
    for listener in listeners:
        listener.close()
    return port_numbers


def cpu_and_memory(pid: int) -> tuple[float, float]:
    """Return a process's CPU seconds so far and its resident megabytes."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    status = Path(f"/proc/{pid}/status").read_text()
    resident_mb = (
        int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])
        / 1024
    )
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), resident_mb


async def apply_first_generation(operator: FleetClient, names: list[str]) -> None:
    """Give every instance its first generation and wait until all report an outcome."""
    await operator.call("h", messages.LeaseRequest(1, 300_000_000))
    for name in names:
        await operator.call(
            "h", messages.StepRequest(1, f"s-{name}", name, 1, 0, 1_000_000, CONFIG)
        )
    while True:
        status = await operator.call("h", messages.StatusRequest())
        rows = status.body.get("instances", [])
        if rows and all(row["outcomes"] and row["answers"] for row in rows):
            return
        await asyncio.sleep(0.5)


def measure_agent_with_nodes(folder: Path, nodes: int, idle_s: float) -> None:
    """Print the memory and idle CPU of an agent process with real nodes."""
    create_fleet_authority(folder)
    port, *node_ports = free_ports(nodes + 1)
    names = [f"n{i}" for i in range(nodes)]
    lines = [
        f'name = "h"\nfleet = "f"\nlisten = "127.0.0.1:{port}"\nstate = "s"\nauthority = "ca.crt"\ncertificate = "h"'
    ]
    lines += [
        f'[[instance]]\nname = "{node_name}"\nlisten = ["127.0.0.1:{node_port}"]'
        for node_name, node_port in zip(names, node_ports, strict=True)
    ]
    (folder / "agent.toml").write_text("\n".join(lines))
    process = subprocess.Popen(
        [sys.executable, "-m", "oakbridge.cli", "agent", "--config", str(folder / "agent.toml")],
        stderr=subprocess.DEVNULL,
    )  # fmt: skip
    try:
        tls = pki.tls_context(folder / "ca.crt", folder / "admin", server=False)
        operator = FleetClient(Inventory("f", {"h": ("127.0.0.1", port)}), tls, 20)
        time.sleep(1)
        asyncio.run(apply_first_generation(operator, names))
        cpu_before_s, _ = cpu_and_memory(process.pid)
        time.sleep(idle_s)
        cpu_after_s, resident_mb = cpu_and_memory(process.pid)
        cpu_percent = 100 * (cpu_after_s - cpu_before_s) / idle_s
        print(
            f"an agent with {nodes} nodes: {resident_mb:.1f} MB resident, {cpu_percent:.1f}% of a core while idle"
        )
    finally:
        process.kill()
        process.wait()
        for name in names:
            pid = listener_pid(folder / "s" / f"{name}.sock")
            if pid is not None:
                os.kill(pid, signal.SIGKILL)


def run_agents(folder: Path, ports: list[int], ready: Any) -> None:
    """Run all agents; this is the body of another process, which sends True once they listen."""

    async def serve() -> None:
        tls = pki.tls_context(folder / "ca.crt", folder / "h", server=True)
        for i, port in enumerate(ports):
            agent = Agent(Store(folder / f"s{i}"), "h", "f")
            agent.add_instance("n", ["127.0.0.1:1"], folder / "none.sock")
            await AgentServer(tls, "f", OperatorApi(agent).handle).start(("127.0.0.1", port))
        ready.send(True)
        await asyncio.sleep(600)

    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    asyncio.run(serve())


def measure_status(folder: Path, count: int) -> None:
    """Print the seconds that `status` of ``count`` agents takes, three times."""
    create_fleet_authority(folder)
    ports = free_ports(count)
    own_pipe_end, agents_pipe_end = multiprocessing.Pipe()
    process = multiprocessing.Process(target=run_agents, args=(folder, ports, agents_pipe_end))
    process.start()
    try:
        own_pipe_end.recv()
        tls = pki.tls_context(folder / "ca.crt", folder / "admin", server=False)
        durations_s = []
        for _ in range(3):
            # All agents share one certificate and thus one name, so each address gets a client.
            operators = [
                FleetClient(Inventory("f", {"h": ("127.0.0.1", port)}), tls, 20) for port in ports
            ]
            concurrency_limit = asyncio.Semaphore(64)

            async def request_status(
                operator: FleetClient, concurrency_limit: asyncio.Semaphore = concurrency_limit
            ) -> int:
                async with concurrency_limit:
                    return (await operator.call("h", messages.StatusRequest())).status

            async def request_all_statuses(
                operators: list[FleetClient] = operators, request_status: Any = request_status
            ) -> list[int]:
                return list(await asyncio.gather(*(request_status(client) for client in operators)))

            begin = time.monotonic()
            statuses = asyncio.run(request_all_statuses())
            durations_s.append(time.monotonic() - begin)
            assert statuses == [200] * count
        print(
            f"status of {count} agents: {', '.join(f'{duration_s:.2f} s' for duration_s in durations_s)}"
        )
    finally:
        process.kill()
        process.join()


def main() -> None:
    """Measure the agent with nodes, then the status of many agents."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--agents", type=int, default=1000)
    parser.add_argument("--nodes", type=int, default=10)
    parser.add_argument("--idle", type=float, default=10.0)
    arguments = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    with tempfile.TemporaryDirectory() as folder:
        measure_agent_with_nodes(Path(folder), arguments.nodes, arguments.idle)
    with tempfile.TemporaryDirectory() as folder:
        measure_status(Path(folder), arguments.agents)


if __name__ == "__main__":
    main()
