"""The helper process that forwards all traffic between hosts and injects network faults.

Connections and datagrams pass through it; the active rules cut, drop or delay them.  Unlike a real
network, the switch accepts a connection to a host that is cut off, and then transfers no data on
it.  Connections to a server that is down are refused, as the switch closes its port too.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Collection
from typing import Any

from oakbridge.lab.addresses import (
    MEMBER_PORT,
    MEMBER_SWITCH_PORT,
    NODE_NET,
    SERVER_NET,
    SERVER_PORT,
    Slot,
    host_address,
    host_number,
)
from oakbridge.lab.datagram_forwarder import DatagramForwarder, bind_shared
from oakbridge.lab.links import Links, Rule
from oakbridge.lab.relay import Relay, RelayGroup, Route, Router

BACKLOG = 1024


class Helper:
    """One of the switch processes; all have the same rules and share the listening ports."""

    def __init__(self, config: dict[str, Any]) -> None:
        """``config``: as built by ``helper_configs.switch_configs``."""
        self._slot = Slot(config["base"])
        self._nodes: list[str] = [name for name, _ in config["nodes"]]
        self._servers: list[str] = [name for name, _ in config["servers"]]
        sites = dict([*config["nodes"], *config["servers"]])
        self._links = Links(sites, *config["network"])
        self._counts: Counter[str] = Counter()
        self._relays = RelayGroup(self._links, self._counts)
        self._server_listeners: dict[str, asyncio.Server] = {}
        self._member_listener: asyncio.Server | None = None
        self._openings: set[asyncio.Task[None]] = set()
        rng = random.Random(config["seed"])
        self._datagrams = DatagramForwarder(self._slot, self._nodes, self._links, rng, self._counts)

    async def start(self) -> None:
        """Open the listeners, and start to forward datagrams."""
        for number, name in enumerate(self._servers):
            await self._open_server(number, name)
        self._member_listener = await self._listen(
            self._slot.port(MEMBER_SWITCH_PORT), self._route_to_member
        )
        self._datagrams.start()

    async def _open_server(self, number: int, name: str) -> None:
        def route(local: str, remote: str) -> Route | None:  # noqa: ARG001 - a Router
            return self._route_to_server(number, name, local)

        listener = await self._listen(self._slot.port(number), route)
        self._server_listeners[name] = listener

    async def _listen(self, port: int, find_route: Router) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(
            lambda: Relay(self._relays, find_route).front,
            sock=bind_shared(socket.SOCK_STREAM, port),
            backlog=BACKLOG,
        )

    def _route_to_server(self, number: int, name: str, local: str) -> Route | None:
        """Return the route of a connection to a server's port; the local address gives the node."""
        source = self._node_at(local)
        if source is None:
            return None
        return Route(source, name, (host_address(SERVER_NET, number), self._slot.port(SERVER_PORT)))

    def _route_to_member(self, local: str, remote: str) -> Route | None:
        """Return the route of a connection between two members."""
        source, target = self._node_at(remote), self._node_at(local)
        if source is None or target is None:
            return None
        return Route(
            source,
            target,
            (host_address(NODE_NET, host_number(local)), self._slot.port(MEMBER_PORT)),
        )

    def _node_at(self, address: str) -> str | None:
        number = host_number(address)
        return self._nodes[number] if 0 <= number < len(self._nodes) else None

    def do(self, command: dict[str, Any]) -> None:
        """Carry out ``link``, ``unlink``, ``reset``, or ``down`` and ``up`` of servers."""
        match command["do"]:
            case "link":
                self._links.add_rule(Rule.from_json(command["rule"]))
            case "unlink":
                self._links.remove_rule(command["rule"]["number"])
            case "reset":
                self._reset(Rule.from_json(command["rule"]))
            case "down":
                self._close_servers(command["names"])
            case "up":
                self._open_servers(command["names"])
        self._relays.apply_links()

    def _reset(self, rule: Rule) -> None:
        for relay in [
            candidate
            for candidate in self._relays.relays
            if rule.applies_to(candidate.source, candidate.target)
        ]:
            relay.reset()

    def _close_servers(self, names: Collection[str]) -> None:
        for name in names:
            listener = self._server_listeners.pop(name, None)
            if listener is not None:
                listener.close()
        self._relays.reset_to(set(names))

    def _open_servers(self, names: Collection[str]) -> None:
        loop = asyncio.get_running_loop()
        for number, name in enumerate(self._servers):
            if name in names and name not in self._server_listeners:
                task = loop.create_task(self._open_server(number, name))
                self._openings.add(task)
                task.add_done_callback(self._openings.discard)

    async def end(self) -> dict[str, Any]:
        """Return the counts of connections, datagrams and bytes."""
        return dict(self._counts)

    def abandon(self) -> None:
        """Do nothing: the process started nothing that outlives it."""
