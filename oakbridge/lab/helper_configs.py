"""Builds the configurations of a run's helper processes, as JSON objects."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from oakbridge.lab.addresses import Slot
from oakbridge.lab.fleet import Fleet, Host
from oakbridge.lab.plan import Plan

NODES_PER_SWITCH = 70
SERVERS_PER_PROCESS = 100
REQUESTS_PER_S_PER_LOADER = 1200


def switch_configs(plan: Plan, slot: Slot, fleet: Fleet, seed: int) -> Iterator[dict[str, Any]]:
    """Yield the configurations of the switch processes, which differ only in their seeds."""
    network = plan.network
    for number in range(max(1, round(len(fleet.nodes) / NODES_PER_SWITCH))):
        yield {
            "base": slot.base,
            "nodes": _names_and_sites(fleet.nodes),
            "servers": _names_and_sites(fleet.servers),
            "network": (network.delay, network.between_sites, network.loss),
            "seed": f"{seed} {number}",
        }


def server_configs(
    plan: Plan, slot: Slot, fleet: Fleet, seed: int, out: Path
) -> Iterator[dict[str, Any]]:
    """Yield the configurations of the processes that run stand-in servers."""
    processes = max(1, -(-len(fleet.servers) // SERVERS_PER_PROCESS))
    for number in range(processes):
        yield {
            "base": slot.base,
            "plan": plan.servers.model_dump(),
            "seed": seed,
            "servers": [
                (server.number, server.name)
                for server in fleet.servers
                if server.number % processes == number
            ],
            "out": str(out / f"executions-{number}.parquet"),
        }


def load_configs(
    plan: Plan, slot: Slot, fleet: Fleet, seed: int, out: Path
) -> Iterator[dict[str, Any]]:
    """Yield the configurations of the processes that send requests."""
    rate_per_s = int(sum(table.rate for table in plan.classes))
    for number in range(max(1, -(-rate_per_s // REQUESTS_PER_S_PER_LOADER))):
        yield {
            "base": slot.base,
            "seed": seed,
            "part": number,
            "nodes": _names_and_sites(fleet.nodes),
            "classes": [table.model_dump() for table in plan.classes],
            "sites": [(site.name, site.load) for site in plan.sites],
            "repeats": plan.callers.repeats,
            "spread": plan.callers.spread,
            "out": str(out / f"requests-{number}.parquet"),
        }


def _names_and_sites(hosts: tuple[Host, ...]) -> list[tuple[str, str]]:
    return [(host.name, host.site) for host in hosts]
