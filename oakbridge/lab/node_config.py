"""Writes the ``oakbridge.toml`` of each node of a run."""

from __future__ import annotations

from pathlib import Path

from oakbridge.lab.addresses import (
    CLIENT_PORT,
    MEMBER_PORT,
    MEMBER_SWITCH_PORT,
    NODE_NET,
    SWITCH_NET,
    Slot,
    host_address,
)
from oakbridge.lab.fleet import Fleet, Host
from oakbridge.lab.plan import ClassTable, Plan

SEED_PEERS = 3
SECRET_FILE = "secret"


def render_node_config(
    plan: Plan, slot: Slot, fleet: Fleet, node: Host, seed: int, socket_directory: Path
) -> str:
    """Return a node's configuration as TOML; it refers to a secret file in its own directory."""
    lines = _node_lines(slot, fleet, node, seed, socket_directory)
    lines += [_class_table(table) for table in plan.classes]
    if plan.peers:
        lines += _peers_lines(plan, slot, fleet, node)
    lines.append("[servers]")
    lines += [_server_table(plan, slot, node, server) for server in fleet.servers]
    return "\n".join([*lines, plan.settings, ""])


def _node_lines(
    slot: Slot, fleet: Fleet, node: Host, seed: int, socket_directory: Path
) -> list[str]:
    return [
        "[node]",
        f'name = "{node.name}"',
        f'listen = ["{host_address(NODE_NET, node.number)}:{slot.port(CLIENT_PORT)}"]',
        f"instances = {len(fleet.nodes)}",
        f'zone = "{node.site}"',
        f"seed = {seed * 1000 + node.number}",
        "[control]",
        f'socket = "{socket_directory / f"{node.name}.sock"}"',
    ]


def _class_table(table: ClassTable) -> str:
    return (
        f'[[class]]\nname = "{table.name}"\naim = "{table.aim}us"\ndeadline = "{table.deadline}us"\n'
        f'worth = {table.worth:g}\nrepeat = "{table.repeat}"'
    )


def _peers_lines(plan: Plan, slot: Slot, fleet: Fleet, node: Host) -> list[str]:
    port = slot.port(MEMBER_SWITCH_PORT)
    seed_count = min(SEED_PEERS, len(fleet.nodes))
    seeds = ", ".join(
        f'"{host_address(SWITCH_NET, number)}:{port}"' for number in range(seed_count)
    )
    return [
        "[peers]",
        f'listen = "{host_address(NODE_NET, node.number)}:{slot.port(MEMBER_PORT)}"',
        f'advertise = "{host_address(SWITCH_NET, node.number)}:{port}"',
        f'secret_file = "{SECRET_FILE}"',
        f"seeds = [{seeds}]",
        f'snapshot = "{node.name}.members"',
        'tier = "front"',
        f'period = "{plan.peers_period}us"',
        plan.peers_settings,
    ]


def _server_table(plan: Plan, slot: Slot, node: Host, server: Host) -> str:
    """Return the entry of a server; its address is the node's own one on the switch."""
    sizes = plan.servers.sizes
    weight = sizes[server.number % len(sizes)]
    return (
        f'[[servers.inline]]\nname = "{server.name}"\nzone = "{server.site}"\nweight = {weight:g}\n'
        f'address = "{host_address(SWITCH_NET, node.number)}:{slot.port(server.number)}"'
    )
